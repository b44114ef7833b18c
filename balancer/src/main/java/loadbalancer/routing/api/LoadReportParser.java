package loadbalancer.routing.api;

import java.util.Arrays;
import java.util.List;

/**
 * Parses load reports of endpoints. It accepts the field names of the simulator's protocol and
 * those of the response header. Stateless and thread-safe.
 *
 * <p>Values are collected in an array with one element for each field, see {@link #fieldIndex}.
 */
public final class LoadReportParser {
    // Names in the simulator's protocol, in the order of the components of LoadReport
    private static final List<String> SIMULATOR_FIELDS =
            List.of(
                    "outstanding",
                    "backlog",
                    "utilization",
                    "recent_ms",
                    "throughput",
                    "errors_per_s");
    // Names in the response header, in the order of the components of LoadReport
    private static final List<String> HEADER_FIELDS =
            List.of("inflight", "queue", "util", "latency_ms", "qps", "eps");

    private static final String TEXT_FORMAT_PREFIX = "^TEXT\\s+";
    private static final double MICROS_PER_MS = 1000;

    private LoadReportParser() {}

    /** Returns a new array of values that are all unknown (NaN). */
    public static double[] unknownValues() {
        double[] values = new double[SIMULATOR_FIELDS.size()];
        Arrays.fill(values, Double.NaN);
        return values;
    }

    /** Returns the index of a field in the array of values, or -1 for an unknown name. */
    public static int fieldIndex(String name) {
        int index = SIMULATOR_FIELDS.indexOf(name);
        return index >= 0 ? index : HEADER_FIELDS.indexOf(name);
    }

    /** Returns the report with these values, whose latency is in ms. */
    public static LoadReport toLoadReport(double[] values) {
        return new LoadReport(
                values[0], values[1], values[2], values[3] * MICROS_PER_MS, values[4], values[5]);
    }

    /**
     * Parses a report like {@code TEXT inflight=7, queue=2}. Unknown fields and fields whose value
     * is not a number are ignored.
     *
     * @param text the report, or null
     * @return the report, or null if there is none or none of its fields can be parsed
     */
    public static LoadReport parse(String text) {
        if (text == null) {
            return null;
        }
        double[] values = unknownValues();
        boolean anyKnown = false;
        for (String pair : text.strip().replaceFirst(TEXT_FORMAT_PREFIX, "").split(",")) {
            int separator = pair.indexOf('=');
            int field = separator < 0 ? -1 : fieldIndex(pair.substring(0, separator).strip());
            if (field >= 0) {
                try {
                    values[field] = Double.parseDouble(pair.substring(separator + 1).strip());
                    anyKnown = true;
                } catch (NumberFormatException e) {
                    // The field is ignored because the others may be usable
                }
            }
        }
        return anyKnown ? toLoadReport(values) : null;
    }
}
