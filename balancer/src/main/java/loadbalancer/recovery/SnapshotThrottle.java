package loadbalancer.recovery;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Admits one snapshot at a time. After a snapshot starts, the next one may start only after a
 * hundred times its duration, so that even a large state takes at most 1% of a core.
 */
final class SnapshotThrottle {
    private static final int COOLDOWN_FACTOR = 100;

    private final AtomicBoolean inProgress = new AtomicBoolean();
    // Written by the disk thread and read by the event loop.
    private volatile long nextStartNanos = System.nanoTime();

    /**
     * Returns whether a snapshot may start: none is in progress and the pause has ended. If so,
     * marks it as in progress. Called on the event loop.
     */
    boolean tryBegin() {
        return System.nanoTime() - nextStartNanos >= 0 && inProgress.compareAndSet(false, true);
    }

    /**
     * Marks the admitted snapshot as finished and sets the pause. Called on the disk thread.
     *
     * @param startNanos time at which the work began, by {@link System#nanoTime}
     */
    void end(long startNanos) {
        nextStartNanos = startNanos + COOLDOWN_FACTOR * (System.nanoTime() - startNanos);
        inProgress.set(false);
    }
}
