package loadbalancer.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The snapshots in one folder: writes each beside the last one and only then removes what is older,
 * so that a crash at any point leaves at least one whole. Recovers the newest whole one. One
 * thread.
 *
 * <p>A new snapshot is written under another name, synced, renamed, and the folder synced: only
 * then it counts as kept. After a failure nothing is known of what the system still holds, so the
 * next one is a new file.
 */
public final class SnapshotStore {
    private static final String TEMPORARY_NAME = "unfinished";
    private static final int RETAINED_SNAPSHOTS = 2;

    private final SnapshotDirectory directory;
    private final String owner;
    private final String namePrefix;
    private final Pattern namePattern;
    private long lastSequence;

    /** What was found at a start; {@code newest} is null where nothing whole was. */
    public record RecoveryResult(Snapshot newest, List<String> discarded) {}

    /**
     * Takes a folder, with snapshots of other kinds beside these.
     *
     * @param owner site and name of the balancer; snapshots of another are passed over
     * @param namePrefix a plain word, of which their names are made
     */
    public SnapshotStore(SnapshotDirectory directory, String owner, String namePrefix) {
        this.directory = directory;
        this.owner = owner;
        this.namePrefix = namePrefix;
        this.namePattern = Pattern.compile(Pattern.quote(namePrefix) + "-(\\d{1,18})");
    }

    /** Finds the newest whole snapshot; never fails: what can't be read is dropped, and said. */
    public RecoveryResult recover() {
        List<String> discarded = new ArrayList<>();
        Snapshot newest = null;
        try {
            List<String> names =
                    directory.list().stream()
                            .filter(fileName -> sequenceOf(fileName) >= 0)
                            .sorted(Comparator.comparingLong(this::sequenceOf).reversed())
                            .toList();
            // Its number alone is enough for no later one to take the same name.
            lastSequence = names.isEmpty() ? 0 : sequenceOf(names.get(0));
            for (String name : names) {
                Snapshot.DecodeResult result = readSnapshot(name);
                if (result.snapshot() != null && result.snapshot().sequence() == sequenceOf(name)) {
                    newest = result.snapshot();
                    break;
                }
                discarded.add(
                        name
                                + ": "
                                + (result.corruption() == Snapshot.Corruption.NONE
                                        ? "of another name"
                                        : result.corruption()
                                                .name()
                                                .toLowerCase(java.util.Locale.ROOT)
                                                .replace('_', ' ')));
            }
        } catch (IOException e) {
            discarded.add("the folder: " + e.getMessage());
        }
        return new RecoveryResult(newest, List.copyOf(discarded));
    }

    private Snapshot.DecodeResult readSnapshot(String name) {
        try {
            return Snapshot.decode(directory.read(name, Snapshot.MAX_BYTES), owner);
        } catch (IOException e) {
            return new Snapshot.DecodeResult(null, Snapshot.Corruption.TRUNCATED);
        }
    }

    private long sequenceOf(String name) {
        Matcher matcher = namePattern.matcher(name);
        return matcher.matches() ? Long.parseLong(matcher.group(1)) : -1;
    }

    /**
     * Keeps a snapshot; when this returns it survives any loss of power.
     *
     * @return its sequence
     * @throws IOException where it is not kept; an earlier one still is
     */
    public long save(long createdAtMs, long incarnation, byte[] content) throws IOException {
        long nextSequence = lastSequence + 1;
        // Used up, whatever becomes of it
        lastSequence = nextSequence;
        directory.write(
                TEMPORARY_NAME,
                new Snapshot(nextSequence, createdAtMs, incarnation, owner, content).encode());
        directory.sync(TEMPORARY_NAME);
        directory.rename(TEMPORARY_NAME, namePrefix + "-" + nextSequence);
        directory.syncDirectory();
        for (String name : directory.list()) {
            if (sequenceOf(name) >= 0 && sequenceOf(name) <= nextSequence - RETAINED_SNAPSHOTS) {
                directory.delete(name);
            }
        }
        return nextSequence;
    }
}
