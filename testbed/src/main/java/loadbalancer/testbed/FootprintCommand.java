package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import loadbalancer.testbed.docfigures.MeasurementFile;
import loadbalancer.testbed.docfigures.RepeatedMeasurements;
import loadbalancer.testbed.footprint.FootprintBenchmark;
import loadbalancer.testbed.footprint.FootprintCase;
import loadbalancer.testbed.process.LaunchCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Measures what one real process costs at the sizes asked for. */
@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        description =
                "One real balancer: CPU at rest and by change of the list, memory, time until ready. "
                        + "Exit: 0, 2 wrong use. Sizes whose process did not last are in "
                        + "the figures as such.")
final class FootprintCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(
            paramLabel = "SIZE",
            arity = "1..*",
            description = "As servers=14000,tenants=38000,balancers=1600,rate=62.")
    private List<String> sizes;

    @Option(
            names = "--repeats",
            paramLabel = "N",
            defaultValue = "3",
            description = "Default: ${DEFAULT-VALUE}.")
    private int repeatCount;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "8",
            description = "Of rest that are watched (default: ${DEFAULT-VALUE}).")
    private int idleSeconds;

    @Option(
            names = "--environment",
            paramLabel = "NAME=VALUE",
            description =
                    "Of the process, as TANSYFERRY_STATE_DIR=own: then a folder is made for it.")
    private Map<String, String> environment = Map.of();

    @Option(
            names = "--build",
            paramLabel = "JAR",
            description = "The balancer (default: balancer/target/load-balancer.jar).")
    private Path balancerJar;

    @Option(
            names = "--json",
            paramLabel = "FILE",
            description = "Where the figures are written, too.")
    private Path jsonFile;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Where logs go (default: a new folder below logs/).")
    private Path outputDirectory;

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<FootprintCase> cases;
        try {
            cases = sizes.stream().map(FootprintCase::parse).toList();
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
        LaunchCommand launchCommand = TestbedCommand.balancerLaunch(balancerJar);
        RepeatedMeasurements measurements = new RepeatedMeasurements();
        FootprintBenchmark benchmark =
                new FootprintBenchmark(
                        launchCommand,
                        TestbedCommand.createOutputDirectory(outputDirectory, "cost"),
                        idleSeconds * 1000,
                        environment,
                        measurements,
                        System.out::println);
        for (int repeat = 1; repeat <= repeatCount; repeat++) {
            for (FootprintCase footprintCase : cases) {
                benchmark.measure(footprintCase, repeat);
                if (jsonFile != null) {
                    new MeasurementFile(
                                    TestbedCommand.commandLine(spec),
                                    LongStream.rangeClosed(1, repeat).boxed().toList(),
                                    measurements.summary())
                            .write(jsonFile);
                }
            }
        }
        measurements.summary().forEach((key, value) -> System.out.println(key + " " + value));
        return TestbedCommand.EXIT_OK;
    }
}
