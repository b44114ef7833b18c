package junctionhead.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import junctionhead.lab.fleet.Run;
import junctionhead.lab.measure.Result;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.scenario.ScenarioReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays one scenario once, with real processes. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description =
                "Plays a scenario with real processes. Exit: 0 every rule was kept, 1 one was broken, "
                        + "2 wrong use, 3 the lab was too busy to be trusted.")
final class RunCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCENARIO", description = "A scenario file (TOML).")
    private Path file;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Draws arrivals and faults (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--build",
            paramLabel = "JAR",
            description = "The balancer to play (default: balancer/target/junctionhead.jar).")
    private Path jar;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Where logs and the result go (default: a new folder below logs/).")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Plan plan = Plan.of(ScenarioReader.read(file, false), seed);
        Path folder = Lab.folder(out, "lab");
        Result result = new Run(plan, Lab.launch(jar), folder, System.out::println).play();
        Lab.print(result);
        System.out.println("result in " + folder);
        return Lab.exit(result);
    }
}
