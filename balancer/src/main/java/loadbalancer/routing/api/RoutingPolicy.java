package loadbalancer.routing.api;

import java.util.List;

/**
 * Decides on the routing of one balancer. Its caller delivers events by calling the methods below,
 * and the policy requests actions in return ({@link RoutingActions}).
 *
 * <p>All times are in microseconds; {@code now} is the caller's clock and never goes back. Ids are
 * opaque. A policy is not thread-safe: events are delivered one at a time, in the order in which
 * they happened, and each call returns before the next. Actions are executed in the order in which
 * they are requested, at the time {@code now}. A balancer that starts has a new policy, whose first
 * event is {@link #onEndpointList} with {@link EndpointListKind#CACHED}. Events about requests,
 * attempts or endpoints that the policy no longer knows are legal and ignored.
 */
public interface RoutingPolicy {
    /**
     * Handles the endpoint list, changes of it, or a failure of discovery.
     *
     * @param endpoints empty for {@link EndpointListKind#FAILED}
     */
    void onEndpointList(
            long now, EndpointListKind kind, List<Endpoint> endpoints, RoutingActions actions);

    /**
     * Handles the arrival of a request, which must get exactly one final response.
     *
     * @param classIndex the index in {@link RoutingSettings#requestClasses}
     * @param tenantIndex the index in {@link RoutingSettings#tenants}; 0 if there are none
     * @param key the key that the request is about, or null
     * @param remainingMicros µs within which the final response is due
     * @param workHint the client's estimate of the work in work units, or -1
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
     * Handles the end of an attempt. Each attempt that was sent ends exactly once.
     *
     * @param attemptNumber the number of the attempt: those of a request are numbered 0, 1, 2 ...
     *     in the order in which they were sent
     * @param latencyMicros µs from the start of the attempt to its end
     * @param closed whether the request already has its final response (the caller itself passes an
     *     OK response to the client)
     * @param load the load report that came with the response, or null
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
     * Returns whether an attempt that had to wait for a connection may still be sent. The caller
     * asks immediately before the first byte is sent: in the meantime the request may have ended,
     * the endpoint may have been removed or restarted, or the idempotency window may be over. If
     * the answer is false, the attempt ends as {@link AttemptOutcome#NOT_SENT}.
     */
    default boolean canStartAttempt(long now, String requestId, int attemptNumber) {
        return true;
    }

    /**
     * Returns whether an attempt whose response has begun, but is not complete, may take until the
     * deadline of its request instead of its own time-out. The caller asks once, when the head of
     * the response has arrived.
     */
    default boolean mayResponseTakeUntilDeadline(String requestId) {
        return false;
    }

    /**
     * Handles that the body of a request that has just arrived is still being received. The time of
     * the request starts when the body is complete.
     */
    default void onUploadStarted(long now, String requestId) {}

    /**
     * Handles the completion of a request body that {@link #onUploadStarted} has announced. The
     * time of the request and of its attempts in flight starts now.
     *
     * @param remainingMicros µs within which the final response is due
     */
    default void onUploadCompleted(
            long now, String requestId, long remainingMicros, RoutingActions actions) {}

    /**
     * Handles that an endpoint aborted a response after the attempt had ended as {@link
     * AttemptOutcome#OK} and the client had received a part of the response.
     */
    default void onResponseAborted(long now, String endpointId, RoutingActions actions) {}

    /**
     * Handles the start of a streamed response. The attempt is neither cancelled nor timed out from
     * now on.
     */
    void onStreamStarted(long now, String requestId, int attemptNumber, RoutingActions actions);

    /** Handles the disconnection of a client. Its request needs no response any more. */
    void onClientDisconnected(long now, String requestId, RoutingActions actions);

    /**
     * Handles the end of a health check.
     *
     * @param latencyMicros µs from its start to its end
     * @param load the load report that came with its response, or null
     */
    default void onHealthCheckResult(
            long now,
            String endpointId,
            AttemptOutcome outcome,
            long latencyMicros,
            LoadReport load,
            RoutingActions actions) {}

    /** Handles the expiry of a timer that {@link RoutingActions#scheduleTimer} has requested. */
    void onTimer(long now, RoutingActions actions);

    /** Returns the number of listed endpoints that are ejected because of failures. */
    default int ejectedEndpointCount(long now) {
        return 0;
    }

    /**
     * Returns the statistics that {@link #restore} needs after a crash, or null if there are none.
     */
    default PolicySnapshot snapshot(long now) {
        return null;
    }

    /**
     * Restores a snapshot. The caller does this after the first endpoint list and before the first
     * request.
     *
     * @param ageMicros µs since the snapshot was taken
     */
    default void restore(long now, PolicySnapshot snapshot, long ageMicros) {}

    /**
     * Returns the requests per second at the other balancers, by their recent reports; 0 without
     * reports.
     */
    default double remoteRequestsPerSecond() {
        return 0;
    }

    /**
     * Handles a message of another balancer. Messages may be late, lost or damaged.
     *
     * @param fromBalancer the number of the other balancer
     * @param payload the message; the policy may keep the array
     */
    default void onPeerMessage(
            long now, int fromBalancer, byte[] payload, RoutingActions actions) {}
}
