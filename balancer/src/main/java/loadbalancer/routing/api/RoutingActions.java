package loadbalancer.routing.api;

/** What the module may ask for: a sink that the caller implements. */
public interface RoutingActions {
    /** Send an attempt; {@code timeoutMicros} 0 means until the request's deadline. */
    void send(String requestId, String endpointId, long timeoutMicros);

    /**
     * Final answer: refused, trying again is harmless; {@code retryAfterMicros} 0 gives no advice.
     */
    void reject(String requestId, long retryAfterMicros);

    /** Final answer: failed, nothing promised. */
    void fail(String requestId);

    /** Stop waiting for an attempt. */
    void cancel(String requestId, int attemptNumber);

    /** Ask a server how it is. */
    void checkHealth(String endpointId);

    /** Subscribe to changes of the list from here on, or end the subscription. */
    void watchEndpoints(boolean enabled);

    /** Ask for the complete list once. */
    void fetchEndpointList();

    /** Close the idle connections to a server. */
    void closeIdleConnections(String endpointId);

    /**
     * Send at most 256 bytes to the balancer of that number, or to all where {@code peer} is -1.
     */
    void sendToPeer(int peer, byte[] payload);

    /** Call {@link RoutingPolicy#onTimer} once after {@code delayMicros}. */
    void scheduleTimer(long delayMicros);

    /** A line for the operators. */
    void log(String message);
}
