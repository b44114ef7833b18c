package loadbalancer.lease;

/**
 * The right to act for a slot.
 *
 * @param epoch under which the holder acts; higher than that of every earlier holder
 * @param expiresAtMicros when the right ends, µs of the holder's monotonic clock
 */
public record Lease(long epoch, long expiresAtMicros) {}
