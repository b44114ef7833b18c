package junctionhead.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import junctionhead.duties.Terms;
import junctionhead.lab.figures.Measured;
import junctionhead.lab.figures.Repeats;
import junctionhead.lab.sim.SimDuties;
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
final class DutiesCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--members",
            paramLabel = "N",
            defaultValue = "10",
            split = ",",
            description =
                    "Each after the other where there are several (default: ${DEFAULT-VALUE}).")
    private List<Integer> counts;

    @Option(
            names = "--loss",
            paramLabel = "PART",
            defaultValue = "0",
            description = "Of the datagrams (default: ${DEFAULT-VALUE}).")
    private double loss;

    @Option(
            names = "--ends",
            paramLabel = "N",
            defaultValue = "20",
            description = "Holders that end, of each kind (default: ${DEFAULT-VALUE}).")
    private int ends;

    @Option(names = "--forgetful", description = "Promises don't outlive a process.")
    private boolean forgetful;

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
        int twice = 0;
        for (int count : counts) {
            for (long seed : seeds) {
                twice += play(count, seed);
                keep(seed);
            }
        }
        return twice == 0 ? Lab.OK : Lab.BROKEN;
    }

    // After each: a long call that is ended early leaves what it has.
    private void keep(long seed) throws IOException {
        played.add(seed);
        if (json != null) {
            new Measured(Lab.line(spec), List.copyOf(played), repeats.figures()).write(json);
        }
    }

    private int play(int count, long seed) {
        String key = String.format(Locale.ROOT, "n%d.loss%.0f.", count, loss * 100);
        SimDuties fleet = new SimDuties(count, loss, !forgetful, Terms.USUAL, seed);
        fleet.play(15_000_000);
        System.out.printf(
                Locale.ROOT,
                "%d members, loss %.2f: %d of %d slots held after 15 s%n",
                count,
                loss,
                fleet.held(),
                Terms.USUAL.slots());
        long bytes = fleet.bytes();
        long datagrams = fleet.datagrams();
        long taken = fleet.taken();
        fleet.play(30_000_000);
        repeats.add(key + "held", fleet.held());
        repeats.add(key + "datagrams", (fleet.datagrams() - datagrams) / 30.0 / count);
        repeats.add(key + "bytes", (fleet.bytes() - bytes) / 30.0 / count);
        System.out.printf(
                Locale.ROOT,
                "while quiet, a second and member: %.1f datagrams, %.0f bytes; %d slots changed "
                        + "hands in 30 s%n",
                (fleet.datagrams() - datagrams) / 30.0 / count,
                (fleet.bytes() - bytes) / 30.0 / count,
                fleet.taken() - taken);
        for (boolean told : new boolean[] {false, true}) {
            fleet.passed().reset();
            for (int i = 0; i < ends; i++) {
                int m = fleet.busiest();
                fleet.end(m, told);
                fleet.play(6_000_000);
                fleet.restart(m);
                fleet.play(9_000_000);
            }
            Histogram passed = fleet.passed();
            System.out.printf(
                    Locale.ROOT,
                    "%s: passed on after %.3f s (median), %.3f s (99 in 100), %.3f s (most), %d "
                            + "slots%n",
                    told ? "in order" : "killed",
                    passed.getValueAtPercentile(50) / 1e6,
                    passed.getValueAtPercentile(99) / 1e6,
                    passed.getMaxValue() / 1e6,
                    passed.getTotalCount());
            if (passed.getTotalCount() > 0) {
                String end = key + (told ? "in_order_s." : "killed_s.");
                repeats.add(end + "p99", passed.getValueAtPercentile(99) / 1e6);
                repeats.add(end + "max", passed.getMaxValue() / 1e6);
            }
        }
        System.out.printf(
                Locale.ROOT,
                "slots held by two at once: %d%s%n",
                fleet.twice().size(),
                fleet.twice().isEmpty() ? "" : ", first " + fleet.twice().get(0));
        repeats.add(key + "twice", fleet.twice().size());
        return fleet.twice().size();
    }
}
