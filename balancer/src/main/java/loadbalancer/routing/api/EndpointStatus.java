package loadbalancer.routing.api;

/** The status of an endpoint in the list. */
public enum EndpointStatus {
    /** The endpoint takes requests. */
    UP,
    /** The endpoint finishes its open requests and takes no new ones. */
    DRAINING,
    /** The endpoint no longer exists. */
    REMOVED
}
