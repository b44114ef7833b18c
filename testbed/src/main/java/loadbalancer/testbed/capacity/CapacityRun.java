package loadbalancer.testbed.capacity;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Executes one call of the command, from its options to its report. Stateless. */
public final class CapacityRun {
    // The same limit as for runs with real processes
    private static final double MAX_TIMER_LATENESS_SECONDS = 0.025;
    private static final String JAR_PATH = "testbed/target/load-balancer-testbed.jar";

    private CapacityRun() {}

    /**
     * Measures all cases that the options define.
     *
     * @param arguments the arguments of the command line
     * @param outputFile the file for the report, or null to write none
     * @param progress is called with one line of text for each case, and with a line if the metrics
     *     are not valid
     * @return false if the machine was too busy for real time, so that the metrics are not valid
     * @throws InvalidOptionException if an option is invalid
     * @throws IOException if a fleet can't be created or the report can't be written
     */
    public static boolean run(
            CapacityOptions options,
            List<String> arguments,
            Path outputFile,
            Consumer<String> progress)
            throws IOException {
        CapacityPlan plan = CapacityPlan.of(options);
        if (outputFile != null) {
            // Created before the measurement, so that an unusable path is reported early
            CapacityReport.createParentDirectory(outputFile);
        }
        CapacityBenchmark.FleetFactory fleetFactory =
                options.useSockets
                        ? (fleetSpec, seed) ->
                                new SocketHollowFleet(
                                        fleetSpec, seed, plan.threads(), plan.realBalancers())
                        : SimulatedHollowFleet::new;
        Map<String, Double> metrics = new CapacityBenchmark(plan, fleetFactory, progress).run();
        if (outputFile != null) {
            new CapacityReport(reproducingCommand(arguments), plan.seeds(), metrics)
                    .write(outputFile);
        }
        double latenessSeconds =
                metrics.entrySet().stream()
                        .filter(
                                metric ->
                                        metric.getKey()
                                                .endsWith(SocketHollowFleet.TIMER_LATENESS_METRIC))
                        .mapToDouble(Map.Entry::getValue)
                        .max()
                        .orElse(0);
        if (latenessSeconds > MAX_TIMER_LATENESS_SECONDS) {
            progress.accept(
                    "this run counts for nothing: timers came up to "
                            + Math.round(1e3 * latenessSeconds)
                            + " ms late (99th percentile)");
        }
        return latenessSeconds <= MAX_TIMER_LATENESS_SECONDS;
    }

    // Includes the JVM options that affect the metrics, but no paths of this machine.
    private static String reproducingCommand(List<String> arguments) {
        List<String> commandLine = new ArrayList<>(List.of("java"));
        ManagementFactory.getRuntimeMXBean().getInputArguments().stream()
                .filter(
                        jvmOption ->
                                jvmOption.startsWith("-X") || jvmOption.startsWith("-Dio.netty"))
                .forEach(commandLine::add);
        commandLine.addAll(List.of("-jar", JAR_PATH));
        if (arguments.isEmpty() || !arguments.get(0).equals("capacity")) {
            commandLine.add("capacity");
        }
        commandLine.addAll(arguments);
        return String.join(" ", commandLine);
    }
}
