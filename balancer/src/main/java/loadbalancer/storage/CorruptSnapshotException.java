package loadbalancer.storage;

import java.io.IOException;

/** Bytes are no snapshot of this program and owner; the message is the reason's description. */
public final class CorruptSnapshotException extends IOException {
    private static final long serialVersionUID = 1L;

    private final Corruption corruption;

    CorruptSnapshotException(Corruption corruption) {
        super(corruption.description());
        this.corruption = corruption;
    }

    /** The reason. */
    public Corruption corruption() {
        return corruption;
    }
}
