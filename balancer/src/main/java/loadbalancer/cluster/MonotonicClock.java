package loadbalancer.cluster;

/** The clock of membership and leases. */
final class MonotonicClock {
    private MonotonicClock() {}

    /** Monotonic time of this machine, µs. */
    static long nowMicros() {
        return System.nanoTime() / 1000;
    }
}
