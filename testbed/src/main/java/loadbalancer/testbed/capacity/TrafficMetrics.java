package loadbalancer.testbed.capacity;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongBiFunction;

/** Computes the rates of datagrams and bytes over several balancers, per second. Stateless. */
final class TrafficMetrics {
    /** The cost categories that have datagrams. */
    static final List<CostCategory> DATAGRAM_CATEGORIES =
            List.of(CostCategory.GOSSIP, CostCategory.MEMBERSHIP, CostCategory.LEASES);

    /** Reads one counter of datagrams or bytes, and names its metric. */
    private record Counter(String metric, ToLongBiFunction<CostCounters, CostCategory> value) {
        private double of(CostCounters counters, CostCategory category) {
            return value.applyAsLong(counters, category);
        }

        private double total(CostCounters counters) {
            return DATAGRAM_CATEGORIES.stream()
                    .mapToDouble(category -> of(counters, category))
                    .sum();
        }
    }

    private static final List<Counter> COUNTERS =
            List.of(
                    new Counter("sent.datagramsPerSecond", CostCounters::sentDatagrams),
                    new Counter("sent.bytesPerSecond", CostCounters::sentBytes),
                    new Counter("received.datagramsPerSecond", CostCounters::receivedDatagrams),
                    new Counter("received.bytesPerSecond", CostCounters::receivedBytes));

    private TrafficMetrics() {}

    /**
     * Adds the means over the balancers for each category.
     *
     * @param keyPrefix the prefix of the metrics' names
     * @param seconds the time that the counters cover
     */
    static void addMeans(
            String keyPrefix,
            List<CostCounters> counters,
            double seconds,
            Map<String, Double> metrics) {
        for (CostCategory category : DATAGRAM_CATEGORIES) {
            for (Counter counter : COUNTERS) {
                double mean =
                        counters.stream()
                                .mapToDouble(balancer -> counter.of(balancer, category))
                                .average()
                                .orElse(0);
                metrics.put(keyPrefix + counter.metric + "." + category.key(), mean / seconds);
            }
        }
    }

    /**
     * Adds the mean, 99th percentile and maximum over the balancers, for all categories together.
     */
    static void addDistributions(
            List<CostCounters> counters, double seconds, Map<String, Double> metrics) {
        for (Counter counter : COUNTERS) {
            double[] sorted = sortedRates(counters, seconds, counter::total);
            metrics.put(counter.metric + ".mean", Arrays.stream(sorted).average().orElse(0));
            metrics.put(counter.metric + ".p99", quantile(sorted, 0.99));
            metrics.put(counter.metric + ".most", sorted[sorted.length - 1]);
        }
    }

    private static double[] sortedRates(
            List<CostCounters> counters, double seconds, ToDoubleFunction<CostCounters> total) {
        return counters.stream()
                .mapToDouble(total)
                .map(value -> value / seconds)
                .sorted()
                .toArray();
    }

    /** Returns the smallest value that at least {@code fraction} of all values do not exceed. */
    static double quantile(double[] sorted, double fraction) {
        return sorted[Math.max(0, (int) Math.ceil(fraction * sorted.length) - 1)];
    }
}
