package loadbalancer.testbed;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.testbed.simulation.ResourceUsage;
import loadbalancer.testbed.slowstart.SlowStartSimulation;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Counts what cold servers get from all balancers together. */
@Command(
        name = "cold",
        mixinStandardHelpOptions = true,
        description =
                "What cold servers get from many balancers together, in simulated time: under steady "
                        + "traffic, and in a burst after a quiet time. Exit: 0, 1 where "
                        + "one got more than N + 2 root(N) + 2 "
                        + "in a window.")
final class SlowStartCommand implements Callable<Integer> {
    private static final double STEADY_SECONDS = 12;

    @Option(
            names = "--balancers",
            paramLabel = "N,..",
            split = ",",
            defaultValue = "20,30,100,1000",
            description = "Default: ${DEFAULT-VALUE}.")
    private List<Integer> balancerCounts;

    @Option(
            names = "--per-second",
            paramLabel = "N,..",
            split = ",",
            defaultValue = "4,12,100",
            description = "Requests that a warm server can do (default: ${DEFAULT-VALUE}).")
    private List<Double> warmRates;

    @Option(
            names = "--quiet",
            paramLabel = "S,..",
            split = ",",
            defaultValue = "5,14,18",
            description = "Before the burst (default: ${DEFAULT-VALUE}).")
    private List<Double> quietSeconds;

    @Option(
            names = "--load",
            paramLabel = "PART",
            defaultValue = "0.9",
            description = "Of what all servers can do when warm (default: ${DEFAULT-VALUE}).")
    private double loadFactor;

    @Option(
            names = "--loss",
            paramLabel = "PART",
            defaultValue = "0",
            description = "Of the balancers' messages (default: ${DEFAULT-VALUE}).")
    private double lossRate;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Override
    public Integer call() {
        ResourceUsage processUsage = new ResourceUsage();
        System.out.println(
                "balancers  a second  traffic             got      N   bound  got/bound  used of N");
        boolean anyOverloaded = false;
        for (double warmRate : warmRates) {
            for (int balancerCount : balancerCounts) {
                SlowStartSimulation simulation =
                        new SlowStartSimulation(
                                new SlowStartSimulation.Parameters(
                                        balancerCount, warmRate, loadFactor, lossRate),
                                RoutingEngine::new,
                                seed);
                anyOverloaded |= printRow(simulation.runSteady(STEADY_SECONDS));
                for (double seconds : quietSeconds) {
                    anyOverloaded |= printRow(simulation.runBurst(seconds, false));
                    anyOverloaded |= printRow(simulation.runBurst(seconds, true));
                }
            }
        }
        System.out.println(processUsage.summary());
        return anyOverloaded ? TestbedCommand.EXIT_VIOLATION : TestbedCommand.EXIT_OK;
    }

    private static boolean printRow(SlowStartSimulation.Result result) {
        System.out.printf(
                Locale.ROOT,
                "%9d  %8.0f  %-16s  %5d  %5.1f  %6.1f  %9.2f  %9s%s%n",
                result.balancers(),
                result.warmRate(),
                result.traffic(),
                result.requests(),
                result.budget(),
                result.bound(),
                result.requests() / result.bound(),
                Double.isNaN(result.usedBudgetFraction())
                        ? ""
                        : String.format(Locale.ROOT, "%.2f", result.usedBudgetFraction()),
                result.isOverloaded() ? "  FALLS" : "");
        return result.isOverloaded();
    }
}
