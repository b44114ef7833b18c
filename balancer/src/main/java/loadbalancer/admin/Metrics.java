package loadbalancer.admin;

import java.util.ArrayList;
import java.util.List;

/**
 * The counters of one balancer since its start; counters of requests are kept by request class.
 * Confined to the event loop; other threads read a {@link #snapshot}.
 */
public final class Metrics {
    private final List<String> classNames;
    // Indexed by the number of the request class, as are the next two arrays.
    private final long[] served;
    private final long[] rejected;
    private final long[] failed;
    private long attemptsSent;

    /** Creates counters at 0 for the request classes with these names. */
    public Metrics(List<String> classNames) {
        this.classNames = List.copyOf(classNames);
        this.served = new long[classNames.size()];
        this.rejected = new long[classNames.size()];
        this.failed = new long[classNames.size()];
    }

    /** Counts a request of that class whose final response came from an upstream. */
    public void recordServed(int classIndex) {
        served[classIndex]++;
    }

    /** Counts a request of that class that was rejected. */
    public void recordRejected(int classIndex) {
        rejected[classIndex]++;
    }

    /** Counts a request of that class that failed. */
    public void recordFailed(int classIndex) {
        failed[classIndex]++;
    }

    /** Counts an attempt whose request was completely written to an upstream. */
    public void recordAttemptSent() {
        attemptsSent++;
    }

    /**
     * Returns the current values of the counters, together with gauges that other parts own.
     *
     * @param ready whether the balancer is ready to serve
     * @param inFlightRequests accepted requests that have no final response yet
     * @param endpointCount endpoints in the list
     * @param unhealthyCount endpoints in the list that currently receive no requests
     */
    public MetricsSnapshot snapshot(
            boolean ready, int inFlightRequests, int endpointCount, int unhealthyCount) {
        List<MetricsSnapshot.ClassCounters> countersByClass = new ArrayList<>(served.length);
        for (int i = 0; i < served.length; i++) {
            countersByClass.add(
                    new MetricsSnapshot.ClassCounters(
                            classNames.get(i), served[i], rejected[i], failed[i]));
        }
        return new MetricsSnapshot(
                ready,
                countersByClass,
                attemptsSent,
                inFlightRequests,
                endpointCount,
                unhealthyCount);
    }
}
