package loadbalancer.lease;

/**
 * The right of a holder to act for a slot. Immutable.
 *
 * @param epoch epoch under which the holder acts; higher than that of every earlier holder
 * @param expiresAtMicros when the lease expires, µs of the holder's monotonic clock
 */
public record Lease(long epoch, long expiresAtMicros) {}
