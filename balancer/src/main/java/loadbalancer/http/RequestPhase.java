package loadbalancer.http;

/** The state of the request of a {@link ClientConnection} that gets the next response. */
enum RequestPhase {
    /** No request has been received completely. */
    NONE,
    /** The first queued request is processed at the end of this event loop iteration. */
    SCHEDULED,
    /** The request is being processed, or its response is being written. */
    PROCESSING
}
