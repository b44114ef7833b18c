package loadbalancer.storage;

import static loadbalancer.storage.SnapshotTest.contentOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link SnapshotStore}: which snapshots survive a loss of power and other disk failures. */
class SnapshotStoreTest {
    private static final String OWNER = "site/n1";

    /**
     * The steps that save a snapshot: those of {@link SnapshotStore}, or a variant with a mistake.
     */
    private interface PersistProcedure {
        void persist(SnapshotStore store, CrashSimulatingDirectory directory, int sequence)
                throws IOException;
    }

    /** Runs a procedure and recovers from every directory that a loss of power could leave. */
    private static final class CrashExplorer {
        private final PersistProcedure procedure;
        private long directoryStates;
        // The last sequence number that the procedure reported as durable.
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
            Optional<Snapshot> recovered =
                    new SnapshotStore(CrashSimulatingDirectory.containing(files), OWNER, "snapshot")
                            .recover()
                            .newest();
            int sequence = recovered.map(Snapshot::createdAtMs).orElse(0L).intValue();
            boolean intact =
                    recovered
                            .map(found -> Arrays.equals(contentOf(sequence), found.content()))
                            .orElse(true);
            if (violation == null
                    && (!intact || sequence < lastConfirmed || sequence > lastStarted)) {
                violation =
                        "recovered "
                                + sequence
                                + (intact ? "" : ", damaged")
                                + " where "
                                + lastConfirmed
                                + " was confirmed";
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
        assertTrue(
                explorer.directoryStates > 100_000, explorer.directoryStates + " directory states");
    }

    /** The explorer detects each missing or wrong step. */
    @ParameterizedTest
    @EnumSource
    void explorerDetectsMistakes(Mistake mistake) throws IOException {
        CrashExplorer explorer =
                new CrashExplorer(
                        (store, directory, sequence) ->
                                saveWithMistake(mistake, directory, sequence));
        explorer.run(3);
        assertFalse(explorer.violation == null, mistake.name());
    }

    private enum Mistake {
        FILE_NOT_SYNCED,
        DIRECTORY_NOT_SYNCED,
        OLD_DELETED_FIRST,
        WRITTEN_IN_PLACE
    }

    /** Runs the steps of {@link SnapshotStore#save} with one step missing or wrong. */
    private static void saveWithMistake(
            Mistake mistake, CrashSimulatingDirectory directory, int sequence) {
        int fileSequence = mistake == Mistake.WRITTEN_IN_PLACE ? 1 : sequence;
        String fileName = "snapshot-" + fileSequence;
        byte[] bytes = new Snapshot(fileSequence, sequence, 1, OWNER, contentOf(sequence)).encode();
        if (mistake == Mistake.OLD_DELETED_FIRST) {
            directory.delete("snapshot-" + (sequence - 1));
            directory.syncDirectory();
        }
        directory.write("unfinished", bytes);
        if (mistake != Mistake.FILE_NOT_SYNCED) {
            directory.sync("unfinished");
        }
        directory.rename("unfinished", fileName);
        if (mistake != Mistake.DIRECTORY_NOT_SYNCED) {
            directory.syncDirectory();
        }
        if (mistake == Mistake.WRITTEN_IN_PLACE) {
            directory.write(fileName, bytes);
            directory.syncDirectory();
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
        assertEquals(2, recovered.newest().orElseThrow().createdAtMs());
        assertEquals(List.of("snapshot-3: " + corruption), recovered.discarded());
        // The name of the corrupt file is not used again.
        assertEquals(4, reopened.save(4, 2, contentOf(4)));
    }

    @Test
    void corruptOrForeignSnapshotsAreDiscarded(@TempDir Path path) throws IOException {
        FileSystemDirectory directory = new FileSystemDirectory(path);
        new SnapshotStore(directory, "site/n2", "snapshot").save(1, 1, contentOf(1));
        Files.writeString(path.resolve("snapshot-9"), "");
        Files.writeString(path.resolve("notes"), "nothing of ours");
        SnapshotStore.RecoveryResult recovered =
                new SnapshotStore(directory, OWNER, "snapshot").recover();
        assertEquals(Optional.empty(), recovered.newest());
        assertEquals(
                List.of("snapshot-9: truncated", "snapshot-1: wrong owner"), recovered.discarded());
    }

    /** If any disk operation fails, the error is thrown and earlier snapshots remain valid. */
    @ParameterizedTest
    @ValueSource(strings = {"write", "sync", "rename", "syncDirectory", "delete"})
    void ioErrorKeepsEarlierSnapshots(String failingOperation) throws IOException {
        CrashSimulatingDirectory durableDirectory = new CrashSimulatingDirectory(folder -> {});
        List<String> activeFailures = new ArrayList<>();
        SnapshotDirectory directory =
                (SnapshotDirectory)
                        Proxy.newProxyInstance(
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
                                .orElseThrow()
                                .createdAtMs()
                        >= 2);
        store.save(4, 1, contentOf(4));
        assertEquals(
                4,
                new SnapshotStore(durableDirectory, OWNER, "snapshot")
                        .recover()
                        .newest()
                        .orElseThrow()
                        .createdAtMs());
    }
}
