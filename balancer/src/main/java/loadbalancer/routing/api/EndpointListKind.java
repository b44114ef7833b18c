package loadbalancer.routing.api;

/** What an update of the endpoint list contains. */
public enum EndpointListKind {
    /** The complete list as it was known before the balancer started. */
    CACHED,
    /** The complete list as discovery has it now; endpoints that it does not name are removed. */
    COMPLETE,
    /** Only the endpoints that have changed. */
    DELTA,
    /** Nothing: discovery could not be reached, or answered with an error. */
    FAILED
}
