package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.simulation.BaselinePolicy;
import loadbalancer.testbed.simulation.FleetSimulation;
import loadbalancer.testbed.simulation.ResourceUsage;
import loadbalancer.testbed.statistics.RunResult;
import loadbalancer.testbed.workload.WorkloadPlan;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Simulates one scenario with the routing policy, and optionally with baseline policies. */
@Command(
        name = "sim",
        mixinStandardHelpOptions = true,
        description = "Simulates a scenario with the routing policy alone.",
        exitCodeListHeading = ExitCodes.HEADING,
        exitCodeList = {
            ExitCodes.OK_INVARIANTS_HELP,
            ExitCodes.VIOLATION_HELP,
            ExitCodes.USAGE_HELP
        })
final class SimulationCommand implements Callable<Integer> {
    // This is p in the JSQ-DAS paper; scenarios do not set it.
    private static final double FAST_SERVER_FRACTION = 0.5;
    // The environment variable by which a scenario enables zone failover in its balancers.
    private static final String ZONE_FAILOVER_VARIABLE = "TANSYFERRY_ZONES";
    private static final String ENABLED = "on";

    @Mixin private ScenarioOptions scenarioOptions;

    @Option(
            names = "--with-baselines",
            description =
                    "Also simulates random choice, round robin, the power of two choices,"
                            + " least queue and the paper's JSQ-DAS.")
    private boolean withBaselines;

    @Option(
            names = "--zones",
            description =
                    "Enables zone failover; otherwise the environment of the scenario's fleet"
                            + " decides.")
    private boolean zoneFailover;

    @Option(names = "--remarks", description = "Prints the log lines of the routing policies.")
    private boolean printPolicyLog;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "The directory of the result (default: none).")
    private Path outputDirectory;

    @Override
    public Integer call() throws IOException {
        ResourceUsage processUsage = new ResourceUsage();
        Scenario scenario = ScenarioReader.read(scenarioOptions.file, true);
        WorkloadPlan workload = WorkloadPlan.generate(scenario, scenarioOptions.seed);
        long startNanos = System.nanoTime();
        FleetSimulation fleet = createSimulation(scenario, workload);
        RunResult result = fleet.run();
        System.out.printf(
                Locale.ROOT,
                "%s: seed %d, %d requests, simulated in %.1f s%n",
                scenario.name(),
                scenarioOptions.seed,
                workload.arrivals().size(),
                (System.nanoTime() - startNanos) / 1e9);
        ResultPrinter.print(result, System.out);
        System.out.println(
                processUsage.simulationSummary(fleet.simulatedSeconds(), fleet.processedEvents()));
        if (withBaselines) {
            printRow("module", result);
            simulateBaselines(workload);
        }
        if (outputDirectory != null) {
            result.write(OutputDirectoryOption.create(outputDirectory));
        }
        return ExitCodes.of(result);
    }

    private FleetSimulation createSimulation(Scenario scenario, WorkloadPlan workload) {
        boolean zoneFailoverEnabled =
                zoneFailover
                        || ENABLED.equals(
                                scenario.fleet().environment().get(ZONE_FAILOVER_VARIABLE));
        Consumer<String> policyLog = printPolicyLog ? System.out::println : line -> {};
        return new FleetSimulation(
                workload,
                (settings, policySeed) ->
                        new RoutingEngine(settings, policySeed, zoneFailoverEnabled),
                policyLog);
    }

    private static void simulateBaselines(WorkloadPlan workload) {
        for (BaselinePolicy.Algorithm algorithm : BaselinePolicy.Algorithm.values()) {
            FleetSimulation baseline =
                    new FleetSimulation(
                            workload,
                            (settings, policySeed) ->
                                    new BaselinePolicy(
                                            algorithm, FAST_SERVER_FRACTION, settings, policySeed),
                            line -> {});
            printRow(algorithm.name().toLowerCase(Locale.ROOT), baseline.run());
        }
    }

    private static void printRow(String name, RunResult result) {
        System.out.printf(
                Locale.ROOT,
                "%-12s service %.4f, served in time %.4f, unserved %.0f, violations %d%n",
                name,
                result.metrics().get("service"),
                result.metrics().get("served_share"),
                result.metrics().get("unserved"),
                result.violationCount());
    }
}
