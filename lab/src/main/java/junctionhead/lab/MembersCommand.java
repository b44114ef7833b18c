package junctionhead.lab;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import junctionhead.lab.figures.Measured;
import junctionhead.lab.figures.Repeats;
import junctionhead.lab.sim.SimMembers;
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
final class MembersCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--members",
            paramLabel = "N",
            defaultValue = "100",
            split = ",",
            description =
                    "Each after the other where there are several (default: ${DEFAULT-VALUE}).")
    private List<Integer> counts;

    @Option(
            names = "--loss",
            paramLabel = "PART",
            defaultValue = "0",
            split = ",",
            description = "Of the datagrams; the same (default: ${DEFAULT-VALUE}).")
    private List<Double> losses;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "30",
            description = "Of quiet, before anything happens (default: ${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--kills",
            paramLabel = "N",
            defaultValue = "20",
            description = "Default: ${DEFAULT-VALUE}.")
    private int kills;

    @Option(
            names = "--uncut",
            description = "Ends before the cut into halves, which costs most at a large size.")
    private boolean uncut;

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
    private Path json;

    private final Repeats repeats = new Repeats();
    private final Set<Long> played = new TreeSet<>();

    @Override
    public Integer call() throws IOException {
        int wronged = 0;
        for (int count : counts) {
            for (double loss : losses) {
                for (long seed : seeds) {
                    wronged += play(count, loss, seed);
                    keep(seed);
                }
            }
        }
        return wronged == 0 ? Lab.OK : Lab.BROKEN;
    }

    // After each: a long call that is ended early leaves what it has.
    private void keep(long seed) throws IOException {
        played.add(seed);
        if (json != null) {
            new Measured(Lab.line(spec), List.copyOf(played), repeats.figures()).write(json);
        }
    }

    private int play(int count, double loss, long seed) {
        SimMembers fleet = new SimMembers(count, loss, seed);
        String key = String.format(Locale.ROOT, "n%d.loss%.0f.", count, loss * 100);
        fleet.play(10_000_000);
        double before = fleet.meanBytes();
        long sent = fleet.datagrams();
        long cpu = cpu();
        fleet.play(seconds * 1_000_000L);
        double each = (double) seconds * count;
        repeats.add(key + "cpu_us", (cpu() - cpu) / 1e3 / each);
        repeats.add(key + "bytes", (fleet.meanBytes() - before) / seconds);
        repeats.add(key + "datagrams", (fleet.datagrams() - sent) / each);
        System.out.printf(
                Locale.ROOT,
                "%d members, loss %.2f: %.0f bytes a second and member while quiet%n",
                count,
                loss,
                (fleet.meanBytes() - before) / seconds);
        double quiet = (fleet.meanBytes() - before) / seconds;
        before = fleet.meanBytes();
        for (int i = 0; i < kills; i++) {
            int m = (int) ((i * 7919L + 3) % count);
            fleet.kill(m);
            fleet.play(4_000_000);
            fleet.restart(m);
            fleet.play(3_000_000);
        }
        if (kills > 0) {
            repeats.add(key + "kill_bytes", (fleet.meanBytes() - before) / kills - 7 * quiet);
            repeats.add(
                    key + "known_part",
                    fleet.known().getTotalCount() / (double) kills / (count - 1));
            repeats.add(key + "known_s.p50", fleet.known().getValueAtPercentile(50) / 1e6);
            repeats.add(key + "known_s.p99", fleet.known().getValueAtPercentile(99) / 1e6);
            repeats.add(key + "known_s.max", fleet.known().getMaxValue() / 1e6);
            System.out.printf(
                    Locale.ROOT,
                    "a killed member known after %.2f s (median), %.2f s (99 in "
                            + "100), %.2f s "
                            + "(most), %d notices%n",
                    fleet.known().getValueAtPercentile(50) / 1e6,
                    fleet.known().getValueAtPercentile(99) / 1e6,
                    fleet.known().getMaxValue() / 1e6,
                    fleet.known().getTotalCount());
        }
        System.out.printf(
                Locale.ROOT,
                "live members held dead: %d%s%n",
                fleet.wronged().size(),
                fleet.wronged().isEmpty() ? "" : ", first " + fleet.wronged().get(0));
        int wronged = fleet.wronged().size();
        repeats.add(key + "wronged", wronged);
        if (!uncut) {
            halves(fleet, count, key);
        }
        return wronged;
    }

    private void halves(SimMembers fleet, int count, String key) {
        fleet.cut(m -> m < count / 2);
        fleet.play(8_000_000);
        double before = fleet.meanBytes();
        fleet.heal();
        long agreed = fleet.untilAgreed(30_000_000);
        System.out.printf(
                Locale.ROOT, "views agree %.2f s after halves were joined again%n", agreed / 1e6);
        repeats.add(key + "healed_s", agreed < 0 ? -1 : agreed / 1e6);
        repeats.add(
                key + "heal_bytes_a_second",
                agreed <= 0 ? 0 : (fleet.meanBytes() - before) / (agreed / 1e6));
    }

    // The simulation's own share is in it: an upper bound of what the state machine takes.
    private static long cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
