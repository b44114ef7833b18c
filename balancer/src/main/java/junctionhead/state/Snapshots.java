package junctionhead.state;

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
public final class Snapshots {
    private static final String UNFINISHED = "unfinished";
    private static final int KEPT = 2;

    private final Disk disk;
    private final String owner;
    private final String kind;
    private final Pattern names;
    private long sequence;

    /** What was found at a start; {@code newest} is null where nothing whole was. */
    public record Recovered(Snapshot newest, List<String> dropped) {}

    /**
     * Takes a folder, with snapshots of other kinds beside these.
     *
     * @param owner site and name of the balancer; snapshots of another are passed over
     * @param kind a plain word, of which their names are made
     */
    public Snapshots(Disk disk, String owner, String kind) {
        this.disk = disk;
        this.owner = owner;
        this.kind = kind;
        this.names = Pattern.compile(Pattern.quote(kind) + "-(\\d{1,18})");
    }

    /** Finds the newest whole snapshot; never fails: what can't be read is dropped, and said. */
    public Recovered recover() {
        List<String> dropped = new ArrayList<>();
        Snapshot newest = null;
        try {
            List<String> names =
                    disk.list().stream()
                            .filter(n -> number(n) >= 0)
                            .sorted(Comparator.comparingLong(this::number).reversed())
                            .toList();
            // Its number alone is enough for no later one to take the same name.
            sequence = names.isEmpty() ? 0 : number(names.get(0));
            for (String name : names) {
                Snapshot.Reading reading = read(name);
                if (reading.snapshot() != null && reading.snapshot().sequence() == number(name)) {
                    newest = reading.snapshot();
                    break;
                }
                dropped.add(
                        name
                                + ": "
                                + (reading.flaw() == Snapshot.Flaw.NONE
                                        ? "of another name"
                                        : reading.flaw()
                                                .name()
                                                .toLowerCase(java.util.Locale.ROOT)
                                                .replace('_', ' ')));
            }
        } catch (IOException e) {
            dropped.add("the folder: " + e.getMessage());
        }
        return new Recovered(newest, List.copyOf(dropped));
    }

    private Snapshot.Reading read(String name) {
        try {
            return Snapshot.read(disk.read(name, Snapshot.BYTES_MOST), owner);
        } catch (IOException e) {
            return new Snapshot.Reading(null, Snapshot.Flaw.SHORT);
        }
    }

    private long number(String name) {
        Matcher m = names.matcher(name);
        return m.matches() ? Long.parseLong(m.group(1)) : -1;
    }

    /**
     * Keeps a snapshot; when this returns it survives any loss of power.
     *
     * @return its sequence
     * @throws IOException where it is not kept; an earlier one still is
     */
    public long keep(long at, long incarnation, byte[] content) throws IOException {
        long next = sequence + 1;
        // Used up, whatever becomes of it
        sequence = next;
        disk.write(UNFINISHED, new Snapshot(next, at, incarnation, owner, content).encode());
        disk.sync(UNFINISHED);
        disk.rename(UNFINISHED, kind + "-" + next);
        disk.syncFolder();
        for (String name : disk.list()) {
            if (number(name) >= 0 && number(name) <= next - KEPT) {
                disk.delete(name);
            }
        }
        return next;
    }
}
