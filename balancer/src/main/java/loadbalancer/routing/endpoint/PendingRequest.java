package loadbalancer.routing.endpoint;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.util.Hashing;

/**
 * A request without a final response, or with attempts in flight. Confined to the thread of the
 * routing policy.
 *
 * <p>A request is open until {@link #close}. While open, it is either in the {@code PendingQueue}
 * or has an attempt in flight. It is finished when it is closed and its last attempt has ended.
 */
public final class PendingRequest {
    private final String id;
    private final int classIndex;
    private final RequestClass requestClass;
    private final long keyHash;
    private long arrivedAtMicros;
    private long deadlineMicros;
    private long latencyObjectiveAtMicros;
    private double expectedLatencyRatio = 1;
    private final boolean lowPriority;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private int attemptsInFlight;
    private boolean uploading;
    private boolean closed;
    private boolean queued;
    private boolean streaming;
    // Null if the class requires no order.
    private KeyQueue keyQueue;

    /**
     * Creates an open request.
     *
     * @param classIndex index of {@code requestClass} in the settings
     * @param keyHash hash of the request's key, or 0 if it has none
     * @param remainingMicros time until the client's deadline, in µs
     * @param latencyObjectiveAtMicros when the latency objective ends; limited to the deadline
     * @param overQuota whether the tenant has used up its quota
     */
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

    /** Returns the id that the routing policy's caller assigned. */
    public String id() {
        return id;
    }

    /** Returns the index of the request's class in the settings. */
    public int classIndex() {
        return classIndex;
    }

    /** Returns the request's class. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** Returns the hash of the request's key, or 0 if it has none. */
    public long keyHash() {
        return keyHash;
    }

    /** Returns when the request arrived or, if it has a body, when the body was complete. */
    public long arrivedAtMicros() {
        return arrivedAtMicros;
    }

    /** Returns when the client gives up. */
    public long deadlineMicros() {
        return deadlineMicros;
    }

    /** Returns when the latency objective ends. */
    public long latencyObjectiveAtMicros() {
        return latencyObjectiveAtMicros;
    }

    /**
     * Returns whether the request is over its tenant's quota or arrived after its latency objective
     * had ended.
     */
    public boolean isLowPriority() {
        return lowPriority;
    }

    /**
     * Returns the latency expected from the work hint, as a multiple of the usual latency of the
     * class.
     */
    public double expectedLatencyRatio() {
        return expectedLatencyRatio;
    }

    /** Sets {@link #expectedLatencyRatio()}, which is 1 initially. */
    public void setExpectedLatencyRatio(double ratio) {
        expectedLatencyRatio = ratio;
    }

    /** Returns whether the body is still being received. */
    public boolean isUploading() {
        return uploading;
    }

    /**
     * Records that the body is still incomplete after the head was received; {@link
     * #onUploadCompleted} ends this state.
     */
    public void onUploadStarted() {
        uploading = true;
    }

    /**
     * Records that the body is complete, and restarts the times of the request and its attempts.
     *
     * @param remainingMicros time until the client's deadline, in µs
     */
    public void onUploadCompleted(long now, long remainingMicros) {
        latencyObjectiveAtMicros += now - arrivedAtMicros;
        arrivedAtMicros = now;
        deadlineMicros = now + remainingMicros;
        uploading = false;
        attempts.forEach(attempt -> attempt.resetSentAt(now));
    }

    /** Returns whether a response is being forwarded to the client. */
    public boolean isStreaming() {
        return streaming;
    }

    /** Records that the response is being forwarded; the attempt is no longer cancelled. */
    public void onStreamStarted() {
        streaming = true;
    }

    /** Returns whether the request got its final response or its client is gone. */
    public boolean isClosed() {
        return closed;
    }

    /** Closes the request, which needs no further attempts. */
    public void close() {
        closed = true;
    }

    /** Returns whether the request is closed and has no attempt in flight. */
    public boolean isFinished() {
        return closed && attemptsInFlight == 0;
    }

    /** Returns whether the request is queued, waiting for an endpoint. */
    public boolean isQueued() {
        return queued;
    }

    /** Records that the request was put into the queue. */
    public void onQueued() {
        queued = true;
    }

    /** Records that the request was taken out of the queue. */
    public void onDequeued() {
        queued = false;
    }

    /** Returns the queue of the request's key, or null if its class requires no order. */
    public KeyQueue keyQueue() {
        return keyQueue;
    }

    /** Adds the request at the end of the queue of its key. */
    public void joinKeyQueue(KeyQueue queue) {
        keyQueue = queue;
        queue.add(this);
    }

    /** Removes the request from the queue of its key, if it is in one. */
    public void leaveKeyQueue() {
        if (keyQueue != null) {
            keyQueue.remove(this);
        }
    }

    void onAttemptStarted(Attempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    void onAttemptEnded() {
        attemptsInFlight--;
    }

    /** Returns the attempt with the given number, starting at 0. */
    public Attempt attempt(int attemptNumber) {
        return attempts.get(attemptNumber);
    }

    /** Returns the attempt that was sent last; there must be at least one. */
    public Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Returns the number of attempts so far, in flight or ended. */
    public int attemptCount() {
        return attempts.size();
    }

    /** Returns whether any attempt was made. */
    public boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    /** Returns the number of attempts without an outcome. */
    public int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** Returns whether an attempt was sent to the endpoint. */
    public boolean wasSentTo(EndpointState endpoint) {
        for (Attempt attempt : attempts) {
            if (attempt.endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the earliest attempt that an endpoint may have executed, or null if there is none.
     */
    public Attempt firstAttemptThatMayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                return attempt;
            }
        }
        return null;
    }

    /**
     * Returns whether the client can safely send the request again: no attempt can have been
     * executed, or repeating it is safe according to its class.
     */
    public boolean isSafeToResubmit() {
        boolean isDeduplicatedEverywhere =
                requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
        return firstAttemptThatMayHaveRun() == null
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || isDeduplicatedEverywhere;
    }

    /** Returns a pseudorandom number in [0, 1) that is fixed for this request and zone. */
    public double zoneSample(int zone) {
        return (Hashing.mix(Hashing.hash(id) + zone) >>> 11) * 0x1p-53;
    }
}
