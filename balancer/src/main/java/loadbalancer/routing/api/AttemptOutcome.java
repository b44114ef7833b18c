package loadbalancer.routing.api;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The endpoint answered the request. */
    OK(false),
    /** The endpoint answered with an error of its own. */
    ERROR(false),
    /** The endpoint rejected the request as it is full or shutting down. */
    REJECTED(true),
    /** No answer came within the attempt's time-out. */
    TIMEOUT(false),
    /** No connection to the endpoint could be made. */
    CONNECT_FAILED(true),
    /** The connection broke before the answer was complete. */
    RESET(false),
    /** The policy cancelled the attempt, or its client left. */
    CANCELLED(false),
    /** The attempt ended before its first byte was sent. */
    NOT_SENT(true);

    private final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Whether the outcome proves that the endpoint did not run the request. */
    public boolean neverRan() {
        return neverRan;
    }
}
