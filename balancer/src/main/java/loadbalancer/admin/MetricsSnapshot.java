package loadbalancer.admin;

import java.util.List;

/**
 * The figures of one moment, as operators read them. {@code inFlightRequests} counts requests taken
 * and not ended, {@code endpointCount} the upstreams in the list and {@code unhealthyCount} those
 * of them that get nothing now.
 */
public record MetricsSnapshot(
        boolean ready,
        List<ClassCounters> countersByClass,
        long attemptsSent,
        int inFlightRequests,
        int endpointCount,
        int unhealthyCount) {
    private static final String METRIC_PREFIX = "app.";

    /** How the requests of one class have ended since the start. */
    record ClassCounters(String requestClass, long served, long rejected, long failed) {}

    /** What is known before anything has happened. */
    public static final MetricsSnapshot EMPTY = new MetricsSnapshot(false, List.of(), 0, 0, 0, 0);

    public MetricsSnapshot {
        countersByClass = List.copyOf(countersByClass);
    }

    /** As StatsD's text, a figure to a line; counters count from the start of the process. */
    String toStatsdText() {
        StringBuilder text = new StringBuilder();
        for (ClassCounters counters : countersByClass) {
            String classPrefix = "transactions." + counters.requestClass() + ".";
            appendCounter(text, classPrefix + "answered", counters.served());
            appendCounter(text, classPrefix + "deferred", counters.rejected());
            appendCounter(text, classPrefix + "errored", counters.failed());
        }
        appendCounter(text, "sends", attemptsSent);
        appendGauge(text, "current", inFlightRequests);
        appendGauge(text, "cluster_size", endpointCount);
        appendGauge(text, "cluster_unhealthy", unhealthyCount);
        return text.toString();
    }

    private static void appendCounter(StringBuilder text, String name, long value) {
        text.append(METRIC_PREFIX).append(name).append(':').append(value).append("|c\n");
    }

    private static void appendGauge(StringBuilder text, String name, long value) {
        text.append(METRIC_PREFIX).append(name).append(':').append(value).append("|g\n");
    }
}
