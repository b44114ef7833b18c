package loadbalancer.admin;

import java.util.List;

/**
 * The metrics at one moment. Immutable, so it can be published to other threads.
 *
 * @param ready whether the balancer is ready to serve
 * @param countersByClass counters of requests, one entry for each request class
 * @param attemptsSent attempts whose request was completely written to an upstream
 * @param inFlightRequests accepted requests that have no final response yet
 * @param endpointCount endpoints in the list
 * @param unhealthyCount endpoints in the list that currently receive no requests
 */
public record MetricsSnapshot(
        boolean ready,
        List<ClassCounters> countersByClass,
        long attemptsSent,
        int inFlightRequests,
        int endpointCount,
        int unhealthyCount) {
    // The operators' documentation fixes the names of all metrics.
    private static final String METRIC_PREFIX = "app.";

    /** Counts of the requests of one class by their result, since the start of the process. */
    record ClassCounters(String className, long served, long rejected, long failed) {}

    /** The metrics before the balancer has published any: not ready, and no counters. */
    public static final MetricsSnapshot EMPTY = new MetricsSnapshot(false, List.of(), 0, 0, 0, 0);

    /** Creates a snapshot with a copy of the list. */
    public MetricsSnapshot {
        countersByClass = List.copyOf(countersByClass);
    }

    /**
     * Returns the metrics as StatsD text, one per line. Counters count from the start of the
     * process.
     */
    String toStatsdText() {
        StringBuilder text = new StringBuilder();
        for (ClassCounters counters : countersByClass) {
            String classPrefix = "transactions." + counters.className() + ".";
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
