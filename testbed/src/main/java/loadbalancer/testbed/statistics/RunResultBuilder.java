package loadbalancer.testbed.statistics;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import loadbalancer.testbed.invariant.RequestInvariants;
import loadbalancer.testbed.invariant.Violation;
import loadbalancer.testbed.workload.WorkloadPlan;

/** Makes the result of a run, real or simulated, of what was counted. */
public final class RunResultBuilder {
    // µs after a fault in which the unserved are counted
    private static final long FAULT_IMPACT_MICROS = 10_000_000;

    private RunResultBuilder() {}

    /**
     * The result; a property over time that the scenario expects and that does not hold becomes a
     * breach.
     *
     * @param metrics what only the caller could measure
     * @param untrustedReason why the run counts for nothing, or empty
     */
    public static RunResult build(
            WorkloadPlan workload,
            ServiceWindows serviceWindows,
            RequestInvariants requestInvariants,
            SortedMap<String, Double> metrics,
            List<RunResult.BalancerUsage> balancers,
            String untrustedReason) {
        long lengthMicros = workload.scenario().lengthMicros();
        metrics.put("service", serviceWindows.weightedService());
        metrics.put("served_share", serviceWindows.servedFraction(0, lengthMicros));
        metrics.put("unserved", (double) serviceWindows.unservedCount(0, lengthMicros));
        List<RunResult.FaultImpact> impacts = faultImpacts(workload, serviceWindows, metrics);
        Double maxRecoverySeconds = workload.scenario().expectations().recoveryWithinS();
        if (maxRecoverySeconds != null) {
            recordSlowRecoveries(impacts, maxRecoverySeconds, requestInvariants);
        }
        return new RunResult(
                workload.scenario().name(),
                workload.seed(),
                workload.digest(),
                untrustedReason.isEmpty(),
                untrustedReason,
                workload.scenario().lengthS(),
                requestInvariants.violationCount(),
                requestInvariants.violations().stream().map(Violation::toString).toList(),
                metrics,
                latencies(serviceWindows),
                slices(serviceWindows),
                impacts,
                balancers);
    }

    /** What each fault did to the service; its figures go into the metrics as well. */
    private static List<RunResult.FaultImpact> faultImpacts(
            WorkloadPlan workload,
            ServiceWindows serviceWindows,
            SortedMap<String, Double> metrics) {
        long lengthMicros = workload.scenario().lengthMicros();
        List<RunResult.FaultImpact> impacts = new ArrayList<>();
        for (WorkloadPlan.Fault fault : workload.faults()) {
            long recoveryMicros = serviceWindows.recoveryMicrosAfter(fault.startMicros());
            int unservedCount =
                    serviceWindows.unservedCount(
                            fault.startMicros(), fault.startMicros() + FAULT_IMPACT_MICROS);
            String metricPrefix = fault.kind().keyword() + "_" + (impacts.size() + 1);
            impacts.add(
                    new RunResult.FaultImpact(
                            fault.kind().keyword()
                                    + " "
                                    + fault.spec().target()
                                    + (fault.spec().counterpart() == null
                                            ? ""
                                            : " to " + fault.spec().counterpart()),
                            fault.startMicros() / 1e6,
                            fault.endMicros() < 0 ? -1 : fault.endMicros() / 1e6,
                            recoveryMicros < 0 ? -1 : recoveryMicros / 1e6,
                            unservedCount));
            metrics.put(
                    metricPrefix + "_back_s",
                    (recoveryMicros < 0 ? lengthMicros - fault.startMicros() : recoveryMicros)
                            / 1e6);
            metrics.put(metricPrefix + "_unserved", (double) unservedCount);
        }
        return impacts;
    }

    private static void recordSlowRecoveries(
            List<RunResult.FaultImpact> impacts,
            double maxRecoverySeconds,
            RequestInvariants requestInvariants) {
        impacts.stream()
                .filter(
                        impact ->
                                impact.recoverySeconds() < 0
                                        || impact.recoverySeconds() > maxRecoverySeconds)
                .forEach(
                        impact ->
                                requestInvariants.recordViolation(
                                        "back in time",
                                        Math.round(impact.startSeconds() * 1e6),
                                        null,
                                        "service was not back within "
                                                + maxRecoverySeconds
                                                + " s of "
                                                + impact.description()));
    }

    private static SortedMap<String, RunResult.LatencySummary> latencies(
            ServiceWindows serviceWindows) {
        SortedMap<String, RunResult.LatencySummary> latencies = new TreeMap<>();
        serviceWindows
                .latencies()
                .forEach(
                        (name, histogram) ->
                                latencies.put(
                                        name,
                                        new RunResult.LatencySummary(
                                                histogram.getTotalCount(),
                                                histogram.getValueAtPercentile(50) / 1e3,
                                                histogram.getValueAtPercentile(99) / 1e3,
                                                histogram.getMaxValue() / 1e3)));
        return latencies;
    }

    private static List<RunResult.TimeSlice> slices(ServiceWindows serviceWindows) {
        List<RunResult.TimeSlice> slices = new ArrayList<>();
        for (int i = 0; i < serviceWindows.windows().size(); i++) {
            ServiceWindows.Window window = serviceWindows.windows().get(i);
            slices.add(
                    new RunResult.TimeSlice(
                            i * ServiceWindows.WINDOW_MICROS / 1e6,
                            window.requested(),
                            window.served(),
                            window.late(),
                            window.rejected(),
                            window.failed()));
        }
        return slices;
    }
}
