package loadbalancer.storage;

/** Thrown when an encoded snapshot would exceed {@link Snapshot#MAX_BYTES}. */
public final class SnapshotTooLargeException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    SnapshotTooLargeException(int bytes) {
        super("snapshot has " + bytes + " bytes, the maximum is " + Snapshot.MAX_BYTES);
    }
}
