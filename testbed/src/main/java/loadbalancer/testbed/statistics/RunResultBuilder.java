package loadbalancer.testbed.statistics;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import loadbalancer.testbed.invariant.RequestInvariants;
import loadbalancer.testbed.invariant.Violation;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.HdrHistogram.Histogram;

/** Builds the result of a real or simulated run from its counters and invariants. Stateless. */
public final class RunResultBuilder {
    // Period after the start of a fault in which unserved requests are counted
    private static final long FAULT_IMPACT_MICROS = 10_000_000;
    // Stored as the end of a fault that does not end and as a recovery that does not happen
    private static final double NEVER_SECONDS = -1;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MICROS_PER_MILLISECOND = 1e3;

    private RunResultBuilder() {}

    /**
     * Builds the result. A recovery that takes longer than the scenario expects is recorded as a
     * violation.
     *
     * @param metrics metrics that only the caller can measure; those of the service are added
     * @param untrustedReason why the result is not trusted; empty if it is
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

    /** Returns the effect of each fault on the service and adds it to the metrics. */
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
            impacts.add(
                    new RunResult.FaultImpact(
                            describe(fault),
                            fault.startMicros() / MICROS_PER_SECOND,
                            secondsOrNever(fault.endMicros()),
                            secondsOrNever(recoveryMicros),
                            unservedCount));
            String metricPrefix = fault.kind().keyword() + "_" + impacts.size();
            long countedMicros =
                    recoveryMicros < 0 ? lengthMicros - fault.startMicros() : recoveryMicros;
            metrics.put(metricPrefix + "_back_s", countedMicros / MICROS_PER_SECOND);
            metrics.put(metricPrefix + "_unserved", (double) unservedCount);
        }
        return impacts;
    }

    private static String describe(WorkloadPlan.Fault fault) {
        String counterpart = fault.spec().counterpart();
        return fault.kind().keyword()
                + " "
                + fault.spec().target()
                + (counterpart == null ? "" : " to " + counterpart);
    }

    private static double secondsOrNever(long micros) {
        return micros < 0 ? NEVER_SECONDS : micros / MICROS_PER_SECOND;
    }

    private static void recordSlowRecoveries(
            List<RunResult.FaultImpact> impacts,
            double maxRecoverySeconds,
            RequestInvariants requestInvariants) {
        for (RunResult.FaultImpact impact : impacts) {
            boolean recoveredInTime =
                    impact.recoverySeconds() >= 0 && impact.recoverySeconds() <= maxRecoverySeconds;
            if (!recoveredInTime) {
                requestInvariants.recordViolation(
                        "back in time",
                        Math.round(impact.startSeconds() * MICROS_PER_SECOND),
                        "service had not recovered within "
                                + maxRecoverySeconds
                                + " s of "
                                + impact.description());
            }
        }
    }

    private static SortedMap<String, RunResult.LatencySummary> latencies(
            ServiceWindows serviceWindows) {
        SortedMap<String, RunResult.LatencySummary> latencies = new TreeMap<>();
        serviceWindows
                .latencies()
                .forEach((name, histogram) -> latencies.put(name, summarize(histogram)));
        return latencies;
    }

    private static RunResult.LatencySummary summarize(Histogram latencyMicros) {
        return new RunResult.LatencySummary(
                latencyMicros.getTotalCount(),
                latencyMicros.getValueAtPercentile(50) / MICROS_PER_MILLISECOND,
                latencyMicros.getValueAtPercentile(99) / MICROS_PER_MILLISECOND,
                latencyMicros.getMaxValue() / MICROS_PER_MILLISECOND);
    }

    private static List<RunResult.TimeSlice> slices(ServiceWindows serviceWindows) {
        List<RunResult.TimeSlice> slices = new ArrayList<>();
        for (int i = 0; i < serviceWindows.windows().size(); i++) {
            ServiceWindows.Window window = serviceWindows.windows().get(i);
            slices.add(
                    new RunResult.TimeSlice(
                            i * ServiceWindows.WINDOW_MICROS / MICROS_PER_SECOND,
                            window.requested(),
                            window.served(),
                            window.late(),
                            window.rejected(),
                            window.failed()));
        }
        return slices;
    }
}
