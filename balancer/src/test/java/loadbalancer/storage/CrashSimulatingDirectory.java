package loadbalancer.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A directory in memory that reports, after each operation, every state that a loss of power could
 * leave. In such a state, any subset of the unsynced changes of file names is lost. An unsynced
 * file has its old content, its new content, or only the part of the new content before or after a
 * sector boundary.
 */
final class CrashSimulatingDirectory implements SnapshotDirectory {
    private static final int SECTOR_BYTES = 512;

    /** The content of a file, independent of its name, which may change. */
    private static final class FileContent {
        private byte[] bytes = {};
        // Content at the last sync.
        private byte[] durableBytes = {};
    }

    private final Map<String, FileContent> files = new TreeMap<>();
    private final Map<String, FileContent> durableFiles = new TreeMap<>();
    private final List<Consumer<Map<String, FileContent>>> unsyncedChanges = new ArrayList<>();
    private final Consumer<Map<String, byte[]>> crashObserver;

    /**
     * Creates an empty directory.
     *
     * @param crashObserver receives, after each operation, each state that a loss of power could
     *     leave, as file contents by name
     */
    CrashSimulatingDirectory(Consumer<Map<String, byte[]>> crashObserver) {
        this.crashObserver = crashObserver;
    }

    private void apply(Consumer<Map<String, FileContent>> change) {
        change.accept(files);
        unsyncedChanges.add(change);
        reportCrashStates();
    }

    private void reportCrashStates() {
        for (int appliedMask = 0; appliedMask < 1 << unsyncedChanges.size(); appliedMask++) {
            Map<String, FileContent> remaining = new TreeMap<>(durableFiles);
            for (int i = 0; i < unsyncedChanges.size(); i++) {
                if (((appliedMask >> i) & 1) != 0) {
                    unsyncedChanges.get(i).accept(remaining);
                }
            }
            enumerateContents(new ArrayList<>(remaining.keySet()), 0, remaining, new HashMap<>());
        }
    }

    // Reports all combinations of the possible contents of each file.
    private void enumerateContents(
            List<String> fileNames,
            int index,
            Map<String, FileContent> remaining,
            Map<String, byte[]> chosen) {
        if (index == fileNames.size()) {
            crashObserver.accept(new HashMap<>(chosen));
            return;
        }
        for (byte[] bytes : possibleContents(remaining.get(fileNames.get(index)))) {
            chosen.put(fileNames.get(index), bytes);
            enumerateContents(fileNames, index + 1, remaining, chosen);
        }
    }

    private static List<byte[]> possibleContents(FileContent content) {
        if (Arrays.equals(content.bytes, content.durableBytes)) {
            return List.of(content.bytes);
        }
        List<byte[]> variants = new ArrayList<>(List.of(content.durableBytes, content.bytes));
        for (int length = SECTOR_BYTES; length < content.bytes.length; length += SECTOR_BYTES) {
            // Only the first sectors were written.
            variants.add(Arrays.copyOf(content.bytes, length));
            // Only the last sectors were written.
            byte[] lostPrefix = content.bytes.clone();
            Arrays.fill(lostPrefix, 0, length, (byte) 0);
            variants.add(lostPrefix);
        }
        return variants;
    }

    @Override
    public List<String> list() {
        return List.copyOf(files.keySet());
    }

    @Override
    public byte[] read(String name, int maxBytes) throws IOException {
        if (!files.containsKey(name)) {
            throw new IOException("file does not exist: " + name);
        }
        return files.get(name).bytes.clone();
    }

    @Override
    public void write(String name, byte[] bytes) {
        FileContent content = new FileContent();
        content.bytes = bytes.clone();
        apply(entries -> entries.put(name, content));
    }

    @Override
    public void sync(String name) {
        files.get(name).durableBytes = files.get(name).bytes;
        reportCrashStates();
    }

    @Override
    public void rename(String oldName, String newName) {
        apply(
                entries -> {
                    FileContent content = entries.remove(oldName);
                    if (content != null) {
                        entries.put(newName, content);
                    }
                });
    }

    @Override
    public void syncDirectory() {
        durableFiles.clear();
        durableFiles.putAll(files);
        unsyncedChanges.clear();
        reportCrashStates();
    }

    @Override
    public void delete(String name) {
        apply(entries -> entries.remove(name));
    }

    /** Returns a directory with these files, all of them durable. */
    static CrashSimulatingDirectory containing(Map<String, byte[]> contents) {
        CrashSimulatingDirectory directory = new CrashSimulatingDirectory(ignored -> {});
        contents.forEach(
                (name, bytes) -> {
                    FileContent content = new FileContent();
                    content.bytes = bytes;
                    content.durableBytes = bytes;
                    directory.files.put(name, content);
                });
        return directory;
    }
}
