package loadbalancer.routing;

import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import loadbalancer.routing.endpoint.EndpointRegistry;
import loadbalancer.routing.endpoint.EndpointState;

/**
 * Selects an endpoint by JSQ-DAS, join the shortest queue of d with accomplishment sampling:
 * definition 2 of Gardner and Stephens, "Smart Dispatching in Heterogeneous Systems".
 *
 * <p>Of k candidates, a are sampled uniformly without replacement from the p·k most accomplished
 * and d − a from the others. The candidate with the shortest queue in the sample is selected; a tie
 * is won by the more accomplished one. The accomplishment of an endpoint is the number of requests
 * that this balancer has dispatched to it. The count decays, so that an endpoint that becomes slow
 * loses its rank within seconds. p is the fraction of endpoints of the faster machine types ({@link
 * EndpointRegistry#fastFraction}).
 *
 * <p>Not thread-safe: used only on the thread of its {@link RoutingEngine}.
 */
final class JsqDasSelector {
    // The parameter d of the paper
    private static final int SAMPLE_SIZE = 4;
    // The parameter a of the paper
    private static final int ACCOMPLISHED_SAMPLE_SIZE = 2;

    private static final int NO_RANK = -1;
    private static final Comparator<EndpointState> MOST_ACCOMPLISHED_FIRST =
            Comparator.<EndpointState>comparingDouble(endpoint -> -endpoint.accomplishment())
                    .thenComparingInt(endpoint -> endpoint.tieBreaker());

    private final EndpointRegistry registry;
    private final QueueLengthEstimator queueLengths;
    private final SplittableRandom random;

    JsqDasSelector(
            EndpointRegistry registry, QueueLengthEstimator queueLengths, SplittableRandom random) {
        this.registry = registry;
        this.queueLengths = queueLengths;
        this.random = random;
    }

    /**
     * Selects one of the candidates.
     *
     * @param candidates at least one; the list is sorted in place by accomplishment
     * @param now the current time, µs
     */
    EndpointState select(List<EndpointState> candidates, long now) {
        int candidateCount = candidates.size();
        if (candidateCount == 1) {
            return candidates.get(0);
        }
        candidates.sort(MOST_ACCOMPLISHED_FIRST);
        int accomplishedCount = accomplishedCount(candidateCount);
        int otherCount = candidateCount - accomplishedCount;
        // If a set is smaller than its part of the sample, more are sampled from the other set
        int accomplishedSampleSize =
                Math.min(
                        accomplishedCount,
                        Math.max(ACCOMPLISHED_SAMPLE_SIZE, SAMPLE_SIZE - otherCount));
        int otherSampleSize = Math.min(otherCount, SAMPLE_SIZE - accomplishedSampleSize);
        int bestRank =
                sampleShortestQueue(
                        candidates, 0, accomplishedCount, accomplishedSampleSize, NO_RANK, now);
        bestRank =
                sampleShortestQueue(
                        candidates,
                        accomplishedCount,
                        candidateCount,
                        otherSampleSize,
                        bestRank,
                        now);
        return candidates.get(bestRank);
    }

    // Returns p·k, limited so that neither set is empty.
    private int accomplishedCount(int candidateCount) {
        int fastCount = (int) Math.round(registry.fastFraction() * candidateCount);
        return Math.max(1, Math.min(candidateCount - 1, fastCount));
    }

    /**
     * Samples ranks of {@code [fromRank, toRank)} without replacement, by a partial Fisher-Yates
     * shuffle. Returns the rank with the shortest queue among these and {@code bestSoFar}.
     */
    private int sampleShortestQueue(
            List<EndpointState> ranked,
            int fromRank,
            int toRank,
            int sampleSize,
            int bestSoFar,
            long now) {
        int bestRank = bestSoFar;
        int[] ranks = IntStream.range(fromRank, toRank).toArray();
        for (int drawn = 0; drawn < sampleSize; drawn++) {
            int drawnIndex = drawn + random.nextInt(ranks.length - drawn);
            int rank = ranks[drawnIndex];
            ranks[drawnIndex] = ranks[drawn];
            if (bestRank == NO_RANK || isPreferred(ranked, rank, bestRank, now)) {
                bestRank = rank;
            }
        }
        return bestRank;
    }

    // Returns whether a rank has a shorter queue than the best one, or an equal one and more
    // accomplishment.
    private boolean isPreferred(List<EndpointState> ranked, int rank, int bestRank, long now) {
        double lengthDifference =
                queueLengths.estimate(ranked.get(rank), now)
                        - queueLengths.estimate(ranked.get(bestRank), now);
        return lengthDifference < 0 || (lengthDifference == 0 && rank < bestRank);
    }
}
