package loadbalancer.testbed.simulation;

import java.util.Arrays;
import loadbalancer.testbed.workload.RandomStreams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Repeats the main experiment of "Smart Dispatching in Heterogeneous Systems": one dispatcher that
 * knows the length of every queue, fast and slow servers with exponential service times in order of
 * arrival, and the mean response time by load. The paper's unit of time is a second here.
 * Single-threaded; one run per instance.
 */
public final class JsqDasExperiment {
    // The first third of the jobs does not count
    private static final int WARM_UP_DIVISOR = 3;
    private static final long STEP_MICROS = (long) QueueingServers.MICROS_PER_SECOND;

    /** The policies of the paper's Figure 2, and this project's {@code RoutingEngine}. */
    public enum DispatchPolicy {
        /** Joins the shortest of all queues. */
        JSQ,
        /** Joins the shortest of sampled queues. */
        JSQ_D,
        /** Joins the sampled queue with the shortest expected delay, from known service rates. */
        SED_D,
        /** Samples fast and slow servers separately, from known service rates. */
        JSQ_DF_DS,
        /** Samples accomplished servers, which have got the most jobs, and the others. */
        JSQ_DAS,
        /** This project's routing policy. */
        MODULE
    }

    /**
     * The result of a run.
     *
     * @param meanResponseTime in the paper's unit of time
     * @param foundFastFraction fraction of the fast servers that are among the servers with the
     *     most jobs, as many as there are fast ones
     */
    public record ExperimentResult(double meanResponseTime, double foundFastFraction) {}

    /** Sends jobs to servers. */
    private interface Dispatcher {
        void dispatch(int job);
    }

    private final double arrivalRate;
    private final int jobCount;
    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final QueueingServers servers;
    private final SampledServerSelector selector;
    private int startedJobs;

    /**
     * Creates an experiment.
     *
     * @param load arrival rate per server, λ of the paper; less than 1
     */
    public JsqDasExperiment(int serverCount, double load, int jobCount, long seed) {
        this.arrivalRate = load * serverCount;
        this.jobCount = jobCount;
        UniformRandomProvider random = RandomStreams.stream(seed, "paper");
        servers = new QueueingServers(serverCount, warmUpJobs(), scheduler, random);
        selector = new SampledServerSelector(servers, random);
    }

    private int warmUpJobs() {
        return jobCount / WARM_UP_DIVISOR;
    }

    /** Runs the experiment with one of the policies. */
    public ExperimentResult run(DispatchPolicy policy) {
        handleArrival(newDispatcher(policy));
        while (servers.completedJobs() < jobCount) {
            scheduler.runUntil(scheduler.nowMicros() + STEP_MICROS);
        }
        double meanResponseMicros = servers.responseTimeSumMicros() / (jobCount - warmUpJobs());
        return new ExperimentResult(
                meanResponseMicros / QueueingServers.MICROS_PER_SECOND, foundFastFraction());
    }

    private Dispatcher newDispatcher(DispatchPolicy policy) {
        if (policy == DispatchPolicy.MODULE) {
            return new RoutingPolicyDispatcher(servers, scheduler)::dispatch;
        }
        return job -> servers.enqueue(selector.select(policy, startedJobs), () -> {});
    }

    private void handleArrival(Dispatcher dispatcher) {
        if (startedJobs == jobCount) {
            return;
        }
        int job = startedJobs++;
        dispatcher.dispatch(job);
        scheduler.scheduleAfter(
                servers.drawExponentialMicros(arrivalRate), () -> handleArrival(dispatcher));
    }

    private double foundFastFraction() {
        long foundCount =
                Arrays.stream(SampledServerSelector.rankByDispatchCount(servers))
                        .limit(servers.fastCount())
                        .filter(servers::isFast)
                        .count();
        return foundCount / (double) servers.fastCount();
    }
}
