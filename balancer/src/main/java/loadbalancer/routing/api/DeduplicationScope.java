package loadbalancer.routing.api;

/**
 * The set of endpoints that recognize an idempotency key that one of them has seen, and do not run
 * the request again.
 */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** All endpoints in the same zone. */
    ZONE,
    /** All endpoints in the same cell. */
    CELL
}
