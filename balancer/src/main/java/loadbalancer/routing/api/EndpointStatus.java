package loadbalancer.routing.api;

/** A listed server runs, finishes its work without taking more, or has gone. */
public enum EndpointStatus {
    UP,
    DRAINING,
    REMOVED
}
