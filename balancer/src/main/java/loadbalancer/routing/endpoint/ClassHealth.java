package loadbalancer.routing.endpoint;

/**
 * Health of one endpoint for one request class. The {@link ClassEjection} is created only when an
 * attempt or a report needs it, since in a large fleet most pairs of endpoint and class never need
 * one. Confined to the thread of the routing policy.
 */
public final class ClassHealth {
    private final EndpointState endpoint;
    // Null until first used.
    private ClassEjection ejection;

    ClassHealth(EndpointState endpoint) {
        this.endpoint = endpoint;
    }

    /** Returns the ejection state of this class, and creates it at its first use. */
    ClassEjection ejection() {
        ejection = ejection == null ? new ClassEjection() : ejection;
        return ejection;
    }

    /** Returns whether the class is ejected. */
    public boolean isEjected(long now) {
        return ejection != null && ejection.isEjected(now);
    }

    /** Returns whether an attempt of the class may be sent now. */
    public boolean allowsAttempt(long now) {
        return ejection == null || ejection.allowsAttempt(now);
    }

    /** Returns when the last ejection decided by this balancer ends or ended, or 0 if none. */
    public long locallyEjectedUntilMicros() {
        return ejection == null ? 0 : ejection.locallyEjectedUntilMicros();
    }

    /** Handles an ejection by another balancer; see {@link ClassEjection#onRemoteEjection}. */
    public void onRemoteEjection(long remoteEjectedUntilMicros) {
        ejection().onRemoteEjection(remoteEjectedUntilMicros);
        endpoint.markActive();
    }
}
