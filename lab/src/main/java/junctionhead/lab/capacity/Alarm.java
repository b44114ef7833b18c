package junctionhead.lab.capacity;

/** One timer: rings at the earliest time that it was set to since it last rang. */
final class Alarm {
    private final Host host;
    private final Runnable ring;
    private long at = Long.MAX_VALUE;

    Alarm(Host host, Runnable ring) {
        this.host = host;
        this.ring = ring;
    }

    /** {@code when} in µs of the host's clock; {@link Long#MAX_VALUE}: not wanted. */
    void set(long when) {
        if (when >= at) {
            return;
        }
        at = when;
        host.after(
                Math.max(0, when - host.now()),
                () -> {
                    if (at == when) {
                        // Else an earlier one has rung in its place
                        at = Long.MAX_VALUE;
                        ring.run();
                    }
                });
    }
}
