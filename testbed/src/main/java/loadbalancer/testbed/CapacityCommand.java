package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import loadbalancer.testbed.capacity.CapacityOptions;
import loadbalancer.testbed.capacity.CapacityRun;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the cost of a fleet's control plane with hollow balancers, which have no data path. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description =
                "Measures the control plane of a fleet by its size: datagrams, CPU, heap and how soon"
                        + " updates are known. The balancers are hollow: routing policy, membership"
                        + " and leases without a data path.",
        exitCodeListHeading = ExitCodes.HEADING,
        exitCodeList = {ExitCodes.OK_HELP, ExitCodes.USAGE_HELP, ExitCodes.UNTRUSTED_HELP})
final class CapacityCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;
    @Mixin private CapacityOptions options;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            description = "The JSON file to which all measurements are written (default: none).")
    private Path outputFile;

    @Override
    public Integer call() throws IOException {
        List<String> arguments = spec.commandLine().getParseResult().originalArgs();
        boolean trusted = CapacityRun.run(options, arguments, outputFile, System.out::println);
        return trusted ? ExitCodes.OK : ExitCodes.UNTRUSTED;
    }
}
