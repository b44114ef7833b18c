package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import loadbalancer.testbed.process.ScenarioRunner;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.statistics.RunResult;
import loadbalancer.testbed.workload.WorkloadPlan;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs one scenario once with real balancer processes. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Runs a scenario with real balancer processes.",
        exitCodeListHeading = ExitCodes.HEADING,
        exitCodeList = {
            ExitCodes.OK_INVARIANTS_HELP,
            ExitCodes.VIOLATION_HELP,
            ExitCodes.USAGE_HELP,
            ExitCodes.UNTRUSTED_HELP
        })
final class RunCommand implements Callable<Integer> {
    @Mixin private ScenarioOptions scenarioOptions;
    @Mixin private BalancerJarOption balancerJar;
    @Mixin private OutputDirectoryOption outputDirectory;

    @Override
    public Integer call() throws IOException, InterruptedException {
        WorkloadPlan workload =
                WorkloadPlan.generate(
                        ScenarioReader.read(scenarioOptions.file, false), scenarioOptions.seed);
        Path directory = outputDirectory.create("lab");
        RunResult result =
                new ScenarioRunner(
                                workload,
                                balancerJar.launchCommand(),
                                directory,
                                System.out::println)
                        .run();
        ResultPrinter.print(result, System.out);
        System.out.println("result in " + directory);
        return ExitCodes.of(result);
    }
}
