package loadbalancer.testbed.process;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.stream.Stream;
import loadbalancer.testbed.invariant.ClientAttempt;
import loadbalancer.testbed.invariant.RequestInvariants;
import loadbalancer.testbed.invariant.Violation;

/**
 * Prints the traces of requests that violated an invariant: what the emulated clients and upstreams
 * observed and what the balancers logged, in order of time. Used by one thread, after the run.
 */
final class RequestTracePrinter {
    private static final int MAX_TRACES = 3;

    private final Consumer<String> output;

    /** Creates a printer that passes each line to {@code output}. */
    RequestTracePrinter(Consumer<String> output) {
        this.output = output;
    }

    private record TraceLine(double atSeconds, String text) {}

    /**
     * Prints the traces of the first {@value #MAX_TRACES} requests that violated an invariant.
     *
     * @throws IOException if a balancer's log can't be read
     */
    void print(RequestInvariants invariants, List<BalancerProcess> balancers) throws IOException {
        List<String> requestIds =
                invariants.violations().stream()
                        .map(Violation::requestId)
                        .filter(Objects::nonNull)
                        .distinct()
                        .limit(MAX_TRACES)
                        .toList();
        for (String requestId : requestIds) {
            List<TraceLine> trace = new ArrayList<>();
            ClientAttempt clientAttempt = invariants.clientAttempt(requestId);
            if (clientAttempt != null) {
                addObservations(clientAttempt, trace);
            }
            for (BalancerProcess balancer : balancers) {
                addLogLines(balancer, requestId, trace);
            }
            print(requestId, trace);
        }
    }

    private static void addObservations(ClientAttempt clientAttempt, List<TraceLine> trace) {
        clientAttempt
                .traceEvents()
                .forEach(
                        event ->
                                trace.add(
                                        new TraceLine(
                                                event.timeMicros() / 1e6,
                                                event.observer() + ": " + event.description())));
    }

    private static void addLogLines(
            BalancerProcess balancer, String requestId, List<TraceLine> trace) throws IOException {
        if (!Files.exists(balancer.logFile())) {
            return;
        }
        try (Stream<String> lines = Files.lines(balancer.logFile())) {
            lines.filter(line -> line.contains(requestId))
                    .map(RequestTracePrinter::parseLogLine)
                    .forEach(trace::add);
        }
    }

    // BalancerProcess starts each line with the time in seconds since the start of the run.
    private static TraceLine parseLogLine(String line) {
        int timeEnd = line.indexOf(' ');
        return new TraceLine(
                Double.parseDouble(line.substring(0, timeEnd)), line.substring(timeEnd + 1));
    }

    private void print(String requestId, List<TraceLine> trace) {
        trace.sort(Comparator.comparingDouble(TraceLine::atSeconds));
        output.accept("the story of " + requestId + ":");
        trace.forEach(
                line ->
                        output.accept(
                                String.format(
                                        Locale.ROOT, "  %11.6f %s", line.atSeconds, line.text)));
    }
}
