package loadbalancer.routing.endpoint;

import loadbalancer.routing.api.Endpoint;

/**
 * One dispatch of a request to an endpoint. {@link #recordStart} and {@link #recordEnd} keep the
 * counts of request, endpoint and class in step; each is called once, in this order. Confined to
 * the thread of the routing policy.
 */
public final class Attempt {
    private final EndpointState endpoint;
    private final Endpoint descriptorAtSend;
    private final PendingRequest request;
    private long sentAtMicros;
    private final ClassEjection classEjection;
    private boolean inFlight = true;
    private boolean mayHaveRun = true;

    /** An attempt that is about to be sent at {@code sentAtMicros}. */
    public Attempt(EndpointState endpoint, PendingRequest request, long sentAtMicros) {
        this.endpoint = endpoint;
        this.descriptorAtSend = endpoint.descriptor();
        this.request = request;
        this.sentAtMicros = sentAtMicros;
        this.classEjection = endpoint.classHealth(request.classIndex()).ejection();
    }

    /** The endpoint that the attempt is sent to. */
    public EndpointState endpoint() {
        return endpoint;
    }

    /** The endpoint's entry in the list at the time of the send; gives its zone and cell then. */
    public Endpoint descriptorAtSend() {
        return descriptorAtSend;
    }

    /** The request that the attempt is made for. */
    public PendingRequest request() {
        return request;
    }

    /** When it was sent; for a request with a body, when that was complete. */
    public long sentAtMicros() {
        return sentAtMicros;
    }

    /** The endpoint's ejection state for the request's class. */
    public ClassEjection classEjection() {
        return classEjection;
    }

    /** Whether the outcome is still unknown. */
    public boolean isInFlight() {
        return inFlight;
    }

    /** Whether the endpoint may have executed the request; true until the outcome excludes it. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Counts the attempt as sent.
     *
     * @param accomplishmentIncrement weight of one dispatch now
     */
    public void recordStart(double accomplishmentIncrement) {
        classEjection.onAttemptStarted();
        request.onAttemptStarted(this);
        endpoint.onDispatched(this, accomplishmentIncrement);
    }

    /** Counts the attempt as ended. */
    public void recordEnd(boolean mayHaveRunAfterOutcome) {
        inFlight = false;
        mayHaveRun = mayHaveRunAfterOutcome;
        request.onAttemptEnded();
        endpoint.onAttemptEnded();
        classEjection.onAttemptEnded();
    }

    void restartClock(long now) {
        sentAtMicros = now;
    }
}
