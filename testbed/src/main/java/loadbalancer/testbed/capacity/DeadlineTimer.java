package loadbalancer.testbed.capacity;

/**
 * Calls back at the earliest time for which it was scheduled since its last callback. Confined to
 * the thread of its host.
 */
final class DeadlineTimer {
    private final BalancerHost host;
    private final Runnable callback;
    private long deadlineMicros = Long.MAX_VALUE;

    /** Creates a timer that is not scheduled. */
    DeadlineTimer(BalancerHost host, Runnable callback) {
        this.host = host;
        this.callback = callback;
    }

    /**
     * Schedules a callback, unless an earlier one is scheduled.
     *
     * @param whenMicros the time of the callback on the host's clock, µs; {@link Long#MAX_VALUE}:
     *     never
     */
    void schedule(long whenMicros) {
        if (whenMicros >= deadlineMicros) {
            return;
        }
        deadlineMicros = whenMicros;
        host.runAfter(
                Math.max(0, whenMicros - host.now()),
                () -> {
                    // If the deadline differs, an earlier callback has replaced this one.
                    if (deadlineMicros == whenMicros) {
                        deadlineMicros = Long.MAX_VALUE;
                        callback.run();
                    }
                });
    }
}
