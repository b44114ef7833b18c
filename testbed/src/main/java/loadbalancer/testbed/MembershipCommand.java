package loadbalancer.testbed;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import loadbalancer.testbed.simulation.MembershipSimulation;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures membership in simulated time. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description =
                "Membership in simulated time: cost, how soon a killed member is known, cuts healed. "
                        + "Exit: 0, "
                        + "1 where a live member with whole paths was held dead.")
final class MembershipCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--members",
            paramLabel = "N",
            defaultValue = "100",
            split = ",",
            description =
                    "Each after the other where there are several (default: ${DEFAULT-VALUE}).")
    private List<Integer> memberCounts;

    @Option(
            names = "--loss",
            paramLabel = "PART",
            defaultValue = "0",
            split = ",",
            description = "Of the datagrams; the same (default: ${DEFAULT-VALUE}).")
    private List<Double> lossRates;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "30",
            description = "Of quiet, before anything happens (default: ${DEFAULT-VALUE}).")
    private int quietSeconds;

    @Option(
            names = "--kills",
            paramLabel = "N",
            defaultValue = "20",
            description = "Default: ${DEFAULT-VALUE}.")
    private int killCount;

    @Option(
            names = "--uncut",
            description = "Ends before the cut into halves, which costs most at a large size.")
    private boolean skipPartition;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            split = ",",
            description = "The same (default: ${DEFAULT-VALUE}).")
    private List<Long> seeds;

    @Option(
            names = "--json",
            paramLabel = "FILE",
            description = "Where all figures are written, too.")
    private Path jsonFile;

    private final SeededMeasurements measurements = new SeededMeasurements();

    @Override
    public Integer call() throws IOException {
        int falseDeaths = 0;
        for (int memberCount : memberCounts) {
            for (double lossRate : lossRates) {
                for (long seed : seeds) {
                    falseDeaths += measure(memberCount, lossRate, seed);
                    measurements.completeSeed(seed, jsonFile, spec);
                }
            }
        }
        return falseDeaths == 0 ? TestbedCommand.EXIT_OK : TestbedCommand.EXIT_VIOLATION;
    }

    private int measure(int memberCount, double lossRate, long seed) {
        MembershipSimulation cluster = new MembershipSimulation(memberCount, lossRate, seed);
        String keyPrefix = String.format(Locale.ROOT, "n%d.loss%.0f.", memberCount, lossRate * 100);
        cluster.runFor(10_000_000);
        double quietBytesPerSecond = measureQuiet(cluster, memberCount, lossRate, keyPrefix);
        measureDetection(cluster, memberCount, quietBytesPerSecond, keyPrefix);
        System.out.printf(
                Locale.ROOT,
                "live members held dead: %d%s%n",
                cluster.falsePositives().size(),
                cluster.falsePositives().isEmpty()
                        ? ""
                        : ", first " + cluster.falsePositives().get(0));
        int falseDeaths = cluster.falsePositives().size();
        measurements.add(keyPrefix + "wronged", falseDeaths);
        if (!skipPartition) {
            measurePartition(cluster, memberCount, keyPrefix);
        }
        return falseDeaths;
    }

    /** What membership costs while nobody ends: returns bytes a second and member. */
    private double measureQuiet(
            MembershipSimulation cluster, int memberCount, double lossRate, String keyPrefix) {
        double bytesBefore = cluster.meanBytesSent();
        long datagramsBefore = cluster.datagramsSent();
        long cpuBeforeNanos = threadCpuNanos();
        cluster.runFor(quietSeconds * 1_000_000L);
        double memberSeconds = (double) quietSeconds * memberCount;
        measurements.add(
                keyPrefix + "cpu_us", (threadCpuNanos() - cpuBeforeNanos) / 1e3 / memberSeconds);
        measurements.add(
                keyPrefix + "bytes", (cluster.meanBytesSent() - bytesBefore) / quietSeconds);
        measurements.add(
                keyPrefix + "datagrams",
                (cluster.datagramsSent() - datagramsBefore) / memberSeconds);
        System.out.printf(
                Locale.ROOT,
                "%d members, loss %.2f: %.0f bytes a second and member while quiet%n",
                memberCount,
                lossRate,
                (cluster.meanBytesSent() - bytesBefore) / quietSeconds);
        return (cluster.meanBytesSent() - bytesBefore) / quietSeconds;
    }

    /** How soon the others know of a killed member, and what that costs beyond the quiet. */
    private void measureDetection(
            MembershipSimulation cluster,
            int memberCount,
            double quietBytesPerSecond,
            String keyPrefix) {
        double bytesBefore = cluster.meanBytesSent();
        for (int i = 0; i < killCount; i++) {
            int member = (int) ((i * 7919L + 3) % memberCount);
            cluster.kill(member);
            cluster.runFor(4_000_000);
            cluster.restart(member);
            cluster.runFor(3_000_000);
        }
        if (killCount > 0) {
            measurements.add(
                    keyPrefix + "kill_bytes",
                    (cluster.meanBytesSent() - bytesBefore) / killCount - 7 * quietBytesPerSecond);
            measurements.add(
                    keyPrefix + "known_part",
                    cluster.detectionTimes().getTotalCount()
                            / (double) killCount
                            / (memberCount - 1));
            measurements.add(
                    keyPrefix + "known_s.p50",
                    cluster.detectionTimes().getValueAtPercentile(50) / 1e6);
            measurements.add(
                    keyPrefix + "known_s.p99",
                    cluster.detectionTimes().getValueAtPercentile(99) / 1e6);
            measurements.add(
                    keyPrefix + "known_s.max", cluster.detectionTimes().getMaxValue() / 1e6);
            System.out.printf(
                    Locale.ROOT,
                    "a killed member known after %.2f s (median), %.2f s (99 in "
                            + "100), %.2f s "
                            + "(most), %d notices%n",
                    cluster.detectionTimes().getValueAtPercentile(50) / 1e6,
                    cluster.detectionTimes().getValueAtPercentile(99) / 1e6,
                    cluster.detectionTimes().getMaxValue() / 1e6,
                    cluster.detectionTimes().getTotalCount());
        }
    }

    private void measurePartition(MembershipSimulation cluster, int memberCount, String keyPrefix) {
        cluster.partition(member -> member < memberCount / 2);
        cluster.runFor(8_000_000);
        double bytesBefore = cluster.meanBytesSent();
        cluster.heal();
        long agreedAfterMicros = cluster.microsUntilConverged(30_000_000);
        System.out.printf(
                Locale.ROOT,
                "views agree %.2f s after halves were joined again%n",
                agreedAfterMicros / 1e6);
        measurements.add(
                keyPrefix + "healed_s", agreedAfterMicros < 0 ? -1 : agreedAfterMicros / 1e6);
        measurements.add(
                keyPrefix + "heal_bytes_a_second",
                agreedAfterMicros <= 0
                        ? 0
                        : (cluster.meanBytesSent() - bytesBefore) / (agreedAfterMicros / 1e6));
    }

    // The simulation's own share is in it: an upper bound of what the state machine takes.
    private static long threadCpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
