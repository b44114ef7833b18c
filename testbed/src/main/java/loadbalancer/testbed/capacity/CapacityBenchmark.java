package loadbalancer.testbed.capacity;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** Plays all trials of a plan, one after another. */
final class CapacityBenchmark {
    private static final List<String> WORST_CASE_METRICS =
            List.of("most", "worst", "last", "unknownPairs", "overtakenPairs");
    private static final int CLASS_LOADING_BALANCERS = 3;
    // µs
    private static final long CLASS_LOADING_MICROS = 4_000_000;
    // Of heap for an upstream of a balancer, about
    private static final long ENDPOINT_HEAP_BYTES = 1_300;

    private final CapacityPlan plan;
    private final FleetFactory fleetFactory;
    private final Consumer<String> progress;

    /** Makes the fleet of one trial. */
    interface FleetFactory {
        HollowFleet create(FleetSpec fleetSpec, long seed) throws IOException;
    }

    CapacityBenchmark(CapacityPlan plan, FleetFactory fleetFactory, Consumer<String> progress) {
        this.plan = plan;
        this.fleetFactory = fleetFactory;
        this.progress = progress;
    }

    /** Figures by name. */
    Map<String, Double> run() throws IOException {
        loadClasses();
        Map<String, Double> metrics = new TreeMap<>();
        for (int balancerCount : plan.balancers()) {
            for (int upstreamCount : plan.upstreams()) {
                checkHeapFits(balancerCount, upstreamCount);
                for (FleetCondition condition : plan.conditions()) {
                    String caseName =
                            "n" + balancerCount + ".u" + upstreamCount + "." + condition.key();
                    List<Map<String, Double>> metricsBySeed = new java.util.ArrayList<>();
                    for (long seed : plan.seeds()) {
                        metricsBySeed.add(
                                runOnce(
                                        new FleetSpec(
                                                balancerCount,
                                                upstreamCount,
                                                plan.zones(),
                                                plan.classes(),
                                                plan.requestsPerSecond(),
                                                plan.components()),
                                        condition,
                                        seed));
                    }
                    Map<String, Double> aggregated = aggregateSeeds(metricsBySeed);
                    aggregated.forEach(
                            (metric, value) -> metrics.put(caseName + "." + metric, value));
                    progress.accept(caseName + ": " + summaryLine(aggregated));
                }
            }
        }
        addHeapSlopes(metrics);
        return metrics;
    }

    // What the program itself keeps must not count as the first fleet's: with 3 balancers that was
    // a third.
    private void loadClasses() throws IOException {
        FleetSpec fleetSpec =
                new FleetSpec(
                        CLASS_LOADING_BALANCERS,
                        1,
                        1,
                        plan.classes(),
                        plan.requestsPerSecond(),
                        plan.components());
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
            throw new IOException(
                    balancerCount
                            + " balancers with "
                            + upstreamCount
                            + " upstreams want some "
                            + (requiredBytes >> 20)
                            + " MB of heap: give more with java -Xmx, or ask for fewer");
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
                    "heap.bytesPerBalancer",
                    (double) (HeapUsage.liveBytes() - heapBeforeBytes) / fleetSpec.balancers());
            return metrics;
        }
    }

    private static Map<String, Double> aggregateSeeds(List<Map<String, Double>> metricsBySeed) {
        return metricsBySeed.stream()
                .flatMap(metrics -> metrics.entrySet().stream())
                .collect(
                        Collectors.groupingBy(
                                Map.Entry::getKey,
                                TreeMap::new,
                                Collectors.collectingAndThen(
                                        Collectors.toList(),
                                        sameMetric -> {
                                            String name = sameMetric.get(0).getKey();
                                            var values =
                                                    sameMetric.stream()
                                                            .mapToDouble(Map.Entry::getValue);
                                            return (WORST_CASE_METRICS.contains(
                                                                    name.substring(
                                                                            name.lastIndexOf('.')
                                                                                    + 1))
                                                            ? values.max()
                                                            : values.average())
                                                    .orElseThrow();
                                        })));
    }

    // Of live heap, what one more upstream takes in a balancer, and one more balancer in each of
    // the others.
    private void addHeapSlopes(Map<String, Double> metrics) {
        for (FleetCondition condition : plan.conditions()) {
            List<Integer> upstreamCounts = plan.upstreams().stream().sorted().toList();
            List<Integer> balancerCounts = plan.balancers().stream().sorted().toList();
            int minUpstreams = upstreamCounts.get(0);
            int maxUpstreams = upstreamCounts.get(upstreamCounts.size() - 1);
            for (int balancerCount : balancerCounts) {
                if (minUpstreams < maxUpstreams) {
                    metrics.put(
                            "n" + balancerCount + "." + condition.key() + ".heap.bytesPerUpstream",
                            (heapBytesPerBalancer(metrics, balancerCount, maxUpstreams, condition)
                                            - heapBytesPerBalancer(
                                                    metrics,
                                                    balancerCount,
                                                    minUpstreams,
                                                    condition))
                                    / (maxUpstreams - minUpstreams));
                }
            }
            int minBalancers = balancerCounts.get(0);
            int maxBalancers = balancerCounts.get(balancerCounts.size() - 1);
            for (int upstreamCount : upstreamCounts) {
                if (minBalancers < maxBalancers) {
                    metrics.put(
                            "u" + upstreamCount + "." + condition.key() + ".heap.bytesPerPeer",
                            (heapBytesPerBalancer(metrics, maxBalancers, upstreamCount, condition)
                                            - heapBytesPerBalancer(
                                                    metrics,
                                                    minBalancers,
                                                    upstreamCount,
                                                    condition))
                                    / (maxBalancers - minBalancers));
                }
            }
        }
    }

    private static double heapBytesPerBalancer(
            Map<String, Double> metrics,
            int balancerCount,
            int upstreamCount,
            FleetCondition condition) {
        return metrics.get(
                "n"
                        + balancerCount
                        + ".u"
                        + upstreamCount
                        + "."
                        + condition.key()
                        + ".heap.bytesPerBalancer");
    }

    private static String summaryLine(Map<String, Double> metrics) {
        return String.format(
                java.util.Locale.ROOT,
                "sent %.1f datagrams/s, %.0f bytes/s; received %.1f, "
                        + "%.0f; %.5f of a core; %.2f MB live",
                metrics.get("sent.datagramsPerSecond.mean"),
                metrics.get("sent.bytesPerSecond.mean"),
                metrics.get("received.datagramsPerSecond.mean"),
                metrics.get("received.bytesPerSecond.mean"),
                metrics.get("cpu.shareOfCore.total"),
                metrics.get("heap.bytesPerBalancer") / 1e6);
    }
}
