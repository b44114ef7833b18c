package loadbalancer.testbed.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.LoadReportSource;
import loadbalancer.routing.api.ObjectiveWeights;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingCosts;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.testbed.workload.RandomStreams;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * The main result of "Smart Dispatching in Heterogeneous Systems" played again: one dispatcher that
 * sees every queue, exponential service, first come first served, fast and slow servers, and the
 * mean response time by load. The paper's time unit is a second here.
 */
public final class JsqDasExperiment {
    private static final int SAMPLE_SIZE = 4;
    // A, d_F and d_S
    private static final int GROUP_SAMPLE_SIZE = 2;
    private static final double FAST_FRACTION = 0.3;
    private static final double FAST_SERVICE_RATE = 1.95;
    private static final double SLOW_SERVICE_RATE = 0.6;
    private static final double MICROS_PER_SECOND = 1e6;
    // The first third of the jobs is not counted
    private static final int WARM_UP_DIVISOR = 3;

    /** The policies of the paper's Figure 2, and this project's module. */
    public enum DispatchPolicy {
        JSQ,
        JSQ_D,
        SED_D,
        JSQ_DF_DS,
        JSQ_DAS,
        MODULE
    }

    /**
     * The mean response time in units of the paper, and the part of truly fast servers in the top
     * p·k.
     */
    public record ExperimentResult(double meanResponseTime, double foundFastFraction) {}

    private final int serverCount;
    private final int fastCount;
    private final double load;
    private final int jobCount;
    private final UniformRandomProvider random;
    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final Deque<QueuedJob>[] queues;
    private final long[] dispatchCounts;
    private final ZigguratSampler.Exponential unitExponential;
    private double responseTimeSumMicros;
    private int completedJobs;
    private int startedJobs;
    private int[] ranking;
    private int rankedAtJob;

    private record QueuedJob(long arrivedAtMicros, Runnable onCompletion) {}

    /** {@code load}: λ of the paper, less than 1. */
    // An array of queues
    @SuppressWarnings({"unchecked", "rawtypes"})
    public JsqDasExperiment(int serverCount, double load, int jobCount, long seed) {
        this.serverCount = serverCount;
        this.fastCount = (int) Math.round(FAST_FRACTION * serverCount);
        this.load = load;
        this.jobCount = jobCount;
        this.random = RandomStreams.stream(seed, "paper");
        this.queues = new Deque[serverCount];
        Arrays.setAll(queues, i -> new ArrayDeque<>());
        this.dispatchCounts = new long[serverCount];
        this.unitExponential = ZigguratSampler.Exponential.of(random, 1);
    }

    /** Plays it with one of the policies. */
    public ExperimentResult run(DispatchPolicy policy) {
        RoutingPolicyDispatcher dispatcher =
                policy == DispatchPolicy.MODULE ? new RoutingPolicyDispatcher() : null;
        handleArrival(policy, dispatcher);
        while (completedJobs < jobCount) {
            scheduler.runUntil(scheduler.nowMicros() + (long) MICROS_PER_SECOND);
        }
        Integer[] ranked = IntStream.range(0, serverCount).boxed().toArray(Integer[]::new);
        Arrays.sort(ranked, Comparator.comparingLong(i -> -dispatchCounts[i]));
        double foundFraction =
                Arrays.stream(ranked).limit(fastCount).filter(i -> i < fastCount).count()
                        / (double) fastCount;
        return new ExperimentResult(
                responseTimeSumMicros / (jobCount - jobCount / WARM_UP_DIVISOR) / MICROS_PER_SECOND,
                foundFraction);
    }

    private void handleArrival(DispatchPolicy policy, RoutingPolicyDispatcher dispatcher) {
        if (startedJobs == jobCount) {
            return;
        }
        int job = startedJobs++;
        if (dispatcher != null) {
            dispatcher.submit(job);
        } else {
            enqueue(selectServer(policy), () -> {});
        }
        scheduler.scheduleAfter(
                (long) (unitExponential.sample() / (load * serverCount) * MICROS_PER_SECOND),
                () -> handleArrival(policy, dispatcher));
    }

    private void enqueue(int server, Runnable onCompletion) {
        dispatchCounts[server]++;
        queues[server].add(new QueuedJob(scheduler.nowMicros(), onCompletion));
        if (queues[server].size() == 1) {
            startService(server);
        }
    }

    private void startService(int server) {
        double rate = server < fastCount ? FAST_SERVICE_RATE : SLOW_SERVICE_RATE;
        scheduler.scheduleAfter(
                (long) (unitExponential.sample() / rate * MICROS_PER_SECOND),
                () -> {
                    QueuedJob job = queues[server].poll();
                    if (++completedJobs > jobCount / WARM_UP_DIVISOR) {
                        responseTimeSumMicros += scheduler.nowMicros() - job.arrivedAtMicros;
                    }
                    if (!queues[server].isEmpty()) {
                        startService(server);
                    }
                    job.onCompletion.run();
                });
    }

    private int selectServer(DispatchPolicy policy) {
        return switch (policy) {
            case JSQ -> shortestQueue(IntStream.range(0, serverCount).toArray());
            case JSQ_D -> shortestQueue(sample(0, serverCount, SAMPLE_SIZE));
            case SED_D -> shortestExpectedDelay(sample(0, serverCount, SAMPLE_SIZE));
            case JSQ_DF_DS -> selectFastThenSlow();
            default -> selectAccomplished();
        };
    }

    private int[] sample(int fromInclusive, int toExclusive, int count) {
        int[] sampled = new int[count];
        for (int i = 0; i < count; i++) {
            int candidate = fromInclusive + random.nextInt(toExclusive - fromInclusive);
            while (contains(sampled, i, candidate)) {
                candidate = fromInclusive + random.nextInt(toExclusive - fromInclusive);
            }
            sampled[i] = candidate;
        }
        return sampled;
    }

    private static boolean contains(int[] values, int length, int value) {
        return IntStream.range(0, length).anyMatch(i -> values[i] == value);
    }

    // Ties at random where all are looked at, else to the first drawn, which is as random.
    private int shortestQueue(int[] sampled) {
        int start = random.nextInt(sampled.length);
        int best = sampled[start];
        for (int i = 1; i < sampled.length; i++) {
            int candidate = sampled[(start + i) % sampled.length];
            best = queues[candidate].size() < queues[best].size() ? candidate : best;
        }
        return best;
    }

    private int shortestExpectedDelay(int[] sampled) {
        int best = sampled[0];
        for (int candidate : sampled) {
            best = expectedDelay(candidate) < expectedDelay(best) ? candidate : best;
        }
        return best;
    }

    private double expectedDelay(int server) {
        return (queues[server].size() + 1)
                / (server < fastCount ? FAST_SERVICE_RATE : SLOW_SERVICE_RATE);
    }

    private int selectFastThenSlow() {
        int[] sampledFast = sample(0, fastCount, GROUP_SAMPLE_SIZE);
        int shortestFast = shortestQueue(sampledFast);
        int shortestSlow = shortestQueue(sample(fastCount, serverCount, GROUP_SAMPLE_SIZE));
        return queues[shortestFast].isEmpty() || !queues[shortestSlow].isEmpty()
                ? shortestFast
                : shortestSlow;
    }

    // Ranked anew every hundredth of the servers' number of jobs: counts differ by far more than
    // that.
    private int selectAccomplished() {
        if (ranking == null || startedJobs - rankedAtJob >= Math.max(1, serverCount / 100)) {
            ranking =
                    IntStream.range(0, serverCount)
                            .boxed()
                            .sorted(Comparator.comparingLong(i -> -dispatchCounts[i]))
                            .mapToInt(i -> i)
                            .toArray();
            rankedAtJob = startedJobs;
        }
        int[] ranks = new int[SAMPLE_SIZE];
        System.arraycopy(sample(0, fastCount, GROUP_SAMPLE_SIZE), 0, ranks, 0, GROUP_SAMPLE_SIZE);
        System.arraycopy(
                sample(fastCount, serverCount, SAMPLE_SIZE - GROUP_SAMPLE_SIZE),
                0,
                ranks,
                GROUP_SAMPLE_SIZE,
                SAMPLE_SIZE - GROUP_SAMPLE_SIZE);
        // The more accomplished first: ties go to them
        Arrays.sort(ranks);
        int best = ranking[ranks[0]];
        for (int rank : ranks) {
            best = queues[ranking[rank]].size() < queues[best].size() ? ranking[rank] : best;
        }
        return best;
    }

    /** This project's module as the one dispatcher; its own requests in flight are the queues. */
    private final class RoutingPolicyDispatcher implements RoutingActions {
        private static final long FAR_FUTURE_MICROS = 3_600_000_000L;
        private final RoutingPolicy policy;

        RoutingPolicyDispatcher() {
            RequestClass requestClass =
                    new RequestClass(
                            Idempotency.IDEMPOTENT,
                            DeduplicationScope.ALL,
                            0,
                            FAR_FUTURE_MICROS,
                            FAR_FUTURE_MICROS,
                            0,
                            1,
                            0,
                            false);
            policy =
                    new RoutingEngine(
                            new RoutingSettings(
                                    1,
                                    0,
                                    0,
                                    List.of(requestClass),
                                    List.of(),
                                    1,
                                    new ObjectiveWeights(1, 0, 0, 0),
                                    new RoutingCosts(0, 0),
                                    false,
                                    DiscoveryMode.PUSH,
                                    LoadReportSource.NONE,
                                    false,
                                    new RoutingLimits(
                                            1, false, false, false, (long) MICROS_PER_SECOND, 0),
                                    new RoutingBounds(
                                            20_000, 2_500_000, 0, 0.13, 0, 3, 3_000_000, 0),
                                    5_000),
                            1);
            List<Endpoint> endpoints = new ArrayList<>();
            for (int i = 0; i < serverCount; i++) {
                endpoints.add(
                        new Endpoint(
                                Integer.toString(i),
                                EndpointStatus.UP,
                                0,
                                1,
                                i,
                                i < fastCount ? 0 : 1,
                                0));
            }
            policy.onEndpointList(nowMicros(), EndpointListKind.CACHED, endpoints, this);
        }

        private long nowMicros() {
            return scheduler.nowMicros() + (long) MICROS_PER_SECOND;
        }

        void submit(int job) {
            policy.onRequest(
                    nowMicros(),
                    Integer.toString(job),
                    0,
                    0,
                    null,
                    FAR_FUTURE_MICROS,
                    -1,
                    false,
                    this);
        }

        @Override
        public void send(String request, String server, long timeout) {
            long sentAtMicros = scheduler.nowMicros();
            enqueue(
                    Integer.parseInt(server),
                    () ->
                            policy.onAttemptEnded(
                                    nowMicros(),
                                    request,
                                    0,
                                    AttemptOutcome.OK,
                                    scheduler.nowMicros() - sentAtMicros,
                                    true,
                                    null,
                                    this));
        }

        @Override
        public void reject(String request, long retryAfter) {
            throw new IllegalStateException(
                    "the module refused a job: there is no refusal in this " + "experiment");
        }

        @Override
        public void fail(String request) {
            reject(request, 0);
        }

        @Override
        public void scheduleTimer(long delay) {
            scheduler.scheduleAfter(Math.max(1, delay), () -> policy.onTimer(nowMicros(), this));
        }

        @Override
        public void cancel(String request, int attempt) {}

        @Override
        public void checkHealth(String server) {}

        @Override
        public void watchEndpoints(boolean on) {}

        @Override
        public void fetchEndpointList() {}

        @Override
        public void closeIdleConnections(String server) {}

        @Override
        public void sendToPeer(int peer, byte[] data) {}

        @Override
        public void log(String line) {}
    }
}
