package loadbalancer.routing.api;

/** The outcome of an attempt. */
public enum AttemptOutcome {
    /** The endpoint sent a successful response. */
    OK(false),
    /** The endpoint sent an error response of its own. */
    ERROR(false),
    /** The endpoint rejected the request because it is full or shutting down. */
    REJECTED(true),
    /** No response arrived within the time-out of the attempt. */
    TIMEOUT(false),
    /** No connection to the endpoint could be established. */
    CONNECT_FAILED(true),
    /** The connection was closed before the response was complete. */
    RESET(false),
    /** The policy cancelled the attempt, or the client disconnected. */
    CANCELLED(false),
    /** The attempt ended before its first byte was sent. */
    NOT_SENT(true);

    private final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Returns whether the outcome proves that the endpoint did not run the request. */
    public boolean neverRan() {
        return neverRan;
    }
}
