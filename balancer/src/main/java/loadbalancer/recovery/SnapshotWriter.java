package loadbalancer.recovery;

import java.io.IOException;
import java.util.function.Consumer;
import loadbalancer.storage.SnapshotStore;

/**
 * Saves snapshots of any kind and logs when that begins to fail and when it succeeds again.
 * Confined to the {@link DiskThread}.
 */
final class SnapshotWriter {
    private final long incarnation;
    private final Consumer<String> log;
    private boolean lastWriteFailed;

    SnapshotWriter(long incarnation, Consumer<String> log) {
        this.incarnation = incarnation;
        this.log = log;
    }

    /** Saves a snapshot; returns whether it is durable. If not, the one before still is. */
    boolean save(SnapshotStore store, byte[] content) {
        try {
            store.save(System.currentTimeMillis(), incarnation, content);
        } catch (IOException | RuntimeException e) {
            if (!lastWriteFailed) {
                lastWriteFailed = true;
                log.accept("snapshot write failed: reason=" + e.getMessage());
            }
            return false;
        }
        if (lastWriteFailed) {
            lastWriteFailed = false;
            log.accept("snapshot writes resumed");
        }
        return true;
    }
}
