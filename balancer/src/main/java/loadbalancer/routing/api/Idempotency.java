package loadbalancer.routing.api;

/** What a class of requests allows once an attempt may have run. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NON_IDEMPOTENT
}
