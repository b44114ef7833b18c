package junctionhead.state;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A disk that remembers all that was asked of it and can show every folder that a loss of power
 * could leave: after each operation, with any choice of the unsynced changes of names lost, and of
 * each unsynced file nothing, all, or what comes before a sector, or the sectors changed in order.
 */
final class CrashDisk implements Disk {
    private static final int SECTOR = 512;

    /** A file's content, apart from its name: names change, contents stay. */
    private static final class Content {
        private byte[] bytes = {};
        // As of its last sync
        private byte[] safe = {};
    }

    private final Map<String, Content> names = new TreeMap<>();
    private final Map<String, Content> safeNames = new TreeMap<>();
    private final List<Consumer<Map<String, Content>>> unsynced = new ArrayList<>();
    private final Consumer<Map<String, byte[]>> crashes;

    /**
     * {@code crashes} is handed each folder that a loss of power could leave, after each operation.
     */
    CrashDisk(Consumer<Map<String, byte[]>> crashes) {
        this.crashes = crashes;
    }

    private void operation(Consumer<Map<String, Content>> change) {
        change.accept(names);
        unsynced.add(change);
        show();
    }

    private void show() {
        for (int kept = 0; kept < 1 << unsynced.size(); kept++) {
            Map<String, Content> left = new TreeMap<>(safeNames);
            for (int i = 0; i < unsynced.size(); i++) {
                if ((kept >> i & 1) != 0) {
                    unsynced.get(i).accept(left);
                }
            }
            choose(new ArrayList<>(left.keySet()), 0, left, new HashMap<>());
        }
    }

    // Every combination of what may be left of each file.
    private void choose(
            List<String> files, int i, Map<String, Content> left, Map<String, byte[]> chosen) {
        if (i == files.size()) {
            crashes.accept(new HashMap<>(chosen));
            return;
        }
        for (byte[] bytes : remains(left.get(files.get(i)))) {
            chosen.put(files.get(i), bytes);
            choose(files, i + 1, left, chosen);
        }
    }

    private static List<byte[]> remains(Content c) {
        if (Arrays.equals(c.bytes, c.safe)) {
            return List.of(c.bytes);
        }
        List<byte[]> all = new ArrayList<>(List.of(c.safe, c.bytes));
        for (int cut = SECTOR; cut < c.bytes.length; cut += SECTOR) {
            // The rest was not written
            all.add(Arrays.copyOf(c.bytes, cut));
            // The rest was, and this was not
            byte[] late = c.bytes.clone();
            Arrays.fill(late, 0, cut, (byte) 0);
            all.add(late);
        }
        return all;
    }

    @Override
    public List<String> list() {
        return List.copyOf(names.keySet());
    }

    @Override
    public byte[] read(String name, int most) throws IOException {
        if (!names.containsKey(name)) {
            throw new IOException("no " + name);
        }
        return names.get(name).bytes.clone();
    }

    @Override
    public void write(String name, byte[] bytes) {
        Content content = new Content();
        content.bytes = bytes.clone();
        operation(folder -> folder.put(name, content));
    }

    @Override
    public void sync(String name) {
        names.get(name).safe = names.get(name).bytes;
        show();
    }

    @Override
    public void rename(String from, String to) {
        operation(
                folder -> {
                    Content content = folder.remove(from);
                    if (content != null) {
                        folder.put(to, content);
                    }
                });
    }

    @Override
    public void syncFolder() {
        safeNames.clear();
        safeNames.putAll(names);
        unsynced.clear();
        show();
    }

    @Override
    public void delete(String name) {
        operation(folder -> folder.remove(name));
    }

    /** A disk that holds what such a loss left. */
    static CrashDisk holding(Map<String, byte[]> files) {
        CrashDisk disk = new CrashDisk(left -> {});
        files.forEach(
                (name, bytes) -> {
                    Content content = new Content();
                    content.bytes = bytes;
                    content.safe = bytes;
                    disk.names.put(name, content);
                });
        return disk;
    }
}
