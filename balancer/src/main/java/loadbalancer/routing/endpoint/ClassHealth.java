package loadbalancer.routing.endpoint;

/**
 * Health of one endpoint for one request class. Holds a {@link ClassEjection} only once an attempt
 * or a report needs it: in a large fleet most pairs of endpoint and class never do.
 */
public final class ClassHealth {
    private final EndpointState endpoint;
    // Null until first needed
    private ClassEjection ejection;

    ClassHealth(EndpointState endpoint) {
        this.endpoint = endpoint;
    }

    /** The state of this class, created at its first use. */
    ClassEjection ejection() {
        ejection = ejection == null ? new ClassEjection() : ejection;
        return ejection;
    }

    /** Whether the class is ejected. */
    public boolean isEjected(long now) {
        return ejection != null && ejection.isEjected(now);
    }

    /** Whether an attempt of the class may be sent now. */
    public boolean allowsAttempt(long now) {
        return ejection == null || ejection.allowsAttempt(now);
    }

    /** End of the last ejection that this balancer decided itself; 0 if there was none. */
    public long locallyEjectedUntilMicros() {
        return ejection == null ? 0 : ejection.locallyEjectedUntilMicros();
    }

    /** Another balancer has ejected the class; see {@link ClassEjection#onRemoteEjection}. */
    public void onRemoteEjection(long remoteEjectedUntilMicros) {
        ejection().onRemoteEjection(remoteEjectedUntilMicros);
        endpoint.markActive();
    }
}
