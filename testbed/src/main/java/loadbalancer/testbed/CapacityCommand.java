package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import loadbalancer.testbed.capacity.CapacityOptions;
import loadbalancer.testbed.capacity.CapacityRun;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures what the control of a fleet costs, with hollow balancers. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description =
                "Fleets of hollow balancers (module, membership and duties without a data path): "
                        + "datagrams, CPU, heap and how soon news are known, by the "
                        + "fleet's size. Exit: 0, 2 wrong use, "
                        + "3 where the machine was too busy for real time.")
final class CapacityCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;
    @Mixin private CapacityOptions options;

    @Option(names = "--out", paramLabel = "FILE", description = "Where the figures go, as JSON.")
    private Path outputFile;

    @Override
    public Integer call() throws IOException {
        return CapacityRun.run(
                        options,
                        spec.commandLine().getParseResult().originalArgs(),
                        outputFile,
                        System.out::println)
                ? TestbedCommand.EXIT_OK
                : TestbedCommand.EXIT_UNTRUSTED;
    }
}
