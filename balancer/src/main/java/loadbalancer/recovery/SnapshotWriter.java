package loadbalancer.recovery;

import java.io.IOException;
import java.util.function.Consumer;
import loadbalancer.storage.SnapshotStore;

/**
 * Saves snapshots of any kind. Logs the first failure of a series, and the first success after it.
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

    /** Saves a snapshot. Returns whether it is durable; if not, the previous one still is. */
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
