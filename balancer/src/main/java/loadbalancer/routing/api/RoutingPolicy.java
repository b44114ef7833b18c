package loadbalancer.routing.api;

import java.util.List;

/**
 * The whole interface of the decision module: what one balancer tells it (the methods below) and
 * what it may ask for in return ({@link RoutingActions}).
 *
 * <p>All times are microseconds in a {@code long}; {@code now} is the caller's clock and never goes
 * back. Ids are opaque. One object serves one balancer and is not thread-safe: events are handed
 * over one at a time, in the order in which they happened, and each returns before the next.
 * Actions are carried out in the order in which they are asked for, at the time {@code now}. A new
 * or restarted balancer is a new object, and its first event is {@link #onEndpointList} with {@link
 * EndpointListKind#CACHED}. Events about requests, attempts or servers that the module no longer
 * holds are legal and passed over.
 */
public interface RoutingPolicy {
    /**
     * News of the list of servers; {@code endpoints} is empty for {@link EndpointListKind#FAILED}.
     */
    void onEndpointList(
            long now, EndpointListKind kind, List<Endpoint> endpoints, RoutingActions actions);

    /**
     * A request has come in and is owed one final answer before {@code remainingMicros} is over.
     *
     * @param tenantIndex 0 where there are none
     * @param key what the request concerns, or null
     * @param workHint the client's guess of the work, or -1
     * @param resubmission the client says that it has tried before
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
     * @param attemptNumber the request's attempts are numbered 0, 1, 2 ... in the order of their
     *     sends
     * @param closed the request has had its final answer (an OK is passed to the client by the
     *     caller)
     * @param load null where no report came with it
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
     * its first byte: meanwhile its request may have ended, its server have left or come anew, its
     * key's window have passed. Where not it ends as {@link AttemptOutcome#NOT_SENT}.
     */
    default boolean canStartAttempt(long now, String requestId, int attemptNumber) {
        return true;
    }

    /** The request that has just been handed over is still coming in: its time has not begun. */
    default void onUploadStarted(long now, String requestId) {}

    /**
     * All of such a request has come: {@code remainingMicros}, and that of its attempt, count from
     * here on.
     */
    default void onUploadCompleted(
            long now, String requestId, long remainingMicros, RoutingActions actions) {}

    /**
     * The server broke off an answer after its {@link AttemptOutcome#OK}, when its client had got a
     * part of it.
     */
    default void onResponseAborted(long now, String endpointId, RoutingActions actions) {}

    /**
     * A streamed answer has begun: the attempt belongs to the client, its time-outs no longer hold.
     */
    void onStreamStarted(long now, String requestId, int attemptNumber, RoutingActions actions);

    /** The client has left: nothing more is owed. */
    void onClientDisconnected(long now, String requestId, RoutingActions actions);

    /** A probe has come back. */
    default void onHealthCheckResult(
            long now,
            String endpointId,
            AttemptOutcome outcome,
            long latencyMicros,
            LoadReport load,
            RoutingActions actions) {}

    /** The time asked for with {@link RoutingPolicy#onTimer} has come. */
    void onTimer(long now, RoutingActions actions);

    /**
     * How many of the listed servers get nothing now as they have failed; short rests don't count.
     */
    default int ejectedEndpointCount(long now) {
        return 0;
    }

    /** What is worth keeping over a crash, as of now; null: nothing. */
    default PolicySnapshot snapshot(long now) {
        return null;
    }

    /** What was kept {@code ageMicros} µs ago; after the first list, before the first request. */
    default void restore(long now, PolicySnapshot snapshot, long ageMicros) {}

    /** Requests a second that other balancers get, as they told of late; 0 where none is heard. */
    default double remoteRequestsPerSecond() {
        return 0;
    }

    /**
     * A message from the balancer of that number, late or not at all; the module keeps {@code
     * data}.
     */
    default void onPeerMessage(
            long now, int fromBalancer, byte[] payload, RoutingActions actions) {}
}
