package loadbalancer.admin;

import java.util.List;

/**
 * The metrics of one moment. Immutable, so it may be published to other threads.
 *
 * @param ready whether the balancer can serve
 * @param countersByClass counters of requests, one entry for each request class
 * @param attemptsSent attempts whose request was written to an upstream completely
 * @param inFlightRequests requests that were accepted and have no final response yet
 * @param endpointCount endpoints in the list
 * @param unhealthyCount endpoints of them that receive no requests now
 */
public record MetricsSnapshot(
        boolean ready,
        List<ClassCounters> countersByClass,
        long attemptsSent,
        int inFlightRequests,
        int endpointCount,
        int unhealthyCount) {
    // The names of all metrics are fixed by the operators' page
    private static final String METRIC_PREFIX = "app.";

    /** How the requests of one class have ended since the process started. */
    record ClassCounters(String className, long served, long rejected, long failed) {}

    /** Before the balancer has published any metrics: not ready, and no counters. */
    public static final MetricsSnapshot EMPTY = new MetricsSnapshot(false, List.of(), 0, 0, 0, 0);

    /** Copies the list. */
    public MetricsSnapshot {
        countersByClass = List.copyOf(countersByClass);
    }

    /** The metrics as StatsD text, one to a line; counters count from the start of the process. */
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
