package loadbalancer.routing.api;

/** States whether a request may be sent again after an attempt that may have run. */
public enum Idempotency {
    /** The request may be sent again to any endpoint, even while another attempt is in flight. */
    IDEMPOTENT,
    /**
     * The request has an idempotency key. It may be sent again to endpoints that recognize the key
     * ({@link DeduplicationScope}), as long as they remember it.
     */
    IDEMPOTENCY_KEY,
    /** The request must not be sent again. */
    NON_IDEMPOTENT
}
