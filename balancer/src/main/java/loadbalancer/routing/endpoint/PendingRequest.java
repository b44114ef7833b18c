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
 * <p>States: open until {@link #close}; while open either in the {@code PendingQueue} or with an
 * attempt in flight. It is finished once it is closed and its last attempt has ended.
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
    // Null where the class asks for no order
    private KeyQueue keyQueue;

    /**
     * @param classIndex number of {@code requestClass} in the settings
     * @param keyHash hash of the request's key, 0 without one
     * @param remainingMicros time until the client's deadline
     * @param latencyObjectiveAtMicros when the latency objective ends; not after the deadline
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

    /** The id that the routing policy's caller gave it. */
    public String id() {
        return id;
    }

    /** Number of its class in the settings. */
    public int classIndex() {
        return classIndex;
    }

    /** Its class. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** Hash of its key, 0 without one. */
    public long keyHash() {
        return keyHash;
    }

    /** When it came in; for a request with a body, when that was complete. */
    public long arrivedAtMicros() {
        return arrivedAtMicros;
    }

    /** When its client gives up. */
    public long deadlineMicros() {
        return deadlineMicros;
    }

    /** When its latency objective ends. */
    public long latencyObjectiveAtMicros() {
        return latencyObjectiveAtMicros;
    }

    /** Whether it is over its tenant's quota, or came in after its latency objective had ended. */
    public boolean isLowPriority() {
        return lowPriority;
    }

    /** Expected latency by its work hint, as a multiple of the usual one of its class. */
    public double expectedLatencyRatio() {
        return expectedLatencyRatio;
    }

    /** Sets {@link #expectedLatencyRatio()}; 1 until then. */
    public void expectLatencyRatio(double ratio) {
        expectedLatencyRatio = ratio;
    }

    // ---------------------------------------------------------------- body and response

    /** Whether the body is still being received. */
    public boolean isUploading() {
        return uploading;
    }

    /** The body is received for longer than the head; {@link #startClock} ends this state. */
    public void onUploadStarted() {
        uploading = true;
    }

    /** The body is complete: the time of the request and its attempts starts now. */
    public void startClock(long now, long remainingMicros) {
        latencyObjectiveAtMicros += now - arrivedAtMicros;
        arrivedAtMicros = now;
        deadlineMicros = now + remainingMicros;
        uploading = false;
        attempts.forEach(attempt -> attempt.restartClock(now));
    }

    /** Whether a response is being passed on to the client. */
    public boolean isStreaming() {
        return streaming;
    }

    /** The response is being passed on; the attempt is not cancelled from here on. */
    public void onStreamStarted() {
        streaming = true;
    }

    /** Whether it has got its final response, or its client is gone. */
    public boolean isClosed() {
        return closed;
    }

    /** It needs no further attempt. */
    public void close() {
        closed = true;
    }

    /** Whether it is closed and no attempt is in flight. */
    public boolean isFinished() {
        return closed && attemptsInFlight == 0;
    }

    // ---------------------------------------------------------------- queues

    /** Whether it is in the queue of requests that wait for an endpoint. */
    public boolean isQueued() {
        return queued;
    }

    /** It has been put into the queue. */
    public void onQueued() {
        queued = true;
    }

    /** It has been taken out of the queue. */
    public void onDequeued() {
        queued = false;
    }

    /** The queue of its key, or null where its class asks for no order. */
    public KeyQueue keyQueue() {
        return keyQueue;
    }

    /** Joins the queue of its key, at the end. */
    public void joinKeyQueue(KeyQueue queue) {
        keyQueue = queue;
        queue.add(this);
    }

    /** Leaves the queue of its key, if it is in one. */
    public void leaveKeyQueue() {
        if (keyQueue != null) {
            keyQueue.remove(this);
        }
    }

    // ---------------------------------------------------------------- attempts

    void onAttemptStarted(Attempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    void onAttemptEnded() {
        attemptsInFlight--;
    }

    /** The attempt of this number, from 0 on. */
    public Attempt attempt(int attemptNumber) {
        return attempts.get(attemptNumber);
    }

    /** The attempt that was sent last; there must be one. */
    public Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Attempts so far, in flight or ended. */
    public int attemptCount() {
        return attempts.size();
    }

    /** Whether any attempt was made. */
    public boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    /** Attempts without an outcome. */
    public int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** Whether an attempt was sent to the endpoint. */
    public boolean wasSentTo(EndpointState endpoint) {
        for (Attempt attempt : attempts) {
            if (attempt.endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** The earliest attempt that an endpoint may have executed, or null. */
    public Attempt firstAttemptThatMayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                return attempt;
            }
        }
        return null;
    }

    /**
     * Whether the client may send it again without a second execution: no attempt may have run, or
     * repetition is safe by its class.
     */
    public boolean isSafeToResubmit() {
        boolean isDeduplicatedEverywhere =
                requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
        return firstAttemptThatMayHaveRun() == null
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || isDeduplicatedEverywhere;
    }

    /** A number in [0, 1), always the same for this request and zone. */
    public double zoneSample(int zone) {
        return (Hashing.mix(Hashing.hash(id) + zone) >>> 11) * 0x1p-53;
    }
}
