package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import loadbalancer.testbed.process.ScenarioRunner;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.statistics.RunResult;
import loadbalancer.testbed.workload.WorkloadPlan;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays one scenario once, with real processes. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description =
                "Plays a scenario with real processes. Exit: 0 every rule was kept, 1 one was broken, "
                        + "2 wrong use, 3 the testbed was too busy to be trusted.")
final class RunCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCENARIO", description = "A scenario file (TOML).")
    private Path scenarioFile;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Draws arrivals and faults (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--build",
            paramLabel = "JAR",
            description = "The balancer to play (default: balancer/target/load-balancer.jar).")
    private Path balancerJar;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Where logs and the result go (default: a new folder below logs/).")
    private Path outputDirectory;

    @Override
    public Integer call() throws IOException, InterruptedException {
        WorkloadPlan workload =
                WorkloadPlan.generate(ScenarioReader.read(scenarioFile, false), seed);
        Path directory = TestbedCommand.createOutputDirectory(outputDirectory, "lab");
        RunResult result =
                new ScenarioRunner(
                                workload,
                                TestbedCommand.balancerLaunch(balancerJar),
                                directory,
                                System.out::println)
                        .run();
        TestbedCommand.printResult(result);
        System.out.println("result in " + directory);
        return TestbedCommand.exitCode(result);
    }
}
