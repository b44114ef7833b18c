package loadbalancer.testbed.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Measures one fleet under one condition: starts it, waits until it has settled, applies the
 * condition and computes the metrics. Not thread-safe.
 */
final class CapacityExperiment {
    // Time between two samples of the request rates that the routing policies estimate
    private static final long SAMPLE_INTERVAL_MICROS = 200_000;
    // Balancers start at random times within this period, so that their timers are not in step.
    private static final long START_SPREAD_MICROS = 200_000;

    private final FleetSpec fleetSpec;
    private final HollowFleet fleet;
    private final long lengthMicros;
    private final List<Double> rateErrors = new ArrayList<>();
    private boolean measuring;

    /**
     * Creates an experiment.
     *
     * @param lengthMicros how long the condition lasts, µs
     */
    CapacityExperiment(FleetSpec fleetSpec, HollowFleet fleet, long lengthMicros) {
        this.fleetSpec = fleetSpec;
        this.fleet = fleet;
        this.lengthMicros = lengthMicros;
    }

    /** Returns the size and the settings of the fleet. */
    FleetSpec fleetSpec() {
        return fleetSpec;
    }

    /** Returns the fleet that is measured. */
    HollowFleet fleet() {
        return fleet;
    }

    /** Returns how long the condition lasts, µs. */
    long lengthMicros() {
        return lengthMicros;
    }

    /**
     * Starts all balancers within a short period, in an order that {@code seed} determines, and
     * waits until {@code warmUpMicros} µs have passed since the first start.
     */
    void start(long warmUpMicros, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long[] startOffsetsMicros =
                IntStream.range(0, fleetSpec.balancers())
                        .mapToLong(balancer -> random.nextLong(START_SPREAD_MICROS))
                        .sorted()
                        .toArray();
        List<Integer> startOrder =
                new ArrayList<>(IntStream.range(0, fleetSpec.balancers()).boxed().toList());
        Collections.shuffle(startOrder, new Random(seed));
        long startMicros = fleet.now();
        for (int i = 0; i < startOffsetsMicros.length; i++) {
            advance(startMicros + startOffsetsMicros[i] - fleet.now());
            fleet.start(startOrder.get(i));
        }
        advance(Math.max(0, startMicros + warmUpMicros - fleet.now()));
    }

    /**
     * Lets the fleet run for {@code durationMicros} µs. During the measurement, samples the request
     * rates that the routing policies estimate.
     */
    void advance(long durationMicros) {
        long remainingMicros = durationMicros;
        while (remainingMicros > 0) {
            long stepMicros = Math.min(remainingMicros, SAMPLE_INTERVAL_MICROS);
            fleet.advance(stepMicros);
            remainingMicros -= stepMicros;
            if (measuring
                    && fleetSpec.requestsPerSecond() > 0
                    && stepMicros == SAMPLE_INTERVAL_MICROS) {
                sampleRemoteRates();
            }
        }
    }

    private void sampleRemoteRates() {
        double[] knownRates = fleet.remoteRates();
        double totalRate =
                IntStream.range(0, fleetSpec.balancers())
                        .filter(fleet::isRunning)
                        .mapToDouble(fleetSpec::requestsPerSecond)
                        .sum();
        for (int balancer = 0; balancer < knownRates.length; balancer++) {
            if (!Double.isNaN(knownRates[balancer])) {
                double remoteRate = totalRate - fleetSpec.requestsPerSecond(balancer);
                rateErrors.add(knownRates[balancer] / remoteRate - 1);
            }
        }
    }

    /**
     * Applies the condition and returns the metrics by name. Rates are per second of the fleet's
     * time, simulated or real.
     *
     * @throws IOException if a real balancer of the fleet has ended
     */
    Map<String, Double> measure(FleetCondition condition) throws IOException {
        fleet.resetCounters();
        fleet.listPropagationMicros().reset();
        measuring = true;
        long startMicros = fleet.now();
        condition.run(this);
        measuring = false;
        double seconds = (fleet.now() - startMicros) / 1e6;
        List<CostCounters> counters = fleet.counters();
        Map<String, Double> metrics = new TreeMap<>();
        TrafficMetrics.addDistributions(counters, seconds, metrics);
        TrafficMetrics.addMeans("", counters, seconds, metrics);
        addCpu(counters, seconds, metrics);
        addPercentiles("death", fleet.detections().deathDetectionMicros(), metrics);
        addPercentiles("return", fleet.detections().returnDetectionMicros(), metrics);
        if (fleetSpec.components().contains(BalancerComponent.MEMBERSHIP)) {
            metrics.put("death.unknownPairs", (double) fleet.detections().undetectedDeaths());
            metrics.put("death.overtakenPairs", (double) fleet.detections().supersededDeaths());
            metrics.put("return.unknownPairs", (double) fleet.detections().undetectedReturns());
        }
        addPercentiles("listInForce", fleet.listPropagationMicros(), metrics);
        addRateErrors(counters, metrics);
        metrics.putAll(fleet.additionalMetrics(seconds));
        return metrics;
    }

    // Counters hold elapsed time. The CPU time is a fraction of it, which the fleet measures.
    private void addCpu(List<CostCounters> counters, double seconds, Map<String, Double> metrics) {
        double cpuFraction = fleet.cpuFraction();
        double totalShare = 0;
        for (CostCategory category : CostCategory.values()) {
            double share =
                    counters.stream()
                                    .mapToDouble(
                                            balancerCounters ->
                                                    balancerCounters.elapsedNanos(category))
                                    .average()
                                    .orElse(0)
                            * cpuFraction
                            / 1e9
                            / seconds;
            metrics.put("cpu.shareOfCore." + category.key(), share);
            totalShare += share;
        }
        metrics.put("cpu.shareOfCore.total", totalShare);
        metrics.put("cpu.shareOfCore.threads", fleet.cpuNanos() / 1e9 / seconds / counters.size());
        double listChanges = counters.stream().mapToDouble(CostCounters::listChanges).sum();
        if (listChanges > 0) {
            metrics.put(
                    "cpu.listChangeMs.mean",
                    counters.stream()
                                    .mapToDouble(
                                            balancerCounters ->
                                                    balancerCounters.elapsedNanos(
                                                            CostCategory.ENDPOINT_LIST))
                                    .sum()
                            * cpuFraction
                            / 1e6
                            / listChanges);
            metrics.put(
                    "cpu.listChangeMs.most",
                    counters.stream().mapToDouble(CostCounters::maxListChangeNanos).max().orElse(0)
                            / 1e6);
        }
    }

    private static void addPercentiles(
            String name, Histogram histogram, Map<String, Double> metrics) {
        if (histogram.getTotalCount() > 0) {
            metrics.put(name + ".seconds.p50", histogram.getValueAtPercentile(50) / 1e6);
            metrics.put(name + ".seconds.p99", histogram.getValueAtPercentile(99) / 1e6);
            metrics.put(name + ".seconds.last", histogram.getMaxValue() / 1e6);
            metrics.put(name + ".knownPairs", (double) histogram.getTotalCount());
        }
    }

    private void addRateErrors(List<CostCounters> counters, Map<String, Double> metrics) {
        if (rateErrors.isEmpty()) {
            return;
        }
        double[] sortedErrors = rateErrors.stream().mapToDouble(Math::abs).sorted().toArray();
        metrics.put(
                "othersRate.relativeError.bias",
                rateErrors.stream().mapToDouble(error -> error).average().orElse(0));
        metrics.put("othersRate.relativeError.p50", TrafficMetrics.quantile(sortedErrors, 0.5));
        metrics.put("othersRate.relativeError.p99", TrafficMetrics.quantile(sortedErrors, 0.99));
        metrics.put("othersRate.relativeError.worst", sortedErrors[sortedErrors.length - 1]);
        double requests = counters.stream().mapToDouble(CostCounters::requests).sum();
        metrics.put(
                "requests.unservedShare",
                requests == 0
                        ? 0
                        : counters.stream().mapToDouble(CostCounters::unservedRequests).sum()
                                / requests);
    }
}
