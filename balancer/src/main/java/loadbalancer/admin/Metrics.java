package loadbalancer.admin;

import java.util.ArrayList;
import java.util.List;

/**
 * The counters of one balancer since its start, by request class where they count requests. It
 * belongs to the event loop's thread; other threads read a {@link #snapshot}.
 */
public final class Metrics {
    private final List<String> classNames;
    // By the number of the request class
    private final long[] served;
    private final long[] rejected;
    private final long[] failed;
    private long attemptsSent;

    /** Counters at 0 for the request classes of these names. */
    public Metrics(List<String> classNames) {
        this.classNames = List.copyOf(classNames);
        this.served = new long[classNames.size()];
        this.rejected = new long[classNames.size()];
        this.failed = new long[classNames.size()];
    }

    /** Counts a request of that class whose final response was an upstream's. */
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

    /** Counts an attempt whose request was written to an upstream completely. */
    public void recordAttemptSent() {
        attemptsSent++;
    }

    /**
     * The present values of the counters, with gauges that other parts own.
     *
     * @param ready whether the balancer can serve
     * @param inFlightRequests requests that were accepted and have no final response yet
     * @param endpointCount endpoints in the list
     * @param unhealthyCount endpoints of them that receive no requests now
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
