package loadbalancer.routing.endpoint;

import loadbalancer.routing.api.Endpoint;

/** One send of a request to a server. */
public final class Attempt {
    public final EndpointState endpoint;
    // As listed at the send: its zone and cell
    public final Endpoint descriptorAtSend;
    public final PendingRequest request;
    public long sentAtMicros;
    // Of its server, for its class
    public final ClassEjection classEjection;
    public boolean inFlight = true;
    // Until its outcome proves otherwise
    public boolean mayHaveRun = true;

    public Attempt(EndpointState endpoint, PendingRequest request, long sentAtMicros) {
        this.endpoint = endpoint;
        this.descriptorAtSend = endpoint.descriptor;
        this.request = request;
        this.sentAtMicros = sentAtMicros;
        this.classEjection = endpoint.classHealth[request.classIndex].ejection();
        classEjection.onAttemptStarted();
    }

    /** Writes down that it is sent; {@code accomplishmentIncrement}: what one more counts for. */
    public void recordStart(double accomplishmentIncrement) {
        request.attempts.add(this);
        request.attemptsInFlight++;
        endpoint.recordSend(this);
        endpoint.inFlight++;
        endpoint.accomplishment += accomplishmentIncrement;
        endpoint.slowStartTokens--;
    }

    /** Writes down that it has ended. */
    public void recordEnd(boolean mayHaveRunAfterOutcome) {
        inFlight = false;
        mayHaveRun = mayHaveRunAfterOutcome;
        request.attemptsInFlight--;
        endpoint.inFlight--;
        // Lets go of those that have ended
        endpoint.oldestInFlight();
        classEjection.onAttemptEnded();
    }
}
