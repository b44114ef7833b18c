package loadbalancer.routing.endpoint;

/** A server's health for one class: none is kept where nothing has been seen yet, as for most. */
public final class ClassHealth {
    private final EndpointState endpoint;
    private ClassEjection ejection;

    ClassHealth(EndpointState endpoint) {
        this.endpoint = endpoint;
    }

    ClassEjection ejection() {
        ejection = ejection == null ? new ClassEjection() : ejection;
        return ejection;
    }

    public boolean isEjected(long now) {
        return ejection != null && ejection.isEjected(now);
    }

    public boolean allowsAttempt(long now) {
        return ejection == null || ejection.allowsAttempt(now);
    }

    public long locallyEjectedUntilMicros() {
        return ejection == null ? 0 : ejection.locallyEjectedUntilMicros();
    }

    public void onRemoteEjection(long remoteEjectedUntilMicros) {
        ejection().onRemoteEjection(remoteEjectedUntilMicros);
        endpoint.markActive();
    }
}
