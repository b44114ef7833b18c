package loadbalancer.routing.api;

/** The status of an endpoint in the list. */
public enum EndpointStatus {
    /** Takes requests. */
    UP,
    /** Finishes the requests that it has, and takes no others. */
    DRAINING,
    /** Is no longer there. */
    REMOVED
}
