package loadbalancer.testbed;

import java.util.List;
import picocli.CommandLine.Option;

/** The option for the seeds of a command that repeats its measurement for each seed. */
final class SeedListOption {
    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            split = ",",
            description = "The seeds, simulated one after another (default: ${DEFAULT-VALUE}).")
    List<Long> seeds;
}
