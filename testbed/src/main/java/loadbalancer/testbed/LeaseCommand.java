package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import loadbalancer.lease.LeaseTiming;
import loadbalancer.testbed.simulation.LeaseSimulation;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures duties in simulated time. */
@Command(
        name = "duties",
        mixinStandardHelpOptions = true,
        description =
                "Duties in simulated time: cost, how soon they are passed on. "
                        + "Exit: 0, 1 where two held one at once.")
final class LeaseCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--members",
            paramLabel = "N",
            defaultValue = "10",
            split = ",",
            description =
                    "Each after the other where there are several (default: ${DEFAULT-VALUE}).")
    private List<Integer> memberCounts;

    @Option(
            names = "--loss",
            paramLabel = "PART",
            defaultValue = "0",
            description = "Of the datagrams (default: ${DEFAULT-VALUE}).")
    private double lossRate;

    @Option(
            names = "--ends",
            paramLabel = "N",
            defaultValue = "20",
            description = "Holders that end, of each kind (default: ${DEFAULT-VALUE}).")
    private int terminationCount;

    @Option(names = "--forgetful", description = "Promises don't outlive a process.")
    private boolean volatilePromises;

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
        int doublyHeldSlots = 0;
        for (int memberCount : memberCounts) {
            for (long seed : seeds) {
                doublyHeldSlots += measure(memberCount, seed);
                measurements.completeSeed(seed, jsonFile, spec);
            }
        }
        return doublyHeldSlots == 0 ? TestbedCommand.EXIT_OK : TestbedCommand.EXIT_VIOLATION;
    }

    private int measure(int memberCount, long seed) {
        String keyPrefix = String.format(Locale.ROOT, "n%d.loss%.0f.", memberCount, lossRate * 100);
        LeaseSimulation cluster =
                new LeaseSimulation(
                        memberCount, lossRate, !volatilePromises, LeaseTiming.DEFAULT, seed);
        cluster.runFor(15_000_000);
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
                "slots held by two at once: %d%s%n",
                cluster.doubleHolders().size(),
                cluster.doubleHolders().isEmpty()
                        ? ""
                        : ", first " + cluster.doubleHolders().get(0));
        measurements.add(keyPrefix + "twice", cluster.doubleHolders().size());
        return cluster.doubleHolders().size();
    }

    /** What the leases cost while nobody ends. */
    private void measureQuiet(LeaseSimulation cluster, int memberCount, String keyPrefix) {
        long bytesBefore = cluster.bytesSent();
        long datagramsBefore = cluster.datagramsSent();
        long acquisitionsBefore = cluster.acquisitions();
        cluster.runFor(30_000_000);
        measurements.add(keyPrefix + "held", (double) cluster.heldSlots());
        measurements.add(
                keyPrefix + "datagrams",
                (cluster.datagramsSent() - datagramsBefore) / 30.0 / memberCount);
        measurements.add(
                keyPrefix + "bytes", (cluster.bytesSent() - bytesBefore) / 30.0 / memberCount);
        System.out.printf(
                Locale.ROOT,
                "while quiet, a second and member: %.1f datagrams, %.0f bytes; %d slots changed "
                        + "hands in 30 s%n",
                (cluster.datagramsSent() - datagramsBefore) / 30.0 / memberCount,
                (cluster.bytesSent() - bytesBefore) / 30.0 / memberCount,
                cluster.acquisitions() - acquisitionsBefore);
    }

    /** How soon another member has a slot after its holder was killed or has ended gracefully. */
    private void measureHandovers(LeaseSimulation cluster, boolean graceful, String keyPrefix) {
        cluster.transferTimes().reset();
        for (int i = 0; i < terminationCount; i++) {
            int member = cluster.busiestMember();
            cluster.endProcess(member, graceful);
            cluster.runFor(6_000_000);
            cluster.restart(member);
            cluster.runFor(9_000_000);
        }
        Histogram handoverTimes = cluster.transferTimes();
        System.out.printf(
                Locale.ROOT,
                "%s: passed on after %.3f s (median), %.3f s (99 in 100), %.3f s (most), %d "
                        + "slots%n",
                graceful ? "in order" : "killed",
                handoverTimes.getValueAtPercentile(50) / 1e6,
                handoverTimes.getValueAtPercentile(99) / 1e6,
                handoverTimes.getMaxValue() / 1e6,
                handoverTimes.getTotalCount());
        if (handoverTimes.getTotalCount() > 0) {
            String handoverKeyPrefix = keyPrefix + (graceful ? "in_order_s." : "killed_s.");
            measurements.add(
                    handoverKeyPrefix + "p99", handoverTimes.getValueAtPercentile(99) / 1e6);
            measurements.add(handoverKeyPrefix + "max", handoverTimes.getMaxValue() / 1e6);
        }
    }
}
