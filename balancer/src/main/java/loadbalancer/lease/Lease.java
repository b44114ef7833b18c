package loadbalancer.lease;

/** Leave to act under that epoch until that time, µs. */
public record Lease(long epoch, long expiresAtMicros) {}
