package loadbalancer.routing.api;

import java.util.List;

/**
 * The routing policy of one balancer: its caller delivers events (the methods below), and the
 * policy asks for actions in return ({@link RoutingActions}).
 *
 * <p>All times are in microseconds; {@code now} is the caller's clock and never goes back. Ids are
 * opaque. A policy is not thread-safe: events are delivered one at a time, in the order in which
 * they happened, and each call returns before the next. Actions are carried out in the order in
 * which they are asked for, at the time {@code now}. A balancer that starts has a new policy, whose
 * first event is {@link #onEndpointList} with {@link EndpointListKind#CACHED}. Events about
 * requests, attempts or endpoints that the policy no longer knows are legal and ignored.
 */
public interface RoutingPolicy {
    /**
     * The endpoint list, or changes of it.
     *
     * @param endpoints empty for {@link EndpointListKind#FAILED}
     */
    void onEndpointList(
            long now, EndpointListKind kind, List<Endpoint> endpoints, RoutingActions actions);

    /**
     * A request has arrived. It must get exactly one final answer.
     *
     * @param classIndex of {@link RoutingSettings#requestClasses}
     * @param tenantIndex of {@link RoutingSettings#tenants}; 0 where there are none
     * @param key what the request concerns, or null
     * @param remainingMicros µs within which the final answer is due
     * @param workHint the client's estimate of the work, or -1
     * @param resubmission whether the client says that it has sent the request before
     */
    void onRequest(
            long now,
            String requestId,
            int classIndex,
            int tenantIndex,
            String key,
            long remainingMicros,
            long workHint,
            boolean resubmission,
            RoutingActions actions);

    /**
     * An attempt has ended; each attempt that was sent ends once.
     *
     * @param attemptNumber the request's attempts are numbered 0, 1, 2 ... in the order in which
     *     they were sent
     * @param latencyMicros µs from its send to its end
     * @param closed whether the request has had its final answer (the caller itself passes an OK to
     *     the client)
     * @param load the load report that came with the answer, or null
     */
    void onAttemptEnded(
            long now,
            String requestId,
            int attemptNumber,
            AttemptOutcome outcome,
            long latencyMicros,
            boolean closed,
            LoadReport load,
            RoutingActions actions);

    /**
     * Whether an attempt that had to wait for a connection may still be sent, asked right before
     * its first byte: meanwhile its request may have ended, its endpoint may have been removed or
     * restarted, or the window of its idempotency key may be over. If not it ends as {@link
     * AttemptOutcome#NOT_SENT}.
     */
    default boolean canStartAttempt(long now, String requestId, int attemptNumber) {
        return true;
    }

    /**
     * The body of the request that has just arrived is still being received: its time has not
     * begun.
     */
    default void onUploadStarted(long now, String requestId) {}

    /**
     * The body of such a request is complete.
     *
     * @param remainingMicros µs within which the final answer is due; the time of an attempt in
     *     flight begins now too
     */
    default void onUploadCompleted(
            long now, String requestId, long remainingMicros, RoutingActions actions) {}

    /**
     * The endpoint broke off an answer after the attempt's {@link AttemptOutcome#OK}, when the
     * client had received a part of it.
     */
    default void onResponseAborted(long now, String endpointId, RoutingActions actions) {}

    /** A streamed answer has begun: the attempt is neither cancelled nor timed out from now on. */
    void onStreamStarted(long now, String requestId, int attemptNumber, RoutingActions actions);

    /** The client of a request has disconnected: no answer is due. */
    void onClientDisconnected(long now, String requestId, RoutingActions actions);

    /**
     * A health check has ended.
     *
     * @param load the load report that came with its answer, or null
     */
    default void onHealthCheckResult(
            long now,
            String endpointId,
            AttemptOutcome outcome,
            long latencyMicros,
            LoadReport load,
            RoutingActions actions) {}

    /** A timer that was asked for with {@link RoutingActions#scheduleTimer} has expired. */
    void onTimer(long now, RoutingActions actions);

    /** The number of listed endpoints that are ejected for failures. */
    default int ejectedEndpointCount(long now) {
        return 0;
    }

    /** What the policy has learnt and would restore after a crash, or null if nothing. */
    default PolicySnapshot snapshot(long now) {
        return null;
    }

    /**
     * Restores a snapshot; called after the first endpoint list and before the first request.
     *
     * @param ageMicros µs since the snapshot was taken
     */
    default void restore(long now, PolicySnapshot snapshot, long ageMicros) {}

    /** Requests per second at the other balancers, as they reported lately; 0 if none did. */
    default double remoteRequestsPerSecond() {
        return 0;
    }

    /**
     * A message of another balancer. Messages may be late, lost or damaged.
     *
     * @param fromBalancer its number
     * @param payload the policy may retain it
     */
    default void onPeerMessage(
            long now, int fromBalancer, byte[] payload, RoutingActions actions) {}
}
