package loadbalancer.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Saves and recovers the snapshots of one kind in a directory.
 *
 * <p>A new snapshot is written under a temporary name, synced and renamed; then the directory is
 * synced, which makes the snapshot durable. Older snapshots are deleted only after that, so a crash
 * at any point leaves at least one valid snapshot. After a failed write the state of the file is
 * unknown, so the next snapshot is a new file with a new sequence number.
 *
 * <p>Not thread-safe; all operations block on the disk.
 */
public final class SnapshotStore {
    private static final String TEMPORARY_NAME = "unfinished";
    private static final int RETAINED_SNAPSHOTS = 2;
    private static final long NO_SEQUENCE = -1;

    private final SnapshotDirectory directory;
    private final String owner;
    private final String namePrefix;
    private final Pattern namePattern;
    private long lastSequence;

    /**
     * The snapshots found in a directory.
     *
     * @param newest the newest valid snapshot
     * @param discarded newer files that are invalid, each as {@code name: reason}
     */
    public record RecoveryResult(Optional<Snapshot> newest, List<String> discarded) {
        public RecoveryResult {
            discarded = List.copyOf(discarded);
        }
    }

    /**
     * Creates a store. The directory may also contain snapshots of other kinds.
     *
     * @param directory directory that only this balancer uses
     * @param owner site and name of the balancer; snapshots of other owners are not recovered
     * @param namePrefix kind of the snapshots; files are named {@code namePrefix-sequence}
     */
    public SnapshotStore(SnapshotDirectory directory, String owner, String namePrefix) {
        this.directory = directory;
        this.owner = owner;
        this.namePrefix = namePrefix;
        this.namePattern = Pattern.compile(Pattern.quote(namePrefix) + "-(\\d{1,18})");
    }

    /**
     * Finds the newest valid snapshot. Never throws: files that can't be read are reported as
     * discarded.
     */
    public RecoveryResult recover() {
        List<String> discarded = new ArrayList<>();
        try {
            List<String> names = namesNewestFirst();
            // Invalid files count too, so that no file name is used twice.
            lastSequence = names.isEmpty() ? 0 : sequenceOf(names.get(0));
            for (String name : names) {
                try {
                    return new RecoveryResult(Optional.of(readSnapshot(name)), discarded);
                } catch (CorruptSnapshotException e) {
                    discarded.add(name + ": " + e.corruption().description());
                }
            }
        } catch (IOException e) {
            discarded.add("directory: " + e.getMessage());
        }
        return new RecoveryResult(Optional.empty(), discarded);
    }

    private List<String> namesNewestFirst() throws IOException {
        return directory.list().stream()
                .filter(name -> sequenceOf(name) != NO_SEQUENCE)
                .sorted(Comparator.comparingLong(this::sequenceOf).reversed())
                .toList();
    }

    private Snapshot readSnapshot(String name) throws CorruptSnapshotException {
        Snapshot snapshot = Snapshot.decode(readFile(name), owner);
        if (snapshot.sequence() != sequenceOf(name)) {
            throw new CorruptSnapshotException(Corruption.SEQUENCE_MISMATCH);
        }
        return snapshot;
    }

    private byte[] readFile(String name) throws CorruptSnapshotException {
        try {
            return directory.read(name, Snapshot.MAX_BYTES);
        } catch (IOException e) {
            CorruptSnapshotException corrupt = new CorruptSnapshotException(Corruption.TRUNCATED);
            corrupt.initCause(e);
            throw corrupt;
        }
    }

    private long sequenceOf(String name) {
        Matcher matcher = namePattern.matcher(name);
        return matcher.matches() ? Long.parseLong(matcher.group(1)) : NO_SEQUENCE;
    }

    /**
     * Saves a snapshot. When this method returns, the snapshot survives a loss of power.
     *
     * @param createdAtMs creation time by the wall clock, in ms since 1970
     * @param incarnation incarnation of this process
     * @param content the state
     * @return the sequence number of the snapshot
     * @throws IOException if the snapshot is not durable; an earlier one still is
     * @throws SnapshotTooLargeException if the snapshot exceeds {@link Snapshot#MAX_BYTES}
     */
    public long save(long createdAtMs, long incarnation, byte[] content) throws IOException {
        // A failed write uses up the number too, so that no file name is used twice.
        lastSequence++;
        byte[] bytes =
                new Snapshot(lastSequence, createdAtMs, incarnation, owner, content).encode();
        directory.write(TEMPORARY_NAME, bytes);
        directory.sync(TEMPORARY_NAME);
        directory.rename(TEMPORARY_NAME, namePrefix + "-" + lastSequence);
        directory.syncDirectory();
        deleteOldSnapshots();
        return lastSequence;
    }

    private void deleteOldSnapshots() throws IOException {
        for (String name : directory.list()) {
            long sequence = sequenceOf(name);
            if (sequence != NO_SEQUENCE && sequence <= lastSequence - RETAINED_SNAPSHOTS) {
                directory.delete(name);
            }
        }
    }
}
