package loadbalancer.recovery;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Admits one snapshot at a time, and the next one only after a hundred times what the last one
 * took, so that a large state costs at most 1% of a core.
 */
final class SnapshotThrottle {
    private static final int COOLDOWN_FACTOR = 100;

    private final AtomicBoolean inProgress = new AtomicBoolean();
    // Written by the disk thread, read by the event loop
    private volatile long nextStartNanos = System.nanoTime();

    /** Admits a snapshot, if none is in progress and the pause has passed. Event loop. */
    boolean tryBegin() {
        return System.nanoTime() - nextStartNanos >= 0 && inProgress.compareAndSet(false, true);
    }

    /** Ends the snapshot that was admitted, with the duration of its work. Disk thread. */
    void end(long startNanos) {
        nextStartNanos = startNanos + COOLDOWN_FACTOR * (System.nanoTime() - startNanos);
        inProgress.set(false);
    }
}
