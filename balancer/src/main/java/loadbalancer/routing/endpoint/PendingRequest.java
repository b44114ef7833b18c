package loadbalancer.routing.endpoint;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.util.Hashing;

/** A request that is owed an answer, or has attempts out. */
public final class PendingRequest {
    public final String id;
    public final int classIndex;
    public final RequestClass requestClass;
    public final long keyHash;
    public long arrivedAtMicros;
    public long deadlineMicros;
    public long latencyObjectiveAtMicros;
    // Still coming in
    public boolean uploading;
    // Usual latencies that its hint promises
    public double expectedLatencyRatio = 1;
    // Over its tenant's share, or late already
    public final boolean lowPriority;
    public final List<Attempt> attempts = new ArrayList<>(2);
    public int attemptsInFlight;
    public boolean closed;
    public boolean queued;
    public boolean streaming;
    // Null where no order is asked for
    public KeyQueue keyQueue;

    public PendingRequest(
            String id,
            int classIndex,
            RequestClass requestClass,
            long keyHash,
            long arrivedAtMicros,
            long remainingMicros,
            long latencyObjectiveAtMicros,
            boolean overQuota) {
        this.id = id;
        this.classIndex = classIndex;
        this.requestClass = requestClass;
        this.keyHash = keyHash;
        this.arrivedAtMicros = arrivedAtMicros;
        this.deadlineMicros = arrivedAtMicros + remainingMicros;
        this.latencyObjectiveAtMicros = Math.min(latencyObjectiveAtMicros, deadlineMicros);
        this.lowPriority = overQuota || latencyObjectiveAtMicros <= arrivedAtMicros;
    }

    /** The earliest attempt that may have run, or null. */
    public Attempt firstAttemptThatMayHaveRun() {
        return attempts.stream().filter(attempt -> attempt.mayHaveRun).findFirst().orElse(null);
    }

    /**
     * Whether its client may send it again without harm: nothing has run, or it is of a kind that
     * may.
     */
    public boolean isSafeToResubmit() {
        return firstAttemptThatMayHaveRun() == null
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    /** From 0 to 1, the same for each look at this request and zone. */
    public double zoneSample(int zone) {
        return (Hashing.mix(Hashing.hash(id) + zone) >>> 11) * 0x1p-53;
    }

    public boolean wasSentTo(EndpointState endpoint) {
        return attempts.stream().anyMatch(attempt -> attempt.endpoint == endpoint);
    }

    /** Its time begins only now. */
    public void startClock(long now, long remainingMicros) {
        latencyObjectiveAtMicros += now - arrivedAtMicros;
        arrivedAtMicros = now;
        deadlineMicros = now + remainingMicros;
        uploading = false;
        attempts.forEach(attempt -> attempt.sentAtMicros = now);
    }
}
