package loadbalancer.testbed;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import loadbalancer.testbed.docfigures.RepeatedMeasurements;
import loadbalancer.testbed.footprint.FootprintBenchmark;
import loadbalancer.testbed.footprint.FootprintCase;
import loadbalancer.testbed.footprint.InvalidSizeException;
import loadbalancer.testbed.process.LaunchCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Measures the resource usage of one real balancer process at each of the given sizes. */
@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        description =
                "Measures one real balancer: CPU when idle and per change of the endpoint list,"
                        + " memory, time until ready. A size at which the process ends early is"
                        + " recorded as such.",
        exitCodeListHeading = ExitCodes.HEADING,
        exitCodeList = {ExitCodes.OK_HELP, ExitCodes.USAGE_HELP})
final class FootprintCommand implements Callable<Integer> {
    private static final int MS_PER_SECOND = 1_000;

    @Spec private CommandSpec spec;

    @Parameters(
            paramLabel = "SIZE",
            arity = "1..*",
            description = "A size, such as servers=14000,tenants=38000,balancers=1600,rate=62.")
    private List<String> sizes;

    @Option(
            names = "--repeats",
            paramLabel = "N",
            defaultValue = "3",
            description = "The number of measurements of each size (default: ${DEFAULT-VALUE}).")
    private int repeatCount;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "8",
            description =
                    "Seconds for which the idle process is measured (default: ${DEFAULT-VALUE}).")
    private int idleSeconds;

    @Option(
            names = "--environment",
            paramLabel = "NAME=VALUE",
            description =
                    "Environment variables of the process; TANSYFERRY_STATE_DIR=own gives it a"
                            + " directory of its own.")
    private Map<String, String> environment = Map.of();

    @Mixin private BalancerJarOption balancerJar;
    @Mixin private MeasurementFileOption measurementFile;
    @Mixin private OutputDirectoryOption outputDirectory;

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<FootprintCase> cases = parseSizes();
        LaunchCommand launchCommand = balancerJar.launchCommand();
        RepeatedMeasurements measurements = new RepeatedMeasurements();
        FootprintBenchmark benchmark =
                new FootprintBenchmark(
                        launchCommand,
                        outputDirectory.create("cost"),
                        idleSeconds * MS_PER_SECOND,
                        environment,
                        measurements,
                        System.out::println);
        for (int repeat = 1; repeat <= repeatCount; repeat++) {
            for (FootprintCase footprintCase : cases) {
                benchmark.measure(footprintCase, repeat);
                measurementFile.write(repeatNumbers(repeat), measurements);
            }
        }
        measurements.summary().forEach((key, value) -> System.out.println(key + " " + value));
        return ExitCodes.OK;
    }

    private List<FootprintCase> parseSizes() {
        try {
            return sizes.stream().map(FootprintCase::parse).toList();
        } catch (InvalidSizeException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }

    // The measurement uses no random numbers, so its file lists repeats in place of seeds.
    private static List<Long> repeatNumbers(int lastRepeat) {
        return LongStream.rangeClosed(1, lastRepeat).boxed().toList();
    }
}
