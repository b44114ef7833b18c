package loadbalancer.routing.api;

/**
 * Executes the actions that a routing policy requests; implemented by the caller of the policy.
 * Actions are executed in the order in which they are requested, on the thread that delivers the
 * events of the policy.
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
     * Sends the final response that the request is rejected and may safely be sent again.
     *
     * @param retryAfterMicros the delay that the client is asked to wait, µs; 0: no delay is given
     */
    void reject(String requestId, long retryAfterMicros);

    /** Sends the final response that the request has failed; it may have run. */
    void fail(String requestId);

    /** Cancels an attempt, which then ends as {@link AttemptOutcome#CANCELLED}. */
    void cancel(String requestId, int attemptNumber);

    /** Sends a health check to an endpoint. */
    void checkHealth(String endpointId);

    /** Starts or ends the subscription to changes of the endpoint list. */
    void watchEndpoints(boolean enabled);

    /** Fetches the complete endpoint list once. */
    void fetchEndpointList();

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpointId);

    /**
     * Sends a message to another balancer.
     *
     * @param peer the number of the other balancer, or -1 for all
     * @param payload the message of at most 256 bytes
     */
    void sendToPeer(int peer, byte[] payload);

    /** Schedules one call of {@link RoutingPolicy#onTimer} after {@code delayMicros} µs. */
    void scheduleTimer(long delayMicros);

    /** Logs a message for operators. */
    void log(String message);
}
