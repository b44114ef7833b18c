package loadbalancer.cluster;

/** The clock of membership and leases. */
final class MonotonicClock {
    private static final long NANOS_PER_MICRO = 1_000;

    private MonotonicClock() {}

    /** Returns the monotonic time of this machine, in µs. */
    static long nowMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }
}
