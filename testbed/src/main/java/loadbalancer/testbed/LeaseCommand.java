package loadbalancer.testbed;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import loadbalancer.lease.LeaseTiming;
import loadbalancer.testbed.simulation.LeaseSimulation;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Measures leases in simulated time. */
@Command(
        name = "duties",
        mixinStandardHelpOptions = true,
        description =
                "Measures leases in simulated time: their cost, and how soon they are transferred.",
        exitCodeListHeading = ExitCodes.HEADING,
        exitCodeList = {
            "0:No lease had two holders at once.",
            "1:A lease had two holders at once.",
            ExitCodes.USAGE_HELP
        })
final class LeaseCommand implements Callable<Integer> {
    private static final long WARM_UP_MICROS = 15_000_000;
    private static final int QUIET_SECONDS = 30;
    // Time for which an ended member stays down.
    private static final long DOWNTIME_MICROS = 6_000_000;
    // Time for which the cluster settles after the restart of a member.
    private static final long SETTLE_MICROS = 9_000_000;
    private static final double MICROS_PER_SECOND = 1e6;

    @Option(
            names = "--members",
            paramLabel = "N",
            defaultValue = "10",
            split = ",",
            description = "The cluster sizes, one after another (default: ${DEFAULT-VALUE}).")
    private List<Integer> memberCounts;

    @Option(
            names = "--loss",
            paramLabel = "PART",
            defaultValue = "0",
            description = "The fraction of lost datagrams (default: ${DEFAULT-VALUE}).")
    private double lossRate;

    @Option(
            names = "--ends",
            paramLabel = "N",
            defaultValue = "20",
            description =
                    "The number of holders that are killed, and of those that leave"
                            + " (default: ${DEFAULT-VALUE}).")
    private int terminationCount;

    @Option(
            names = "--forgetful",
            description = "Members lose their promises when their process ends.")
    private boolean volatilePromises;

    @Mixin private SeedListOption seedOption;
    @Mixin private MeasurementFileOption measurementFile;

    private final SeededMeasurements measurements = new SeededMeasurements();

    @Override
    public Integer call() throws IOException {
        int doublyHeldSlots = 0;
        for (int memberCount : memberCounts) {
            for (long seed : seedOption.seeds) {
                doublyHeldSlots += measure(memberCount, seed);
                measurements.completeSeed(seed, measurementFile);
            }
        }
        return doublyHeldSlots == 0 ? ExitCodes.OK : ExitCodes.VIOLATION;
    }

    /** Measures one simulated cluster, and returns how often a slot had two holders at once. */
    private int measure(int memberCount, long seed) {
        String keyPrefix = SeededMeasurements.keyPrefix(memberCount, lossRate);
        LeaseSimulation cluster =
                new LeaseSimulation(
                        memberCount, lossRate, !volatilePromises, LeaseTiming.DEFAULT, seed);
        cluster.runFor(WARM_UP_MICROS);
        System.out.printf(
                Locale.ROOT,
                "%d members, loss %.2f: %d of %d slots held after 15 s%n",
                memberCount,
                lossRate,
                cluster.heldSlots(),
                LeaseTiming.DEFAULT.slotCount());
        measureQuiet(cluster, memberCount, keyPrefix);
        measureHandovers(cluster, false, keyPrefix);
        measureHandovers(cluster, true, keyPrefix);
        System.out.printf(
                Locale.ROOT,
                "slots with two holders at once: %d%s%n",
                cluster.doubleHoldings().size(),
                cluster.doubleHoldings().isEmpty()
                        ? ""
                        : ", first " + cluster.doubleHoldings().get(0));
        measurements.add(keyPrefix + "twice", cluster.doubleHoldings().size());
        return cluster.doubleHoldings().size();
    }

    /** Measures the traffic of the leases while no member ends. */
    private void measureQuiet(LeaseSimulation cluster, int memberCount, String keyPrefix) {
        long bytesBefore = cluster.bytesSent();
        long datagramsBefore = cluster.datagramsSent();
        long acquisitionsBefore = cluster.acquisitions();
        cluster.runFor(QUIET_SECONDS * 1_000_000L);
        double datagramRate =
                (cluster.datagramsSent() - datagramsBefore) / (double) QUIET_SECONDS / memberCount;
        double byteRate =
                (cluster.bytesSent() - bytesBefore) / (double) QUIET_SECONDS / memberCount;
        measurements.add(keyPrefix + "held", (double) cluster.heldSlots());
        measurements.add(keyPrefix + "datagrams", datagramRate);
        measurements.add(keyPrefix + "bytes", byteRate);
        System.out.printf(
                Locale.ROOT,
                "while no member ends, per second and member: %.1f datagrams, %.0f bytes; %d "
                        + "slots acquired in 30 s%n",
                datagramRate,
                byteRate,
                cluster.acquisitions() - acquisitionsBefore);
    }

    /** Measures how soon another member holds a slot after its holder is killed or leaves. */
    private void measureHandovers(LeaseSimulation cluster, boolean graceful, String keyPrefix) {
        cluster.transferTimes().reset();
        for (int i = 0; i < terminationCount; i++) {
            int member = cluster.memberWithMostSlots();
            cluster.endProcess(member, graceful);
            cluster.runFor(DOWNTIME_MICROS);
            cluster.restart(member);
            cluster.runFor(SETTLE_MICROS);
        }
        Histogram handoverTimes = cluster.transferTimes();
        double medianSeconds = handoverTimes.getValueAtPercentile(50) / MICROS_PER_SECOND;
        double p99Seconds = handoverTimes.getValueAtPercentile(99) / MICROS_PER_SECOND;
        double maxSeconds = handoverTimes.getMaxValue() / MICROS_PER_SECOND;
        System.out.printf(
                Locale.ROOT,
                "%s: transferred after %.3f s (median), %.3f s (p99), %.3f s (maximum), %d "
                        + "slots%n",
                graceful ? "graceful" : "killed",
                medianSeconds,
                p99Seconds,
                maxSeconds,
                handoverTimes.getTotalCount());
        if (handoverTimes.getTotalCount() > 0) {
            String handoverKeyPrefix = keyPrefix + (graceful ? "in_order_s." : "killed_s.");
            measurements.add(handoverKeyPrefix + "p99", p99Seconds);
            measurements.add(handoverKeyPrefix + "max", maxSeconds);
        }
    }
}
