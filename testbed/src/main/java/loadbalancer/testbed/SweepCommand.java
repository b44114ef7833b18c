package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
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
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs a scenario once for each value of one of its fields. */
@Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description = "Runs a scenario once for each value of one of its fields.",
        exitCodeListHeading = ExitCodes.HEADING,
        exitCodeList = {
            ExitCodes.OK_INVARIANTS_HELP,
            ExitCodes.VIOLATION_HELP,
            ExitCodes.USAGE_HELP,
            ExitCodes.UNTRUSTED_HELP
        })
final class SweepCommand implements Callable<Integer> {
    @Mixin private ScenarioOptions scenarioOptions;

    @Option(
            names = "--field",
            required = true,
            paramLabel = "TABLE.NAME",
            description = "A field that is set in the file, such as load.rate.")
    private String field;

    @Option(
            names = "--values",
            required = true,
            split = ",",
            paramLabel = "V",
            description = "The values that the field gets, one after another.")
    private List<String> values;

    @Option(names = "--sim", description = "Simulates the scenario instead of starting processes.")
    private boolean simulated;

    @Mixin private BalancerJarOption balancerJar;
    @Mixin private OutputDirectoryOption outputDirectory;

    @Override
    public Integer call() throws IOException, InterruptedException {
        String scenarioText = readScenarioText();
        Path directory = outputDirectory.create("sweep");
        int exitCode = ExitCodes.OK;
        for (String value : values) {
            RunResult result = runScenario(withFieldSet(scenarioText, value), value, directory);
            result.write(OutputDirectoryOption.create(directory.resolve(value)));
            exitCode = Math.max(exitCode, ExitCodes.of(result));
            System.out.printf(
                    Locale.ROOT,
                    "%s = %s: %s%s%n",
                    field,
                    value,
                    result.metrics(),
                    statusSuffix(result));
        }
        System.out.println("results in " + directory);
        return exitCode;
    }

    private String readScenarioText() {
        try {
            return Files.readString(scenarioOptions.file);
        } catch (IOException e) {
            throw new InvalidScenarioException(
                    scenarioOptions.file.toString(), "", "can't be read: " + e.getMessage());
        }
    }

    private RunResult runScenario(String scenarioText, String value, Path directory)
            throws IOException, InterruptedException {
        String origin = scenarioOptions.file + " with " + field + " = " + value;
        Scenario scenario = ScenarioReader.parse(origin, scenarioText, simulated);
        WorkloadPlan workload = WorkloadPlan.generate(scenario, scenarioOptions.seed);
        if (simulated) {
            return new FleetSimulation(workload, RoutingEngine::new, line -> {}).run();
        }
        return new ScenarioRunner(
                        workload,
                        balancerJar.launchCommand(),
                        OutputDirectoryOption.create(directory.resolve(value)),
                        line -> {})
                .run();
    }

    private static String statusSuffix(RunResult result) {
        if (result.violationCount() > 0) {
            return ", " + result.violationCount() + " violations";
        }
        return result.trusted() ? "" : ", not trusted";
    }

    /**
     * Returns the scenario's text with another value in the first line that sets the field.
     *
     * @throws InvalidScenarioException if the file does not set the field
     */
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
        Matcher matcher = linePattern.matcher(scenarioText);
        if (!matcher.find()) {
            throw new InvalidScenarioException(
                    scenarioOptions.file.toString(), field, "not set in the file");
        }
        return scenarioText.substring(0, matcher.end(1))
                + value
                + scenarioText.substring(matcher.end());
    }
}
