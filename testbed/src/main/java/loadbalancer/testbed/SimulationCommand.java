package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.simulation.BaselinePolicy;
import loadbalancer.testbed.simulation.FleetSimulation;
import loadbalancer.testbed.simulation.ResourceUsage;
import loadbalancer.testbed.statistics.RunResult;
import loadbalancer.testbed.workload.WorkloadPlan;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays one scenario in simulated time, with the module alone or with baselines beside it. */
@Command(
        name = "sim",
        mixinStandardHelpOptions = true,
        description =
                "Plays a scenario in simulated time, with the module alone. Exit: 0 every rule was kept "
                        + "by the "
                        + "module, 1 one was broken, 2 wrong use.")
final class SimulationCommand implements Callable<Integer> {
    // The paper's p, where nothing says more
    private static final double FAST_SERVER_FRACTION = 0.5;

    @Parameters(paramLabel = "SCENARIO", description = "A scenario file (TOML).")
    private Path scenarioFile;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Draws arrivals and faults (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--with-baselines",
            description =
                    "Also plays random choice, round robin, two choices, "
                            + "least queue and the paper's JSQ-DAS.")
    private boolean withBaselines;

    @Option(
            names = "--zones",
            description =
                    "The modules leave zones and meet them again as wholes; else as the "
                            + "scenario's environment says.")
    private boolean zoneFailover;

    @Option(names = "--remarks", description = "Prints the modules' log lines.")
    private boolean printPolicyLog;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Where the result goes (default: nowhere).")
    private Path outputDirectory;

    @Override
    public Integer call() throws IOException {
        ResourceUsage processUsage = new ResourceUsage();
        Scenario scenario = ScenarioReader.read(scenarioFile, true);
        WorkloadPlan workload = WorkloadPlan.generate(scenario, seed);
        boolean zoneFailoverEnabled =
                zoneFailover || "on".equals(scenario.fleet().environment().get("TANSYFERRY_ZONES"));
        long startNanos = System.nanoTime();
        FleetSimulation fleet =
                new FleetSimulation(
                        workload,
                        (settings, policySeed) ->
                                new RoutingEngine(settings, policySeed, zoneFailoverEnabled),
                        printPolicyLog ? System.out::println : line -> {});
        RunResult result = fleet.run();
        System.out.printf(
                Locale.ROOT,
                "%s: seed %d, %d requests, simulated in %.1f s%n",
                scenario.name(),
                seed,
                workload.arrivals().size(),
                (System.nanoTime() - startNanos) / 1e9);
        TestbedCommand.printResult(result);
        System.out.println(
                processUsage.simulationSummary(fleet.simulatedSeconds(), fleet.processedEvents()));
        if (withBaselines) {
            printRow("module", result);
            List.of(BaselinePolicy.Algorithm.values())
                    .forEach(
                            rule ->
                                    printRow(
                                            rule.name().toLowerCase(Locale.ROOT),
                                            new FleetSimulation(
                                                            workload,
                                                            (settings, policySeed) ->
                                                                    new BaselinePolicy(
                                                                            rule,
                                                                            FAST_SERVER_FRACTION,
                                                                            settings,
                                                                            policySeed),
                                                            line -> {})
                                                    .run()));
        }
        if (outputDirectory != null) {
            result.write(TestbedCommand.createOutputDirectory(outputDirectory, "sim"));
        }
        return TestbedCommand.exitCode(result);
    }

    private static void printRow(String name, RunResult result) {
        System.out.printf(
                Locale.ROOT,
                "%-12s service %.4f, served in time %.4f, unserved %.0f, rules " + "broken %d%n",
                name,
                result.metrics().get("service"),
                result.metrics().get("served_share"),
                result.metrics().get("unserved"),
                result.violationCount());
    }
}
