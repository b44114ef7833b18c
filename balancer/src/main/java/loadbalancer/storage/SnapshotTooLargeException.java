package loadbalancer.storage;

/** A snapshot would exceed {@link Snapshot#MAX_BYTES} and can't be stored. */
public final class SnapshotTooLargeException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    SnapshotTooLargeException(int bytes) {
        super("a snapshot of " + bytes + " bytes, more than " + Snapshot.MAX_BYTES);
    }
}
