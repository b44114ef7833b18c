package loadbalancer.routing.api;

/** Whether a request may be sent again once an attempt of it may have run. */
public enum Idempotency {
    /** It may be sent again, to any endpoint, even while another attempt is in flight. */
    IDEMPOTENT,
    /**
     * It carries an idempotency key: it may be sent again to endpoints that recognize the key
     * ({@link DeduplicationScope}), for as long as they remember it.
     */
    IDEMPOTENCY_KEY,
    /** It must not be sent again. */
    NON_IDEMPOTENT
}
