package loadbalancer.routing.api;

import java.util.Arrays;
import java.util.List;

/**
 * The values of a server's load report, under the names of the wire and of the protocol on sockets.
 */
public final class LoadReportParser {
    private static final List<String> SIMULATOR_FIELDS =
            List.of(
                    "outstanding",
                    "backlog",
                    "utilization",
                    "recent_ms",
                    "throughput",
                    "errors_per_s");
    private static final List<String> HEADER_FIELDS =
            List.of("inflight", "queue", "util", "latency_ms", "qps", "eps");

    private LoadReportParser() {}

    public static double[] unknownValues() {
        double[] values = new double[SIMULATOR_FIELDS.size()];
        Arrays.fill(values, Double.NaN);
        return values;
    }

    /** The place of a value, or -1 for a name that means nothing here. */
    public static int fieldIndex(String name) {
        int index = SIMULATOR_FIELDS.indexOf(name);
        return index >= 0 ? index : HEADER_FIELDS.indexOf(name);
    }

    public static LoadReport toLoadReport(double[] values) {
        return new LoadReport(
                values[0], values[1], values[2], values[3] * 1000, values[4], values[5]);
    }

    /**
     * Reads a report like {@code TEXT inflight=7, queue=2}. What can't be read is passed over.
     *
     * @return null where there is no report, or none of its values is known
     */
    public static LoadReport parse(String text) {
        if (text == null) {
            return null;
        }
        double[] values = unknownValues();
        boolean anyKnown = false;
        for (String pair : text.strip().replaceFirst("^TEXT\\s+", "").split(",")) {
            int separator = pair.indexOf('=');
            int field = separator < 0 ? -1 : fieldIndex(pair.substring(0, separator).strip());
            if (field >= 0) {
                try {
                    values[field] = Double.parseDouble(pair.substring(separator + 1).strip());
                    anyKnown = true;
                } catch (NumberFormatException e) {
                    // One odd value does not spoil the others
                    continue;
                }
            }
        }
        return anyKnown ? toLoadReport(values) : null;
    }
}
