package loadbalancer.routing.api;

/** The content of an update of the endpoint list. */
public enum EndpointListKind {
    /** The complete list that was known before the balancer started. */
    CACHED,
    /** The complete current list; endpoints that it does not contain are removed. */
    COMPLETE,
    /** Only the endpoints that have changed. */
    DELTA,
    /** No list, because discovery could not be reached or returned an error. */
    FAILED
}
