package loadbalancer.routing.api;

/** What the site allows. {@code maxRetryAfterMicros} is 0 where clients get no such advice. */
public record RoutingLimits(
        int maxAttempts,
        boolean hedgingAllowed,
        boolean cancellationAllowed,
        boolean healthChecksAllowed,
        long connectTimeoutMicros,
        long maxRetryAfterMicros,
        boolean gossipAllowed) {
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
