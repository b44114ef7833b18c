package loadbalancer.routing.api;

/** The servers that drop a repeat of a keyed request. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
