package junctionhead.lab;

import java.util.Locale;
import java.util.concurrent.Callable;
import junctionhead.duties.Terms;
import junctionhead.lab.sim.SimDuties;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures duties in simulated time. */
@Command(name = "duties", mixinStandardHelpOptions = true,
    description = "Duties in simulated time: cost, how soon they are passed on. "
        + "Exit: 0, 1 where two held one at once.")
final class DutiesCommand implements Callable<Integer> {
    @Option(names = "--members", paramLabel = "N", defaultValue = "10",
        description = "Default: ${DEFAULT-VALUE}.")
    private int count;
    @Option(names = "--loss", paramLabel = "PART", defaultValue = "0",
        description = "Of the datagrams (default: ${DEFAULT-VALUE}).")
    private double loss;
    @Option(names = "--ends", paramLabel = "N", defaultValue = "20",
        description = "Holders that end, of each kind (default: ${DEFAULT-VALUE}).")
    private int ends;
    @Option(names = "--forgetful", description = "Promises don't outlive a process.")
    private boolean forgetful;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
        description = "Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Override
    public Integer call() {
        SimDuties fleet = new SimDuties(count, loss, !forgetful, Terms.USUAL, seed);
        fleet.play(15_000_000);
        System.out.printf(Locale.ROOT, "%d members, loss %.2f: %d of %d slots held after 15 s%n", count, loss,
            fleet.held(), Terms.USUAL.slots());
        long bytes = fleet.bytes();
        long datagrams = fleet.datagrams();
        long taken = fleet.taken();
        fleet.play(30_000_000);
        System.out.printf(Locale.ROOT,
            "while quiet, a second and member: %.1f datagrams, %.0f bytes; %d slots changed "
            + "hands in 30 s%n", (fleet.datagrams() - datagrams) / 30.0 / count,
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
            System.out.printf(Locale.ROOT,
                "%s: passed on after %.3f s (median), %.3f s (99 in 100), %.3f s (most), %d "
                + "slots%n", told ? "in order" : "killed", passed.getValueAtPercentile(50) / 1e6,
                passed.getValueAtPercentile(99) / 1e6, passed.getMaxValue() / 1e6, passed.getTotalCount());
        }
        System.out.printf(Locale.ROOT, "slots held by two at once: %d%s%n", fleet.twice().size(),
            fleet.twice().isEmpty() ? "" : ", first " + fleet.twice().get(0));
        return fleet.twice().isEmpty() ? Lab.OK : Lab.BROKEN;
    }
}
