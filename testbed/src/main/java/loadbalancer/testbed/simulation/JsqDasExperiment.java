package loadbalancer.testbed.simulation;

import java.util.Arrays;
import loadbalancer.testbed.workload.RandomStreams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Reproduces the main experiment of the paper "Smart Dispatching in Heterogeneous Systems". One
 * dispatcher knows the length of every queue. Fast and slow servers serve jobs in order of arrival
 * with exponential service times. The result is the mean response time at a load. The paper's unit
 * of time is a second here. Used only by the thread that runs the simulation, for one run per
 * instance.
 */
public final class JsqDasExperiment {
    // The first third of the jobs is warm-up and is left out of the mean.
    private static final int WARM_UP_DIVISOR = 3;
    private static final long STEP_MICROS = (long) QueueingServers.MICROS_PER_SECOND;

    /** The policies in Figure 2 of the paper, and this project's {@code RoutingEngine}. */
    public enum DispatchPolicy {
        /** Selects the server with the shortest of all queues. */
        JSQ,
        /** Selects the sampled server with the shortest queue. */
        JSQ_D,
        /** Selects the sampled server with the shortest expected delay; knows the service rates. */
        SED_D,
        /** Samples fast and slow servers separately; knows the service rates. */
        JSQ_DF_DS,
        /** Samples accomplished servers, which have received the most jobs, and other servers. */
        JSQ_DAS,
        /** Uses the routing policy of this project. */
        MODULE
    }

    /**
     * The result of a run.
     *
     * @param meanResponseTime mean response time in seconds, the paper's unit of time
     * @param foundFastFraction fraction of the n fast servers that are among the n servers that
     *     received the most jobs
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
     * @param load jobs per server and second, called λ in the paper; less than 1
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

    /** Runs the experiment with one of the policies and returns its result. */
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
