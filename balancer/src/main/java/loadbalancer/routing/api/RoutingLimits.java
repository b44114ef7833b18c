package loadbalancer.routing.api;

/**
 * What the site allows a balancer to do.
 *
 * @param maxAttempts attempts of one request, the first among them
 * @param hedgingAllowed whether a request may have several attempts in flight
 * @param cancellationAllowed whether attempts may be cancelled
 * @param healthChecksAllowed whether endpoints may be asked how they are
 * @param connectTimeoutMicros after which a connect has failed, µs
 * @param maxRetryAfterMicros the longest Retry-After, µs; 0: clients get none
 * @param gossipAllowed whether balancers may send one another messages
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

    /** Limits where balancers may not send one another messages. */
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
