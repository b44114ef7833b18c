package loadbalancer.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.GoldenFiles;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Compares the file format of snapshots (header, checksum, content) byte for byte. */
class GoldenSnapshotTest {
    private static final String STORED = "snapshot/first-stored.hex";
    private static final String OWNER = "site-1/balancer-1";
    private static final long STORED_AT_MS = 1_764_680_000_123L;

    /** Returns the snapshots by the names of their golden files. */
    static Map<String, Snapshot> snapshots() {
        Map<String, Snapshot> snapshots = new LinkedHashMap<>();
        snapshots.put("least.hex", new Snapshot(0, 0, 0, "", new byte[0]));
        snapshots.put(
                "greatest.hex",
                new Snapshot(
                        Long.MAX_VALUE,
                        Long.MAX_VALUE,
                        Long.MAX_VALUE,
                        "m\u00e1sodik/n\u0151-2",
                        new byte[] {0, 1, 127, -128, -1}));
        snapshots.put("negative.hex", new Snapshot(-1, Long.MIN_VALUE, -2, OWNER, new byte[] {0}));
        return snapshots;
    }

    static byte[] storedContent() {
        return new byte[] {'{', '}', '\n', -1};
    }

    static List<String> names() {
        return List.copyOf(snapshots().keySet());
    }

    private static void assertSnapshot(Snapshot expected, byte[] bytes) {
        Snapshot decoded = assertDoesNotThrow(() -> Snapshot.decode(bytes, expected.owner()));
        assertEquals(expected.sequence(), decoded.sequence());
        assertEquals(expected.createdAtMs(), decoded.createdAtMs());
        assertEquals(expected.incarnation(), decoded.incarnation());
        assertEquals(expected.owner(), decoded.owner());
        assertArrayEquals(expected.content(), decoded.content());
    }

    @ParameterizedTest
    @MethodSource("names")
    void goldenFileIsDecoded(String name) {
        assertSnapshot(snapshots().get(name), GoldenFiles.bytes("snapshot/" + name));
    }

    @ParameterizedTest
    @MethodSource("names")
    void encodedSnapshotMatchesGoldenFile(String name) {
        assertEquals(
                GoldenFiles.text("snapshot/" + name),
                GoldenFiles.hexLines(snapshots().get(name).encode()));
    }

    @Test
    void goldenFileIsRecoveredFromDirectory(@TempDir Path directory) throws IOException {
        Files.write(directory.resolve("promises-1"), GoldenFiles.bytes(STORED));
        SnapshotStore.RecoveryResult recovered =
                new SnapshotStore(new FileSystemDirectory(directory), OWNER, "promises").recover();
        assertEquals(List.of(), recovered.discarded());
        Snapshot expected = new Snapshot(1, STORED_AT_MS, 7, OWNER, storedContent());
        assertSnapshot(expected, recovered.newest().orElseThrow().encode());
    }

    @Test
    void savedSnapshotMatchesGoldenFile(@TempDir Path directory) throws IOException {
        new SnapshotStore(new FileSystemDirectory(directory), OWNER, "promises")
                .save(STORED_AT_MS, 7, storedContent());
        assertEquals(List.of("promises-1"), new FileSystemDirectory(directory).list());
        assertEquals(
                GoldenFiles.text(STORED),
                GoldenFiles.hexLines(Files.readAllBytes(directory.resolve("promises-1"))));
    }
}
