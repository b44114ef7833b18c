package junctionhead.lab;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import junctionhead.Balance;
import junctionhead.lab.cold.ColdPlay;
import junctionhead.lab.sim.Cost;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Counts what cold servers get from all balancers together. */
@Command(
        name = "cold",
        mixinStandardHelpOptions = true,
        description =
                "What cold servers get from many balancers together, in simulated time: under steady "
                        + "traffic, and in a burst after a quiet time. Exit: 0, 1 where one got more than N + 2 root(N) + 2 "
                        + "in a window.")
final class ColdCommand implements Callable<Integer> {
    private static final double STEADY_S = 12;

    @Option(
            names = "--balancers",
            paramLabel = "N,..",
            split = ",",
            defaultValue = "20,30,100,1000",
            description = "Default: ${DEFAULT-VALUE}.")
    private List<Integer> balancers;

    @Option(
            names = "--per-second",
            paramLabel = "N,..",
            split = ",",
            defaultValue = "4,12,100",
            description = "Requests that a warm server can do (default: ${DEFAULT-VALUE}).")
    private List<Double> perSecond;

    @Option(
            names = "--quiet",
            paramLabel = "S,..",
            split = ",",
            defaultValue = "5,14,18",
            description = "Before the burst (default: ${DEFAULT-VALUE}).")
    private List<Double> quiet;

    @Option(
            names = "--load",
            paramLabel = "PART",
            defaultValue = "0.9",
            description = "Of what all servers can do when warm (default: ${DEFAULT-VALUE}).")
    private double load;

    @Option(
            names = "--loss",
            paramLabel = "PART",
            defaultValue = "0",
            description = "Of the balancers' messages (default: ${DEFAULT-VALUE}).")
    private double loss;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Override
    public Integer call() {
        Cost cost = new Cost();
        System.out.println(
                "balancers  a second  traffic             got      N   bound  got/bound  used of N");
        boolean falls = false;
        for (double speed : perSecond) {
            for (int count : balancers) {
                ColdPlay play =
                        new ColdPlay(
                                new ColdPlay.Site(count, speed, load, loss), Balance::new, seed);
                falls |= row(play.steady(STEADY_S));
                for (double seconds : quiet) {
                    falls |= row(play.burst(seconds, false));
                    falls |= row(play.burst(seconds, true));
                }
            }
        }
        System.out.println(cost.line());
        return falls ? Lab.BROKEN : Lab.OK;
    }

    private static boolean row(ColdPlay.Outcome o) {
        System.out.printf(
                Locale.ROOT,
                "%9d  %8.0f  %-16s  %5d  %5.1f  %6.1f  %9.2f  %9s%s%n",
                o.balancers(),
                o.perSecond(),
                o.traffic(),
                o.got(),
                o.budget(),
                o.bound(),
                o.got() / o.bound(),
                Double.isNaN(o.used()) ? "" : String.format(Locale.ROOT, "%.2f", o.used()),
                o.falls() ? "  FALLS" : "");
        return o.falls();
    }
}
