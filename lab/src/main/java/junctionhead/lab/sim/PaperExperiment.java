package junctionhead.lab.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;
import junctionhead.Policy;
import junctionhead.lab.plan.Seeds;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * The main result of "Smart Dispatching in Heterogeneous Systems" played again: one dispatcher that
 * sees every queue, exponential service, first come first served, fast and slow servers, and the
 * mean response time by load. The paper's time unit is a second here.
 */
public final class PaperExperiment {
    private static final int D = 4;
    // A, d_F and d_S
    private static final int HALF = 2;
    private static final double FAST_PART = 0.3;
    private static final double FAST = 1.95;
    private static final double SLOW = 0.6;
    private static final double SECOND = 1e6;
    // The first third of the jobs is not counted
    private static final int WARM_PART = 3;

    /** The policies of the paper's Figure 2, and this project's module. */
    public enum Dispatching {
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
    public record Outcome(double meanResponse, double fastFound) {}

    private final int servers;
    private final int fast;
    private final double load;
    private final int jobs;
    private final UniformRandomProvider random;
    private final Timeline time = new Timeline();
    private final Deque<Job>[] queues;
    private final long[] dispatched;
    private final ZigguratSampler.Exponential unit;
    private double sum;
    private int ended;
    private int started;
    private int[] ranking;
    private int rankedAt;

    private record Job(long came, Runnable done) {}

    /** {@code load}: λ of the paper, less than 1. */
    // An array of queues
    @SuppressWarnings({"unchecked", "rawtypes"})
    public PaperExperiment(int servers, double load, int jobs, long seed) {
        this.servers = servers;
        this.fast = (int) Math.round(FAST_PART * servers);
        this.load = load;
        this.jobs = jobs;
        this.random = Seeds.stream(seed, "paper");
        this.queues = new Deque[servers];
        Arrays.setAll(queues, i -> new ArrayDeque<>());
        this.dispatched = new long[servers];
        this.unit = ZigguratSampler.Exponential.of(random, 1);
    }

    /** Plays it with one of the policies. */
    public Outcome play(Dispatching policy) {
        Module module = policy == Dispatching.MODULE ? new Module() : null;
        arrive(policy, module);
        while (ended < jobs) {
            time.run(time.now() + (long) SECOND);
        }
        Integer[] ranked = IntStream.range(0, servers).boxed().toArray(Integer[]::new);
        Arrays.sort(ranked, Comparator.comparingLong(i -> -dispatched[i]));
        double found =
                Arrays.stream(ranked).limit(fast).filter(i -> i < fast).count() / (double) fast;
        return new Outcome(sum / (jobs - jobs / WARM_PART) / SECOND, found);
    }

    private void arrive(Dispatching policy, Module module) {
        if (started == jobs) {
            return;
        }
        int job = started++;
        if (module != null) {
            module.request(job);
        } else {
            join(choose(policy), () -> {});
        }
        time.after(
                (long) (unit.sample() / (load * servers) * SECOND), () -> arrive(policy, module));
    }

    private void join(int server, Runnable done) {
        dispatched[server]++;
        queues[server].add(new Job(time.now(), done));
        if (queues[server].size() == 1) {
            serve(server);
        }
    }

    private void serve(int server) {
        double rate = server < fast ? FAST : SLOW;
        time.after(
                (long) (unit.sample() / rate * SECOND),
                () -> {
                    Job job = queues[server].poll();
                    if (++ended > jobs / WARM_PART) {
                        sum += time.now() - job.came;
                    }
                    if (!queues[server].isEmpty()) {
                        serve(server);
                    }
                    job.done.run();
                });
    }

    private int choose(Dispatching policy) {
        return switch (policy) {
            case JSQ -> shortest(IntStream.range(0, servers).toArray());
            case JSQ_D -> shortest(drawn(0, servers, D));
            case SED_D -> soonest(drawn(0, servers, D));
            case JSQ_DF_DS -> fastThenSlow();
            default -> accomplished();
        };
    }

    private int[] drawn(int from, int to, int count) {
        int[] drawn = new int[count];
        for (int i = 0; i < count; i++) {
            int next = from + random.nextInt(to - from);
            while (contains(drawn, i, next)) {
                next = from + random.nextInt(to - from);
            }
            drawn[i] = next;
        }
        return drawn;
    }

    private static boolean contains(int[] all, int length, int value) {
        return IntStream.range(0, length).anyMatch(i -> all[i] == value);
    }

    // Ties at random where all are looked at, else to the first drawn, which is as random.
    private int shortest(int[] polled) {
        int start = random.nextInt(polled.length);
        int best = polled[start];
        for (int i = 1; i < polled.length; i++) {
            int next = polled[(start + i) % polled.length];
            best = queues[next].size() < queues[best].size() ? next : best;
        }
        return best;
    }

    private int soonest(int[] polled) {
        int best = polled[0];
        for (int next : polled) {
            best = delay(next) < delay(best) ? next : best;
        }
        return best;
    }

    private double delay(int server) {
        return (queues[server].size() + 1) / (server < fast ? FAST : SLOW);
    }

    private int fastThenSlow() {
        int[] fastOnes = drawn(0, fast, HALF);
        int first = shortest(fastOnes);
        int slow = shortest(drawn(fast, servers, HALF));
        return queues[first].isEmpty() || !queues[slow].isEmpty() ? first : slow;
    }

    // Ranked anew every hundredth of the servers' number of jobs: counts differ by far more than
    // that.
    private int accomplished() {
        if (ranking == null || started - rankedAt >= Math.max(1, servers / 100)) {
            ranking =
                    IntStream.range(0, servers)
                            .boxed()
                            .sorted(Comparator.comparingLong(i -> -dispatched[i]))
                            .mapToInt(i -> i)
                            .toArray();
            rankedAt = started;
        }
        int[] places = new int[D];
        System.arraycopy(drawn(0, fast, HALF), 0, places, 0, HALF);
        System.arraycopy(drawn(fast, servers, D - HALF), 0, places, HALF, D - HALF);
        // The more accomplished first: ties go to them
        Arrays.sort(places);
        int best = ranking[places[0]];
        for (int place : places) {
            best = queues[ranking[place]].size() < queues[best].size() ? ranking[place] : best;
        }
        return best;
    }

    /** This project's module as the one dispatcher; its own requests in flight are the queues. */
    private final class Module implements Policy.Actions {
        private static final long FAR = 3_600_000_000L;
        private final Policy policy;

        Module() {
            Policy.RequestClass kind =
                    new Policy.RequestClass(
                            Policy.Effect.SAFE, Policy.Scope.ALL, 0, FAR, FAR, 0, 1, 0, false);
            policy =
                    new junctionhead.Balance(
                            new Policy.Settings(
                                    1,
                                    0,
                                    0,
                                    List.of(kind),
                                    List.of(),
                                    1,
                                    new Policy.Goal(1, 0, 0, 0),
                                    new Policy.Prices(0, 0),
                                    false,
                                    Policy.Discovery.PUSH,
                                    Policy.Reports.NONE,
                                    false,
                                    new Policy.Limits(1, false, false, false, (long) SECOND, 0),
                                    new Policy.Bounds(
                                            20_000, 2_500_000, 0, 0.13, 0, 3, 3_000_000, 0),
                                    5_000),
                            1);
            List<Policy.Server> list = new ArrayList<>();
            for (int i = 0; i < servers; i++) {
                list.add(
                        new Policy.Server(
                                Integer.toString(i),
                                Policy.State.UP,
                                0,
                                1,
                                i,
                                i < fast ? 0 : 1,
                                0));
            }
            policy.servers(clock(), Policy.ListKind.PERSISTED, list, this);
        }

        private long clock() {
            return time.now() + (long) SECOND;
        }

        void request(int job) {
            policy.request(clock(), Integer.toString(job), 0, 0, null, FAR, -1, false, this);
        }

        @Override
        public void send(String request, String server, long timeout) {
            long at = time.now();
            join(
                    Integer.parseInt(server),
                    () ->
                            policy.outcome(
                                    clock(),
                                    request,
                                    0,
                                    Policy.Outcome.OK,
                                    time.now() - at,
                                    true,
                                    null,
                                    this));
        }

        @Override
        public void refuse(String request, long retryAfter) {
            throw new IllegalStateException(
                    "the module refused a job: there is no refusal in this " + "experiment");
        }

        @Override
        public void fail(String request) {
            refuse(request, 0);
        }

        @Override
        public void wakeAfter(long delay) {
            time.after(Math.max(1, delay), () -> policy.wake(clock(), this));
        }

        @Override
        public void cancel(String request, int attempt) {}

        @Override
        public void probe(String server) {}

        @Override
        public void watch(boolean on) {}

        @Override
        public void fetchList() {}

        @Override
        public void closeIdle(String server) {}

        @Override
        public void tell(int peer, byte[] data) {}

        @Override
        public void remark(String line) {}
    }
}
