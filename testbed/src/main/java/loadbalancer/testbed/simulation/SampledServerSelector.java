package loadbalancer.testbed.simulation;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Implements the dispatching policies of the JSQ-DAS paper, which select a server by the lengths of
 * all queues or of a sample. Used only by the thread that runs the simulation.
 */
final class SampledServerSelector {
    // Called d in the paper.
    private static final int SAMPLE_SIZE = 4;
    // Called a, d_F and d_S in the paper.
    private static final int GROUP_SAMPLE_SIZE = 2;
    // The ranking is renewed each time the number of new jobs reaches the number of servers divided
    // by this. The dispatch counts of servers differ by far more than those jobs.
    private static final int RANKING_INTERVAL_DIVISOR = 100;

    private final QueueingServers servers;
    private final UniformRandomProvider random;
    // Servers by dispatch count, highest first; empty until first needed.
    private int[] ranking = {};
    private int rankedAtJob;

    SampledServerSelector(QueueingServers servers, UniformRandomProvider random) {
        this.servers = servers;
        this.random = random;
    }

    /**
     * Selects the server of a job.
     *
     * @param startedJobs number of jobs so far, including this one
     */
    int select(JsqDasExperiment.DispatchPolicy policy, int startedJobs) {
        return switch (policy) {
            case JSQ -> shortestQueue(IntStream.range(0, servers.count()).toArray());
            case JSQ_D -> shortestQueue(sample(0, servers.count(), SAMPLE_SIZE));
            case SED_D -> shortestExpectedDelay(sample(0, servers.count(), SAMPLE_SIZE));
            case JSQ_DF_DS -> selectFromFastAndSlow();
            case JSQ_DAS, MODULE -> selectAccomplished(startedJobs);
        };
    }

    private int[] sample(int fromInclusive, int toExclusive, int count) {
        int[] sampled = new int[count];
        for (int i = 0; i < count; i++) {
            int candidate = draw(fromInclusive, toExclusive);
            while (contains(sampled, i, candidate)) {
                candidate = draw(fromInclusive, toExclusive);
            }
            sampled[i] = candidate;
        }
        return sampled;
    }

    private int draw(int fromInclusive, int toExclusive) {
        return fromInclusive + random.nextInt(toExclusive - fromInclusive);
    }

    private static boolean contains(int[] values, int length, int value) {
        return IntStream.range(0, length).anyMatch(i -> values[i] == value);
    }

    // The search starts at a random position because the first of several shortest queues wins.
    private int shortestQueue(int[] sampled) {
        int start = random.nextInt(sampled.length);
        int best = sampled[start];
        for (int i = 1; i < sampled.length; i++) {
            best = shorterQueue(best, sampled[(start + i) % sampled.length]);
        }
        return best;
    }

    private int shorterQueue(int best, int candidate) {
        return servers.queueLength(candidate) < servers.queueLength(best) ? candidate : best;
    }

    private int shortestExpectedDelay(int[] sampled) {
        int best = sampled[0];
        for (int candidate : sampled) {
            best = expectedDelay(candidate) < expectedDelay(best) ? candidate : best;
        }
        return best;
    }

    private double expectedDelay(int server) {
        return (servers.queueLength(server) + 1) / servers.serviceRate(server);
    }

    private int selectFromFastAndSlow() {
        int shortestFast = shortestQueue(sample(0, servers.fastCount(), GROUP_SAMPLE_SIZE));
        int shortestSlow =
                shortestQueue(sample(servers.fastCount(), servers.count(), GROUP_SAMPLE_SIZE));
        boolean fastIsIdle = servers.queueLength(shortestFast) == 0;
        boolean slowIsIdle = servers.queueLength(shortestSlow) == 0;
        return fastIsIdle || !slowIsIdle ? shortestFast : shortestSlow;
    }

    private int selectAccomplished(int startedJobs) {
        renewRankingIfDue(startedJobs);
        int[] accomplished = sample(0, servers.fastCount(), GROUP_SAMPLE_SIZE);
        int[] others =
                sample(servers.fastCount(), servers.count(), SAMPLE_SIZE - GROUP_SAMPLE_SIZE);
        // The more accomplished servers come first, so they win among equally short queues.
        int[] ranks =
                IntStream.concat(Arrays.stream(accomplished), Arrays.stream(others))
                        .sorted()
                        .toArray();
        int best = ranking[ranks[0]];
        for (int rank : ranks) {
            best = shorterQueue(best, ranking[rank]);
        }
        return best;
    }

    private void renewRankingIfDue(int startedJobs) {
        int renewalInterval = Math.max(1, servers.count() / RANKING_INTERVAL_DIVISOR);
        if (ranking.length == 0 || startedJobs - rankedAtJob >= renewalInterval) {
            ranking = rankByDispatchCount(servers);
            rankedAtJob = startedJobs;
        }
    }

    /** Returns all servers by the number of jobs that were sent to them, highest first. */
    static int[] rankByDispatchCount(QueueingServers servers) {
        return IntStream.range(0, servers.count())
                .boxed()
                .sorted(Comparator.comparingLong(server -> -servers.dispatchCount(server)))
                .mapToInt(server -> server)
                .toArray();
    }
}
