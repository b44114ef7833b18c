package loadbalancer.dispatch;

/** The time in µs since 1970, which never goes back: the wall clock is read once, at the start. */
final class MonotonicClock {
    private final long startUnixMicros = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();

    long nowMicros() {
        return startUnixMicros + (System.nanoTime() - startNanos) / 1000;
    }
}
