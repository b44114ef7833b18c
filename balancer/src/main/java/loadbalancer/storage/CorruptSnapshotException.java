package loadbalancer.storage;

import java.io.IOException;

/**
 * Thrown when bytes are not a valid snapshot of the expected owner. The message is the description
 * of the {@link Corruption}.
 */
public final class CorruptSnapshotException extends IOException {
    private static final long serialVersionUID = 1L;

    private final Corruption corruption;

    CorruptSnapshotException(Corruption corruption) {
        super(corruption.description());
        this.corruption = corruption;
    }

    /** Returns what is wrong with the bytes. */
    public Corruption corruption() {
        return corruption;
    }
}
