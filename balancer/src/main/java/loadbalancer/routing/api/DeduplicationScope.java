package loadbalancer.routing.api;

/** Which endpoints recognize an idempotency key that one of them has seen, and drop the repeat. */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** Those in the same zone. */
    ZONE,
    /** Those in the same cell. */
    CELL
}
