package loadbalancer.routing.api;

/**
 * The actions that a routing policy asks for, implemented by its caller. They are carried out in
 * the order in which they are asked for, on the thread that delivers the policy's events.
 */
public interface RoutingActions {
    /**
     * Sends the next attempt of a request.
     *
     * @param timeoutMicros µs after which the attempt ends as {@link AttemptOutcome#TIMEOUT}; 0: at
     *     the request's deadline
     */
    void send(String requestId, String endpointId, long timeoutMicros);

    /**
     * Gives the final answer that the request is rejected and may be sent again without harm.
     *
     * @param retryAfterMicros the delay that the client is asked for, µs; 0: none is given
     */
    void reject(String requestId, long retryAfterMicros);

    /** Gives the final answer that the request has failed; it may have run. */
    void fail(String requestId);

    /** Stops waiting for an attempt; it ends as {@link AttemptOutcome#CANCELLED}. */
    void cancel(String requestId, int attemptNumber);

    /** Sends a health check to an endpoint. */
    void checkHealth(String endpointId);

    /** Subscribes to changes of the endpoint list from now on, or ends the subscription. */
    void watchEndpoints(boolean enabled);

    /** Asks for the complete endpoint list once. */
    void fetchEndpointList();

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpointId);

    /**
     * Sends a message to another balancer.
     *
     * @param peer its number, or -1 for all of them
     * @param payload at most 256 bytes
     */
    void sendToPeer(int peer, byte[] payload);

    /** Schedules one call of {@link RoutingPolicy#onTimer} after {@code delayMicros} µs. */
    void scheduleTimer(long delayMicros);

    /** Logs an event for the operators. */
    void log(String message);
}
