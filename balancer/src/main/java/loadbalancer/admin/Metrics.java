package loadbalancer.admin;

import java.util.ArrayList;
import java.util.List;

/** The counters of one balancer since its start. It belongs to the event loop's thread. */
public final class Metrics {
    private final List<String> classes;
    private final long[] served;
    private final long[] rejected;
    private final long[] failed;
    private long attemptsSent;

    public Metrics(List<String> classes) {
        this.classes = List.copyOf(classes);
        this.served = new long[classes.size()];
        this.rejected = new long[classes.size()];
        this.failed = new long[classes.size()];
    }

    /** A request of that class was served. */
    public void recordServed(int requestClass) {
        served[requestClass]++;
    }

    /** A request of that class was refused. */
    public void recordRejected(int requestClass) {
        rejected[requestClass]++;
    }

    /** A request of that class failed. */
    public void recordFailed(int requestClass) {
        failed[requestClass]++;
    }

    /** An attempt was written whole to an upstream. */
    public void recordAttemptSent() {
        attemptsSent++;
    }

    /** The counters as they are, with the gauges that others hold. */
    public MetricsSnapshot snapshot(
            boolean ready, int inFlightRequests, int endpointCount, int unhealthyCount) {
        List<MetricsSnapshot.ClassCounters> countersByClass = new ArrayList<>(served.length);
        for (int i = 0; i < served.length; i++) {
            countersByClass.add(
                    new MetricsSnapshot.ClassCounters(
                            classes.get(i), served[i], rejected[i], failed[i]));
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
