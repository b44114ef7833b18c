package loadbalancer.testbed.capacity;

/** One timer: rings at the earliest time that it was set to since it last rang. */
final class DeadlineTimer {
    private final BalancerHost host;
    private final Runnable callback;
    private long deadlineMicros = Long.MAX_VALUE;

    DeadlineTimer(BalancerHost host, Runnable callback) {
        this.host = host;
        this.callback = callback;
    }

    /** {@code whenMicros} in µs of the host's clock; {@link Long#MAX_VALUE}: not wanted. */
    void schedule(long whenMicros) {
        if (whenMicros >= deadlineMicros) {
            return;
        }
        deadlineMicros = whenMicros;
        host.after(
                Math.max(0, whenMicros - host.now()),
                () -> {
                    if (deadlineMicros == whenMicros) {
                        // Else an earlier one has rung in its place
                        deadlineMicros = Long.MAX_VALUE;
                        callback.run();
                    }
                });
    }
}
