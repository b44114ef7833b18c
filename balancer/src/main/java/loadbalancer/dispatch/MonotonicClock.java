package loadbalancer.dispatch;

/**
 * Provides the time in µs since 1970. It never goes back, because the wall clock is read only once,
 * at construction. Any thread may use it.
 */
final class MonotonicClock {
    private final long startUnixMicros = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();

    long nowMicros() {
        return startUnixMicros + (System.nanoTime() - startNanos) / 1000;
    }
}
