package loadbalancer.testbed;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.testbed.simulation.ResourceUsage;
import loadbalancer.testbed.slowstart.SlowStartSimulation;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Measures how many requests servers in slow start get from all balancers together. */
@Command(
        name = "cold",
        mixinStandardHelpOptions = true,
        description =
                "Simulates the requests that servers in slow start get from many balancers together:"
                        + " under steady traffic, and in a burst after a time without traffic.",
        exitCodeListHeading = ExitCodes.HEADING,
        exitCodeList = {
            "0:No server was overloaded.",
            "1:A server got more than N + 2 sqrt(N) + 2 requests in a window.",
            ExitCodes.USAGE_HELP
        })
final class SlowStartCommand implements Callable<Integer> {
    private static final double STEADY_SECONDS = 12;

    @Option(
            names = "--balancers",
            paramLabel = "N,..",
            split = ",",
            defaultValue = "20,30,100,1000",
            description = "The numbers of balancers (default: ${DEFAULT-VALUE}).")
    private List<Integer> balancerCounts;

    @Option(
            names = "--per-second",
            paramLabel = "N,..",
            split = ",",
            defaultValue = "4,12,100",
            description =
                    "Requests per second that a server can serve after slow start"
                            + " (default: ${DEFAULT-VALUE}).")
    private List<Double> warmRates;

    @Option(
            names = "--quiet",
            paramLabel = "S,..",
            split = ",",
            defaultValue = "5,14,18",
            description = "Seconds without traffic before the burst (default: ${DEFAULT-VALUE}).")
    private List<Double> quietSeconds;

    @Option(
            names = "--load",
            paramLabel = "PART",
            defaultValue = "0.9",
            description =
                    "The load as a fraction of the capacity of all servers (default: ${DEFAULT-VALUE}).")
    private double loadFactor;

    @Option(
            names = "--loss",
            paramLabel = "PART",
            defaultValue = "0",
            description =
                    "The fraction of lost messages between balancers (default: ${DEFAULT-VALUE}).")
    private double lossRate;

    @Mixin private SeedOption seedOption;

    @Override
    public Integer call() {
        ResourceUsage processUsage = new ResourceUsage();
        System.out.println(
                "balancers     per s  traffic             got      N   bound  got/bound  used of N");
        boolean anyOverloaded = false;
        for (double warmRate : warmRates) {
            for (int balancerCount : balancerCounts) {
                anyOverloaded |= measure(balancerCount, warmRate);
            }
        }
        System.out.println(processUsage.summary());
        return anyOverloaded ? ExitCodes.VIOLATION : ExitCodes.OK;
    }

    /** Simulates steady traffic and bursts, and returns whether a server was overloaded. */
    private boolean measure(int balancerCount, double warmRate) {
        SlowStartSimulation simulation =
                new SlowStartSimulation(
                        new SlowStartSimulation.Parameters(
                                balancerCount, warmRate, loadFactor, lossRate),
                        RoutingEngine::new,
                        seedOption.seed);
        boolean overloaded = printRow(simulation.runSteady(STEADY_SECONDS));
        for (double seconds : quietSeconds) {
            overloaded |= printRow(simulation.runBurst(seconds, false));
            overloaded |= printRow(simulation.runBurst(seconds, true));
        }
        return overloaded;
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
