package loadbalancer.routing.api;

/**
 * Limits on what a balancer may do, as configured by the operators.
 *
 * @param maxAttempts maximum number of attempts of one request, including the first
 * @param hedgingAllowed whether a request may have several attempts in flight
 * @param cancellationAllowed whether attempts may be cancelled
 * @param healthChecksAllowed whether health checks may be sent to endpoints
 * @param connectTimeoutMicros the time after which a connect has failed, µs
 * @param maxRetryAfterMicros the longest Retry-After, µs; 0 if clients get none
 * @param gossipAllowed whether balancers may send messages to one another
 */
public record RoutingLimits(
        int maxAttempts,
        boolean hedgingAllowed,
        boolean cancellationAllowed,
        boolean healthChecksAllowed,
        long connectTimeoutMicros,
        long maxRetryAfterMicros,
        boolean gossipAllowed) {
    /**
     * Checks the values.
     *
     * @throws InvalidSettingException if no attempt is allowed
     */
    public RoutingLimits {
        SettingsValidation.require(maxAttempts > 0, "maxAttempts", maxAttempts);
    }

    /** Creates limits that do not allow messages between balancers. */
    public RoutingLimits(
            int maxAttempts,
            boolean hedgingAllowed,
            boolean cancellationAllowed,
            boolean healthChecksAllowed,
            long connectTimeoutMicros,
            long maxRetryAfterMicros) {
        this(
                maxAttempts,
                hedgingAllowed,
                cancellationAllowed,
                healthChecksAllowed,
                connectTimeoutMicros,
                maxRetryAfterMicros,
                false);
    }
}
