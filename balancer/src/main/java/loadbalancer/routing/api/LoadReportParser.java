package loadbalancer.routing.api;

import java.util.Arrays;
import java.util.List;

/**
 * Reads load reports of endpoints, under the names that the simulator's wire and the protocol on
 * sockets give their fields. Stateless.
 *
 * <p>Figures are collected in an array with one place for each field, see {@link #fieldIndex}.
 */
public final class LoadReportParser {
    // In the order of the fields of LoadReport, as the one below
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

    private static final String TEXT_FORMAT_PREFIX = "^TEXT\\s+";
    private static final double MICROS_PER_MS = 1000;

    private LoadReportParser() {}

    /** A new array of figures that are all unknown (NaN). */
    public static double[] unknownValues() {
        double[] values = new double[SIMULATOR_FIELDS.size()];
        Arrays.fill(values, Double.NaN);
        return values;
    }

    /** The index of a field in the array of figures, or -1 for a name that is not known. */
    public static int fieldIndex(String name) {
        int index = SIMULATOR_FIELDS.indexOf(name);
        return index >= 0 ? index : HEADER_FIELDS.indexOf(name);
    }

    /** The report with these figures, the latency among them in ms. */
    public static LoadReport toLoadReport(double[] values) {
        return new LoadReport(
                values[0], values[1], values[2], values[3] * MICROS_PER_MS, values[4], values[5]);
    }

    /**
     * Reads a report like {@code TEXT inflight=7, queue=2}. Fields that are not known, or whose
     * figure is not a number, are ignored.
     *
     * @param text the report, or null
     * @return null if there is no report, or none of its fields can be read
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
                    // Ignored: the other fields may be usable
                }
            }
        }
        return anyKnown ? toLoadReport(values) : null;
    }
}
