package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.testbed.process.ScenarioRunner;
import loadbalancer.testbed.scenario.InvalidScenarioException;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.simulation.FleetSimulation;
import loadbalancer.testbed.statistics.RunResult;
import loadbalancer.testbed.workload.WorkloadPlan;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays a scenario once for each value of one field. */
@Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description = "Plays a scenario once for each value of one of its fields. Exit as of run.")
final class SweepCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "SCENARIO", description = "A scenario file (TOML).")
    private Path scenarioFile;

    @Option(
            names = "--field",
            required = true,
            paramLabel = "TABLE.NAME",
            description = "A field that the file sets, such as load.rate.")
    private String field;

    @Option(
            names = "--values",
            required = true,
            split = ",",
            paramLabel = "V",
            description = "What it is to be.")
    private List<String> values;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Draws arrivals and faults (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--sim", description = "In simulated time.")
    private boolean simulated;

    @Option(names = "--build", paramLabel = "JAR", description = "The balancer to play.")
    private Path balancerJar;

    @Option(names = "--out", paramLabel = "DIR", description = "Where logs and results go.")
    private Path outputDirectory;

    @Override
    public Integer call() throws IOException, InterruptedException {
        String scenarioText;
        try {
            scenarioText = Files.readString(scenarioFile);
        } catch (IOException e) {
            throw new InvalidScenarioException(
                    scenarioFile.toString(), "", "can't be read: " + e.getMessage());
        }
        Path directory = TestbedCommand.createOutputDirectory(outputDirectory, "sweep");
        int exitCode = TestbedCommand.EXIT_OK;
        for (String value : values) {
            Scenario scenario =
                    ScenarioReader.parse(
                            scenarioFile + " with " + field + " = " + value,
                            withFieldSet(scenarioText, value),
                            simulated);
            WorkloadPlan workload = WorkloadPlan.generate(scenario, seed);
            RunResult result =
                    simulated
                            ? new FleetSimulation(workload, RoutingEngine::new, line -> {}).run()
                            : new ScenarioRunner(
                                            workload,
                                            TestbedCommand.balancerLaunch(balancerJar),
                                            TestbedCommand.createOutputDirectory(
                                                    directory.resolve(value), ""),
                                            line -> {})
                                    .run();
            result.write(TestbedCommand.createOutputDirectory(directory.resolve(value), ""));
            exitCode = Math.max(exitCode, TestbedCommand.exitCode(result));
            System.out.printf(
                    Locale.ROOT,
                    "%s = %s: %s%s%n",
                    field,
                    value,
                    result.metrics(),
                    result.violationCount() > 0
                            ? ", " + result.violationCount() + " rules broken"
                            : result.trusted() ? "" : ", not to be trusted");
        }
        System.out.println("results in " + directory);
        return exitCode;
    }

    // The field's first line in its table; what the file does not set can't be swept.
    private String withFieldSet(String scenarioText, String value) {
        int lastDot = field.lastIndexOf('.');
        String tablePattern =
                lastDot < 0
                        ? ""
                        : "(?s)\\[" + Pattern.quote(field.substring(0, lastDot)) + "\\][^\\[]*?\\n";
        Pattern linePattern =
                Pattern.compile(
                        "(?m)("
                                + tablePattern
                                + "^"
                                + Pattern.quote(field.substring(lastDot + 1))
                                + "\\s*=\\s*)[^\\n]*");
        var matcher = linePattern.matcher(scenarioText);
        if (!matcher.find()) {
            throw new InvalidScenarioException(
                    scenarioFile.toString(), field, "the file does not set it");
        }
        return scenarioText.substring(0, matcher.end(1))
                + value
                + scenarioText.substring(matcher.end());
    }
}
