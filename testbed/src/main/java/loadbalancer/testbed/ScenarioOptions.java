package loadbalancer.testbed;

import java.nio.file.Path;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The options for the scenario and the seed of a command that runs one scenario. */
final class ScenarioOptions {
    @Parameters(index = "0", paramLabel = "SCENARIO", description = "A scenario file (TOML).")
    Path file;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "The seed of arrivals and faults (default: ${DEFAULT-VALUE}).")
    long seed;
}
