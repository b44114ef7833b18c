package loadbalancer.routing.api;

/**
 * What a list holds: the one kept over a restart, the complete one, changes only or, failed,
 * nothing.
 */
public enum EndpointListKind {
    CACHED,
    COMPLETE,
    DELTA,
    FAILED
}
