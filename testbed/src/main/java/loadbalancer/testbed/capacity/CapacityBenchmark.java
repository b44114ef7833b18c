package loadbalancer.testbed.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.stream.DoubleStream;
import loadbalancer.testbed.error.InsufficientResourcesException;

/**
 * Measures all cases of a plan, one after another. A case is a number of balancers, a number of
 * upstreams and a condition. Its metrics are means over the seeds, except that metrics of worst
 * cases are maxima. Not thread-safe.
 */
final class CapacityBenchmark {
    // Last parts of the names of metrics that are maxima over the seeds
    private static final List<String> WORST_CASE_METRICS =
            List.of("most", "worst", "last", "unknownPairs", "overtakenPairs");
    private static final String HEAP_METRIC = "heap.bytesPerBalancer";
    private static final int CLASS_LOADING_BALANCERS = 3;
    private static final long CLASS_LOADING_MICROS = 4_000_000;
    // Approximate heap of one upstream in one balancer
    private static final long ENDPOINT_HEAP_BYTES = 1_300;

    private final CapacityPlan plan;
    private final FleetFactory fleetFactory;
    private final Consumer<String> progress;

    /** Creates the fleet of one case and seed. */
    interface FleetFactory {
        /**
         * Creates a fleet.
         *
         * @throws IOException if the fleet needs too many descriptors, or a process can't be
         *     started
         */
        HollowFleet create(FleetSpec fleetSpec, long seed) throws IOException;
    }

    /**
     * Creates a benchmark.
     *
     * @param progress is called with one line of text for each case
     */
    CapacityBenchmark(CapacityPlan plan, FleetFactory fleetFactory, Consumer<String> progress) {
        this.plan = plan;
        this.fleetFactory = fleetFactory;
        this.progress = progress;
    }

    /**
     * Measures all cases of the plan.
     *
     * @return the metrics by name
     * @throws IOException if a fleet can't be created, or a real balancer has ended
     */
    Map<String, Double> run() throws IOException {
        runClassLoadingFleet();
        Map<String, Double> metrics = new TreeMap<>();
        for (int balancerCount : plan.balancers()) {
            for (int upstreamCount : plan.upstreams()) {
                checkHeapFits(balancerCount, upstreamCount);
                for (FleetCondition condition : plan.conditions()) {
                    measureCase(balancerCount, upstreamCount, condition, metrics);
                }
            }
        }
        addHeapSlopes(metrics);
        return metrics;
    }

    private void measureCase(
            int balancerCount,
            int upstreamCount,
            FleetCondition condition,
            Map<String, Double> metrics)
            throws IOException {
        FleetSpec fleetSpec = fleetSpec(balancerCount, upstreamCount, plan.zones());
        List<Map<String, Double>> metricsBySeed = new ArrayList<>();
        for (long seed : plan.seeds()) {
            metricsBySeed.add(runOnce(fleetSpec, condition, seed));
        }
        Map<String, Double> aggregated = aggregateSeeds(metricsBySeed);
        String caseName = caseName(balancerCount, upstreamCount, condition);
        aggregated.forEach((metric, value) -> metrics.put(caseName + "." + metric, value));
        progress.accept(caseName + ": " + summaryLine(aggregated));
    }

    private FleetSpec fleetSpec(int balancerCount, int upstreamCount, int zoneCount) {
        return new FleetSpec(
                balancerCount,
                upstreamCount,
                zoneCount,
                plan.classes(),
                plan.requestsPerSecond(),
                plan.components());
    }

    private static String caseName(int balancerCount, int upstreamCount, FleetCondition condition) {
        return "n" + balancerCount + ".u" + upstreamCount + "." + condition.key();
    }

    // Loads the classes with a small fleet before the first measurement. Otherwise their heap would
    // count as heap of the first fleet; it would be a third of it with three balancers.
    private void runClassLoadingFleet() throws IOException {
        FleetSpec fleetSpec = fleetSpec(CLASS_LOADING_BALANCERS, 1, 1);
        try (HollowFleet fleet = new SimulatedHollowFleet(fleetSpec, 1)) {
            CapacityExperiment experiment =
                    new CapacityExperiment(fleetSpec, fleet, CLASS_LOADING_MICROS);
            experiment.start(CLASS_LOADING_MICROS, 1);
            experiment.measure(FleetCondition.QUIET);
        }
    }

    private void checkHeapFits(int balancerCount, int upstreamCount) throws IOException {
        long requiredBytes =
                plan.components().contains(BalancerComponent.ROUTING)
                        ? ENDPOINT_HEAP_BYTES * balancerCount * upstreamCount
                        : 0;
        if (requiredBytes > Runtime.getRuntime().maxMemory()) {
            throw new InsufficientResourcesException(
                    balancerCount
                            + " balancers with "
                            + upstreamCount
                            + " upstreams need about "
                            + (requiredBytes >> 20)
                            + " MB of heap: raise the limit with java -Xmx, or choose fewer");
        }
    }

    private Map<String, Double> runOnce(FleetSpec fleetSpec, FleetCondition condition, long seed)
            throws IOException {
        long heapBeforeBytes = HeapUsage.liveBytes();
        try (HollowFleet fleet = fleetFactory.create(fleetSpec, seed)) {
            CapacityExperiment experiment =
                    new CapacityExperiment(fleetSpec, fleet, plan.lengthMicros());
            experiment.start(plan.warmUpMicros(), seed);
            Map<String, Double> metrics = experiment.measure(condition);
            metrics.put(
                    HEAP_METRIC,
                    (double) (HeapUsage.liveBytes() - heapBeforeBytes) / fleetSpec.balancers());
            return metrics;
        }
    }

    private static Map<String, Double> aggregateSeeds(List<Map<String, Double>> metricsBySeed) {
        Map<String, List<Double>> valuesByMetric = new TreeMap<>();
        for (Map<String, Double> metrics : metricsBySeed) {
            metrics.forEach(
                    (metric, value) ->
                            valuesByMetric
                                    .computeIfAbsent(metric, k -> new ArrayList<>())
                                    .add(value));
        }
        Map<String, Double> aggregated = new TreeMap<>();
        valuesByMetric.forEach(
                (metric, values) -> aggregated.put(metric, aggregate(metric, values)));
        return aggregated;
    }

    private static double aggregate(String metric, List<Double> values) {
        String lastPart = metric.substring(metric.lastIndexOf('.') + 1);
        DoubleStream stream = values.stream().mapToDouble(Double::doubleValue);
        OptionalDouble result =
                WORST_CASE_METRICS.contains(lastPart) ? stream.max() : stream.average();
        return result.orElseThrow();
    }

    /**
     * Adds the slopes of the live heap for each condition: the bytes that one more upstream takes
     * in a balancer, and the bytes that one more balancer takes in each of the others.
     */
    private void addHeapSlopes(Map<String, Double> metrics) {
        for (FleetCondition condition : plan.conditions()) {
            for (int balancerCount : plan.balancers()) {
                addSlope(
                        metrics,
                        "n" + balancerCount + "." + condition.key() + ".heap.bytesPerUpstream",
                        plan.upstreams(),
                        upstreamCount -> caseName(balancerCount, upstreamCount, condition));
            }
            for (int upstreamCount : plan.upstreams()) {
                addSlope(
                        metrics,
                        "u" + upstreamCount + "." + condition.key() + ".heap.bytesPerPeer",
                        plan.balancers(),
                        balancerCount -> caseName(balancerCount, upstreamCount, condition));
            }
        }
    }

    /** Adds the slope of the heap between the smallest and the largest size, if they differ. */
    private static void addSlope(
            Map<String, Double> metrics,
            String slopeName,
            List<Integer> sizes,
            IntFunction<String> caseNameOfSize) {
        int minSize = Collections.min(sizes);
        int maxSize = Collections.max(sizes);
        if (minSize < maxSize) {
            double minHeapBytes = metrics.get(caseNameOfSize.apply(minSize) + "." + HEAP_METRIC);
            double maxHeapBytes = metrics.get(caseNameOfSize.apply(maxSize) + "." + HEAP_METRIC);
            metrics.put(slopeName, (maxHeapBytes - minHeapBytes) / (maxSize - minSize));
        }
    }

    private static String summaryLine(Map<String, Double> metrics) {
        return String.format(
                Locale.ROOT,
                "sent %.1f datagrams/s, %.0f bytes/s; received %.1f, "
                        + "%.0f; %.5f of a core; %.2f MB live",
                metrics.get("sent.datagramsPerSecond.mean"),
                metrics.get("sent.bytesPerSecond.mean"),
                metrics.get("received.datagramsPerSecond.mean"),
                metrics.get("received.bytesPerSecond.mean"),
                metrics.get("cpu.shareOfCore.total"),
                metrics.get(HEAP_METRIC) / 1e6);
    }
}
