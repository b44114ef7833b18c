package loadbalancer.routing.endpoint;

import loadbalancer.routing.api.Endpoint;

/**
 * One dispatch of a request to an endpoint. {@link #recordStart} and {@link #recordEnd} update the
 * counts of the request, the endpoint and the class together; each is called once, in this order.
 * Confined to the thread of the routing policy.
 */
public final class Attempt {
    private final EndpointState endpoint;
    private final Endpoint descriptorAtSend;
    private final PendingRequest request;
    private long sentAtMicros;
    private final ClassEjection classEjection;
    private boolean inFlight = true;
    private boolean mayHaveRun = true;

    /** Creates an attempt that is about to be sent at {@code sentAtMicros}. */
    public Attempt(EndpointState endpoint, PendingRequest request, long sentAtMicros) {
        this.endpoint = endpoint;
        this.descriptorAtSend = endpoint.descriptor();
        this.request = request;
        this.sentAtMicros = sentAtMicros;
        this.classEjection = endpoint.classHealth(request.classIndex()).ejection();
    }

    /** Returns the endpoint that the attempt is sent to. */
    public EndpointState endpoint() {
        return endpoint;
    }

    /** Returns the endpoint's list entry as of the send, with its zone and cell at that time. */
    public Endpoint descriptorAtSend() {
        return descriptorAtSend;
    }

    /** Returns the request that the attempt belongs to. */
    public PendingRequest request() {
        return request;
    }

    /** Returns when the attempt was sent or, if later, when the request's body was complete. */
    public long sentAtMicros() {
        return sentAtMicros;
    }

    /** Returns the endpoint's ejection state for the request's class. */
    public ClassEjection classEjection() {
        return classEjection;
    }

    /** Returns whether the outcome is still unknown. */
    public boolean isInFlight() {
        return inFlight;
    }

    /**
     * Returns whether the endpoint may have executed the request; true until the outcome excludes
     * it.
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Counts the attempt as sent.
     *
     * @param accomplishmentIncrement current weight of one dispatch
     */
    public void recordStart(double accomplishmentIncrement) {
        classEjection.onAttemptStarted();
        request.onAttemptStarted(this);
        endpoint.onDispatched(this, accomplishmentIncrement);
    }

    /**
     * Counts the attempt as ended.
     *
     * @param mayHaveRunAfterOutcome whether the endpoint may have executed the request, given the
     *     outcome
     */
    public void recordEnd(boolean mayHaveRunAfterOutcome) {
        inFlight = false;
        mayHaveRun = mayHaveRunAfterOutcome;
        request.onAttemptEnded();
        endpoint.onAttemptEnded(this);
        classEjection.onAttemptEnded();
    }

    void resetSentAt(long now) {
        sentAtMicros = now;
    }
}
