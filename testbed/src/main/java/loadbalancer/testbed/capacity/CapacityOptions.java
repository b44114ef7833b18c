package loadbalancer.testbed.capacity;

import picocli.CommandLine.Option;

/**
 * The command line's words as they came: {@link CapacityPlan} checks them, so that each fault is
 * one line.
 */
public final class CapacityOptions {
    @Option(
            names = "--balancers",
            paramLabel = "N,..",
            defaultValue = "100",
            description = "Sizes of the fleet (default: ${DEFAULT-VALUE}).")
    String balancers;

    @Option(
            names = "--upstreams",
            paramLabel = "N,..",
            defaultValue = "500",
            description = "Entries of the list (default: ${DEFAULT-VALUE}).")
    String upstreams;

    @Option(
            names = "--condition",
            paramLabel = "NAME,..",
            defaultValue = "quiet",
            description = "quiet, loss10, zone, restarts, halves (default: ${DEFAULT-VALUE}).")
    String conditions;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "20",
            description = "That a condition lasts (default: ${DEFAULT-VALUE}).")
    String seconds;

    @Option(
            names = "--warmup",
            paramLabel = "S",
            defaultValue = "12",
            description = "Before it, not measured (default: ${DEFAULT-VALUE}).")
    String warmUp;

    @Option(
            names = "--seed",
            paramLabel = "N,..",
            defaultValue = "1",
            description =
                    "Figures of several are means, of worst cases the worst (default: ${DEFAULT-VALUE}).")
    String seeds;

    @Option(
            names = "--zones",
            paramLabel = "N",
            defaultValue = "30",
            description = "Default: ${DEFAULT-VALUE}.")
    String zones;

    @Option(
            names = "--classes",
            paramLabel = "N",
            defaultValue = "4",
            description = "Of requests (default: ${DEFAULT-VALUE}).")
    String classes;

    @Option(
            names = "--rate",
            paramLabel = "R",
            defaultValue = "0",
            description = "Requests a second and balancer, on average (default: ${DEFAULT-VALUE}).")
    String rate;

    @Option(
            names = "--parts",
            paramLabel = "NAME,..",
            defaultValue = "module,membership,duties",
            description = "What hollow balancers consist of (default: ${DEFAULT-VALUE}).")
    String parts;

    @Option(names = "--sockets", description = "Over UDP on loopback, in real time.")
    boolean useSockets;

    @Option(
            names = "--threads",
            paramLabel = "N",
            defaultValue = "2",
            description =
                    "For all hollow balancers, with --sockets; 0: one for each "
                            + "(default: ${DEFAULT-VALUE}).")
    String threads;

    @Option(
            names = "--real",
            paramLabel = "N",
            defaultValue = "0",
            description = "Real balancers among them, with --sockets (default: ${DEFAULT-VALUE}).")
    String realBalancers;
}
