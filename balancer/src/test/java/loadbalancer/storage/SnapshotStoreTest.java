package loadbalancer.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SnapshotStoreTest {
    private static final String OWNER = "site/n1";

    private static byte[] contentOf(int sequence) {
        // Some sectors
        byte[] bytes = new byte[2_600 + sequence % 50];
        java.util.Arrays.fill(bytes, (byte) sequence);
        return bytes;
    }

    /** A way to keep snapshots: the program's, or one with a mistake. */
    private interface PersistProcedure {
        void persist(SnapshotStore store, CrashSimulatingDirectory directory, int sequence)
                throws IOException;
    }

    /** Plays it, and at every folder that a loss of power could leave asks what is recovered. */
    private static final class CrashExplorer {
        private final PersistProcedure procedure;
        private long directoryStates;
        // Kept, said the program
        private int lastConfirmed;
        private int lastStarted;
        private String violation;

        CrashExplorer(PersistProcedure procedure) {
            this.procedure = procedure;
        }

        void run(int snapshotCount) throws IOException {
            CrashSimulatingDirectory directory = new CrashSimulatingDirectory(this::checkRecovery);
            SnapshotStore store = new SnapshotStore(directory, OWNER, "snapshot");
            for (lastStarted = 1; lastStarted <= snapshotCount; lastStarted++) {
                procedure.persist(store, directory, lastStarted);
                lastConfirmed = lastStarted;
            }
        }

        private void checkRecovery(Map<String, byte[]> files) {
            directoryStates++;
            Snapshot recovered =
                    new SnapshotStore(CrashSimulatingDirectory.containing(files), OWNER, "snapshot")
                            .recover()
                            .newest();
            int sequence = recovered == null ? 0 : (int) recovered.createdAtMs();
            boolean intact =
                    recovered == null
                            || java.util.Arrays.equals(contentOf(sequence), recovered.content());
            if (violation == null
                    && (!intact || sequence < lastConfirmed || sequence > lastStarted)) {
                violation =
                        "recovered "
                                + sequence
                                + (intact ? "" : ", not whole")
                                + " where "
                                + lastConfirmed
                                + " was promised";
            }
        }
    }

    @Test
    void confirmedSnapshotSurvivesPowerLoss() throws IOException {
        CrashExplorer explorer =
                new CrashExplorer(
                        (store, directory, sequence) ->
                                store.save(sequence, 1, contentOf(sequence)));
        explorer.run(3_200);
        assertNull(explorer.violation);
        assertTrue(explorer.directoryStates > 100_000, explorer.directoryStates + " folders");
    }

    /** The same steps with one left out or wrong: the explorer must say so. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "no sync of the file",
                "no sync of the folder",
                "old ones removed first",
                "written in place"
            })
    void explorerDetectsPlantedMistakes(String mistake) throws IOException {
        CrashExplorer explorer =
                new CrashExplorer(
                        (store, directory, sequence) -> {
                            byte[] bytes =
                                    new Snapshot(sequence, sequence, 1, OWNER, contentOf(sequence))
                                            .encode();
                            String fileName =
                                    mistake.equals("written in place")
                                            ? "snapshot-1"
                                            : "snapshot-" + sequence;
                            if (mistake.equals("written in place")) {
                                bytes =
                                        new Snapshot(1, sequence, 1, OWNER, contentOf(sequence))
                                                .encode();
                            }
                            if (mistake.equals("old ones removed first")) {
                                directory.delete("snapshot-" + (sequence - 1));
                                directory.syncDirectory();
                            }
                            directory.write("unfinished", bytes);
                            if (!mistake.equals("no sync of the file")) {
                                directory.sync("unfinished");
                            }
                            directory.rename("unfinished", fileName);
                            if (!mistake.equals("no sync of the folder")) {
                                directory.syncDirectory();
                            }
                            if (mistake.equals("written in place")) {
                                // As if the file were changed where it stands
                                directory.write(fileName, bytes);
                                directory.syncDirectory();
                            }
                        });
        explorer.run(3);
        assertFalse(explorer.violation == null, mistake);
    }

    /** Any one byte changed anywhere is seen: the checksum is over all. */
    @Test
    void singleBitFlipIsDetected() {
        byte[] valid = new Snapshot(3, 4, 5, OWNER, contentOf(7)).encode();
        assertArrayEquals(contentOf(7), Snapshot.decode(valid, OWNER).snapshot().content());
        for (int i = 0; i < valid.length; i++) {
            byte[] corrupted = valid.clone();
            corrupted[i] ^= 1;
            assertNull(Snapshot.decode(corrupted, OWNER).snapshot(), "byte " + i);
        }
        for (int length = 0; length < valid.length; length++) {
            assertNull(
                    Snapshot.decode(java.util.Arrays.copyOf(valid, length), OWNER).snapshot(),
                    length + " bytes");
        }
    }

    @Test
    void randomBytesAreReadWithoutError() {
        SplittableRandom random = new SplittableRandom(5);
        byte[] valid = new Snapshot(3, 4, 5, OWNER, contentOf(1)).encode();
        for (int i = 0; i < 100_000; i++) {
            byte[] bytes = java.util.Arrays.copyOf(valid, random.nextInt(200));
            for (int j = 16; j < bytes.length; j++) {
                bytes[j] = (byte) random.nextInt();
            }
            assertNull(Snapshot.decode(bytes, OWNER).snapshot());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "0, bad magic",
        "7, unsupported version",
        "11, length mismatch",
        "15, checksum mismatch",
        "40, checksum mismatch"
    })
    void corruptNewestFallsBackToPrevious(int offset, String corruption, @TempDir Path path)
            throws IOException {
        FileSystemDirectory directory = new FileSystemDirectory(path);
        SnapshotStore store = new SnapshotStore(directory, OWNER, "snapshot");
        store.save(1, 1, contentOf(1));
        store.save(2, 1, contentOf(2));
        store.save(3, 1, contentOf(3));
        assertEquals(List.of("snapshot-2", "snapshot-3"), directory.list());
        byte[] bytes = Files.readAllBytes(path.resolve("snapshot-3"));
        bytes[offset] ^= 1;
        Files.write(path.resolve("snapshot-3"), bytes);
        SnapshotStore reopened = new SnapshotStore(directory, OWNER, "snapshot");
        SnapshotStore.RecoveryResult recovered = reopened.recover();
        assertEquals(2, recovered.newest().createdAtMs());
        assertEquals(List.of("snapshot-3: " + corruption), recovered.discarded());
        // Never under a name that was used
        assertEquals(4, reopened.save(4, 2, contentOf(4)));
    }

    @Test
    void corruptOrForeignSnapshotsAreDropped(@TempDir Path path) throws IOException {
        FileSystemDirectory directory = new FileSystemDirectory(path);
        new SnapshotStore(directory, "site/n2", "snapshot").save(1, 1, contentOf(1));
        Files.writeString(path.resolve("snapshot-9"), "");
        Files.writeString(path.resolve("notes"), "nothing of ours");
        SnapshotStore.RecoveryResult recovered =
                new SnapshotStore(directory, OWNER, "snapshot").recover();
        assertNull(recovered.newest());
        assertEquals(
                List.of("snapshot-9: truncated", "snapshot-1: wrong owner"), recovered.discarded());
    }

    /**
     * A disk that fails at one of its operations: an error is said, and what was kept before still
     * is.
     */
    @ParameterizedTest
    @ValueSource(strings = {"write", "sync", "rename", "syncDirectory", "delete"})
    void ioErrorKeepsEarlierSnapshots(String failingOperation) throws IOException {
        CrashSimulatingDirectory durableDirectory = new CrashSimulatingDirectory(folder -> {});
        List<String> activeFailures = new ArrayList<>();
        SnapshotDirectory directory =
                (SnapshotDirectory)
                        java.lang.reflect.Proxy.newProxyInstance(
                                SnapshotDirectory.class.getClassLoader(),
                                new Class<?>[] {SnapshotDirectory.class},
                                (proxy, method, arguments) -> {
                                    if (activeFailures.contains(method.getName())) {
                                        throw new IOException("no space left");
                                    }
                                    return method.invoke(durableDirectory, arguments);
                                });
        SnapshotStore store = new SnapshotStore(directory, OWNER, "snapshot");
        store.save(1, 1, contentOf(1));
        store.save(2, 1, contentOf(2));
        activeFailures.add(failingOperation);
        assertThrows(IOException.class, () -> store.save(3, 1, contentOf(3)));
        activeFailures.clear();
        assertTrue(
                new SnapshotStore(durableDirectory, OWNER, "snapshot")
                                .recover()
                                .newest()
                                .createdAtMs()
                        >= 2);
        store.save(4, 1, contentOf(4));
        assertEquals(
                4,
                new SnapshotStore(durableDirectory, OWNER, "snapshot")
                        .recover()
                        .newest()
                        .createdAtMs());
    }

    @Test
    void oversizedSnapshotIsRejected() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new Snapshot(1, 1, 1, OWNER, new byte[Snapshot.MAX_BYTES]).encode());
    }
}
