package loadbalancer.testbed;

import picocli.CommandLine.Option;

/** The option for the seed of a command that simulates once. */
final class SeedOption {
    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "The seed of the simulation (default: ${DEFAULT-VALUE}).")
    long seed;
}
