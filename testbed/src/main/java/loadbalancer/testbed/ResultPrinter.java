package loadbalancer.testbed;

import java.io.PrintStream;
import java.util.Locale;
import loadbalancer.testbed.statistics.RunResult;

/** Prints the result of one run as human-readable text. Stateless. */
final class ResultPrinter {
    private static final int MAX_VIOLATIONS = 5;

    private ResultPrinter() {}

    /** Prints latencies, faults, metrics, the first violations, and why a result is not trusted. */
    static void print(RunResult result, PrintStream output) {
        printLatencies(result, output);
        printFaults(result, output);
        result.metrics()
                .forEach((name, value) -> output.printf(Locale.ROOT, "%-24s %.4f%n", name, value));
        result.violations().stream().limit(MAX_VIOLATIONS).forEach(output::println);
        output.println(
                result.violationCount() == 0
                        ? "no violations"
                        : result.violationCount() + " violations");
        if (!result.trusted()) {
            output.println("this result is not trusted: " + result.untrustedReason());
        }
    }

    private static void printLatencies(RunResult result, PrintStream output) {
        result.latencies()
                .forEach(
                        (name, latency) ->
                                output.printf(
                                        Locale.ROOT,
                                        "%-20s %7d served, median %.1f ms, 99th "
                                                + "percentile %.1f ms, maximum %.1f ms%n",
                                        name,
                                        latency.count(),
                                        latency.p50Ms(),
                                        latency.p99Ms(),
                                        latency.maxMs()));
    }

    private static void printFaults(RunResult result, PrintStream output) {
        result.faults()
                .forEach(
                        fault ->
                                output.printf(
                                        Locale.ROOT,
                                        "%-40s at %.1f s: %s, %d requests unserved in 10 s%n",
                                        fault.description(),
                                        fault.startSeconds(),
                                        recovery(fault.recoverySeconds()),
                                        fault.unservedCount()));
    }

    private static String recovery(double recoverySeconds) {
        return recoverySeconds < 0
                ? "not recovered"
                : String.format(Locale.ROOT, "recovered after %.1f s", recoverySeconds);
    }
}
