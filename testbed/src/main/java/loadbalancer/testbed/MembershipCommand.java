package loadbalancer.testbed;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import loadbalancer.testbed.simulation.MembershipSimulation;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Measures membership in simulated time. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description =
                "Measures membership in simulated time: its cost, how soon a killed member is"
                        + " detected, and how soon a partition heals.",
        exitCodeListHeading = ExitCodes.HEADING,
        exitCodeList = {
            "0:No live, reachable member was considered dead.",
            "1:A live, reachable member was considered dead.",
            ExitCodes.USAGE_HELP
        })
final class MembershipCommand implements Callable<Integer> {
    private static final long WARM_UP_MICROS = 10_000_000;
    // Time for which a killed member stays down.
    private static final int DOWNTIME_SECONDS = 4;
    // Time for which the cluster settles after the restart of a member.
    private static final int SETTLE_SECONDS = 3;
    private static final long PARTITION_MICROS = 8_000_000;
    private static final long MAX_HEALING_MICROS = 30_000_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    // A prime number of members from one kill to the next, so that the kills visit all members.
    private static final long KILL_STRIDE = 7919;
    private static final int FIRST_KILL = 3;

    @Option(
            names = "--members",
            paramLabel = "N",
            defaultValue = "100",
            split = ",",
            description = "The cluster sizes, one after another (default: ${DEFAULT-VALUE}).")
    private List<Integer> memberCounts;

    @Option(
            names = "--loss",
            paramLabel = "PART",
            defaultValue = "0",
            split = ",",
            description =
                    "The fractions of lost datagrams, one after another"
                            + " (default: ${DEFAULT-VALUE}).")
    private List<Double> lossRates;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "30",
            description = "Quiet seconds before the first kill (default: ${DEFAULT-VALUE}).")
    private int quietSeconds;

    @Option(
            names = "--kills",
            paramLabel = "N",
            defaultValue = "20",
            description = "The number of members that are killed (default: ${DEFAULT-VALUE}).")
    private int killCount;

    @Option(
            names = "--uncut",
            description = "Skips the partition into halves, which takes long for large clusters.")
    private boolean skipPartition;

    @Mixin private SeedListOption seedOption;
    @Mixin private MeasurementFileOption measurementFile;

    private final SeededMeasurements measurements = new SeededMeasurements();

    @Override
    public Integer call() throws IOException {
        int falsePositiveCount = 0;
        for (int memberCount : memberCounts) {
            for (double lossRate : lossRates) {
                for (long seed : seedOption.seeds) {
                    falsePositiveCount += measure(memberCount, lossRate, seed);
                    measurements.completeSeed(seed, measurementFile);
                }
            }
        }
        return falsePositiveCount == 0 ? ExitCodes.OK : ExitCodes.VIOLATION;
    }

    /** Measures one simulated cluster, and returns how often a live member was considered dead. */
    private int measure(int memberCount, double lossRate, long seed) {
        MembershipSimulation cluster = new MembershipSimulation(memberCount, lossRate, seed);
        String keyPrefix = SeededMeasurements.keyPrefix(memberCount, lossRate);
        cluster.runFor(WARM_UP_MICROS);
        double quietBytesPerSecond = measureQuiet(cluster, memberCount, lossRate, keyPrefix);
        measureDetection(cluster, memberCount, quietBytesPerSecond, keyPrefix);
        System.out.printf(
                Locale.ROOT,
                "live members considered dead: %d%s%n",
                cluster.falsePositives().size(),
                cluster.falsePositives().isEmpty()
                        ? ""
                        : ", first " + cluster.falsePositives().get(0));
        int falsePositiveCount = cluster.falsePositives().size();
        measurements.add(keyPrefix + "wronged", falsePositiveCount);
        if (!skipPartition) {
            measurePartition(cluster, memberCount, keyPrefix);
        }
        return falsePositiveCount;
    }

    /**
     * Measures the cost of membership while no member ends; returns bytes per second and member.
     */
    private double measureQuiet(
            MembershipSimulation cluster, int memberCount, double lossRate, String keyPrefix) {
        double bytesBefore = cluster.meanBytesSent();
        long datagramsBefore = cluster.datagramsSent();
        long cpuBeforeNanos = threadCpuNanos();
        cluster.runFor(quietSeconds * MICROS_PER_SECOND);
        double memberSeconds = (double) quietSeconds * memberCount;
        double byteRate = (cluster.meanBytesSent() - bytesBefore) / quietSeconds;
        measurements.add(
                keyPrefix + "cpu_us", (threadCpuNanos() - cpuBeforeNanos) / 1e3 / memberSeconds);
        measurements.add(keyPrefix + "bytes", byteRate);
        measurements.add(
                keyPrefix + "datagrams",
                (cluster.datagramsSent() - datagramsBefore) / memberSeconds);
        System.out.printf(
                Locale.ROOT,
                "%d members, loss %.2f: %.0f bytes per second and member while no member ends%n",
                memberCount,
                lossRate,
                byteRate);
        return byteRate;
    }

    /** Measures how soon a killed member is detected, and the bytes beyond the quiet rate. */
    private void measureDetection(
            MembershipSimulation cluster,
            int memberCount,
            double quietBytesPerSecond,
            String keyPrefix) {
        if (killCount == 0) {
            return;
        }
        double bytesBefore = cluster.meanBytesSent();
        for (int i = 0; i < killCount; i++) {
            int member = (int) ((i * KILL_STRIDE + FIRST_KILL) % memberCount);
            cluster.kill(member);
            cluster.runFor(DOWNTIME_SECONDS * MICROS_PER_SECOND);
            cluster.restart(member);
            cluster.runFor(SETTLE_SECONDS * MICROS_PER_SECOND);
        }
        double quietBytes = (DOWNTIME_SECONDS + SETTLE_SECONDS) * quietBytesPerSecond;
        measurements.add(
                keyPrefix + "kill_bytes",
                (cluster.meanBytesSent() - bytesBefore) / killCount - quietBytes);
        recordDetectionTimes(cluster.detectionTimes(), memberCount, keyPrefix);
    }

    private void recordDetectionTimes(Histogram detectionTimes, int memberCount, String keyPrefix) {
        double medianSeconds = toSeconds(detectionTimes.getValueAtPercentile(50));
        double p99Seconds = toSeconds(detectionTimes.getValueAtPercentile(99));
        double maxSeconds = toSeconds(detectionTimes.getMaxValue());
        measurements.add(
                keyPrefix + "known_part",
                detectionTimes.getTotalCount() / (double) killCount / (memberCount - 1));
        measurements.add(keyPrefix + "known_s.p50", medianSeconds);
        measurements.add(keyPrefix + "known_s.p99", p99Seconds);
        measurements.add(keyPrefix + "known_s.max", maxSeconds);
        System.out.printf(
                Locale.ROOT,
                "killed members detected after %.2f s (median), %.2f s (p99), %.2f s (maximum),"
                        + " %d detections%n",
                medianSeconds,
                p99Seconds,
                maxSeconds,
                detectionTimes.getTotalCount());
    }

    /** Measures how soon the views agree after a partition into halves has healed. */
    private void measurePartition(MembershipSimulation cluster, int memberCount, String keyPrefix) {
        cluster.partition(member -> member < memberCount / 2);
        cluster.runFor(PARTITION_MICROS);
        double bytesBefore = cluster.meanBytesSent();
        cluster.heal();
        long agreedAfterMicros = cluster.runUntilConverged(MAX_HEALING_MICROS);
        double agreedAfterSeconds = toSeconds(agreedAfterMicros);
        System.out.printf(
                Locale.ROOT, "views agree %.2f s after the partition healed%n", agreedAfterSeconds);
        measurements.add(keyPrefix + "healed_s", agreedAfterMicros < 0 ? -1 : agreedAfterSeconds);
        measurements.add(
                keyPrefix + "heal_bytes_a_second",
                agreedAfterMicros <= 0
                        ? 0
                        : (cluster.meanBytesSent() - bytesBefore) / agreedAfterSeconds);
    }

    private static double toSeconds(long micros) {
        return micros / (double) MICROS_PER_SECOND;
    }

    // This includes the simulation, so it is an upper bound of the state machine's CPU time.
    private static long threadCpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
