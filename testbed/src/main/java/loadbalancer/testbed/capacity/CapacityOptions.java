package loadbalancer.testbed.capacity;

import picocli.CommandLine.Option;

/**
 * Holds the options of the command line as text. {@link CapacityPlan} parses and checks them, so
 * that each error is reported as one line.
 */
public final class CapacityOptions {
    @Option(
            names = "--balancers",
            paramLabel = "N,..",
            defaultValue = "100",
            description = "The numbers of balancers (default: ${DEFAULT-VALUE}).")
    String balancers;

    @Option(
            names = "--upstreams",
            paramLabel = "N,..",
            defaultValue = "500",
            description =
                    "The numbers of entries in the endpoint list (default: ${DEFAULT-VALUE}).")
    String upstreams;

    @Option(
            names = "--condition",
            paramLabel = "NAME,..",
            defaultValue = "quiet",
            description =
                    "The conditions: quiet, loss10, zone, restarts, halves (default: ${DEFAULT-VALUE}).")
    String conditions;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "20",
            description = "How long a condition lasts (default: ${DEFAULT-VALUE}).")
    String seconds;

    @Option(
            names = "--warmup",
            paramLabel = "S",
            defaultValue = "12",
            description =
                    "How long a fleet runs before it, not measured (default: ${DEFAULT-VALUE}).")
    String warmUp;

    @Option(
            names = "--seed",
            paramLabel = "N,..",
            defaultValue = "1",
            description =
                    "The seeds; metrics are means over them, or maxima of worst cases"
                            + " (default: ${DEFAULT-VALUE}).")
    String seeds;

    @Option(
            names = "--zones",
            paramLabel = "N",
            defaultValue = "30",
            description = "The number of zones (default: ${DEFAULT-VALUE}).")
    String zones;

    @Option(
            names = "--classes",
            paramLabel = "N",
            defaultValue = "4",
            description = "The number of request classes (default: ${DEFAULT-VALUE}).")
    String classes;

    @Option(
            names = "--rate",
            paramLabel = "R",
            defaultValue = "0",
            description =
                    "Requests a second of a balancer, on average (default: ${DEFAULT-VALUE}).")
    String rate;

    @Option(
            names = "--parts",
            paramLabel = "NAME,..",
            defaultValue = "module,membership,duties",
            description = "The components of hollow balancers (default: ${DEFAULT-VALUE}).")
    String components;

    @Option(names = "--sockets", description = "Runs the fleet over UDP on loopback, in real time.")
    boolean useSockets;

    @Option(
            names = "--threads",
            paramLabel = "N",
            defaultValue = "2",
            description =
                    "Threads of all hollow balancers, with --sockets; 0: one for each "
                            + "(default: ${DEFAULT-VALUE}).")
    String threads;

    @Option(
            names = "--real",
            paramLabel = "N",
            defaultValue = "0",
            description =
                    "Real balancers in the fleet, with --sockets (default: ${DEFAULT-VALUE}).")
    String realBalancers;
}
