package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import junctionhead.GoldenFiles;
import junctionhead.Kept;
import junctionhead.Policy;
import junctionhead.SettingsReader;
import junctionhead.state.FolderDisk;
import junctionhead.state.Snapshot;
import junctionhead.state.Snapshots;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What a balancer stores of the endpoint list and of its endpoints, byte for byte, as JSON and
 * within a snapshot. The order of the two keys of the policy's part differs from one process to the
 * next, as that of {@link java.util.Map#of} does: there is a golden file of each.
 */
@Timeout(60)
class GoldenStateContentTest {
    private static final String ENDPOINTS_FIRST = "state/endpoints-first.json";
    private static final String LATENCIES_FIRST = "state/latencies-first.json";
    private static final String LIST_ONLY = "state/list-only.json";
    private static final String SNAPSHOT = "state/snapshot.hex";
    private static final String OWNER = "n1";
    private static final long REVISION = 1L << 53;
    private static final long SNAPSHOT_AT_MS = 1_764_680_000_123L;

    @TempDir private Path directory;
    private final List<String> log = new ArrayList<>();

    static SettingsReader.Boot boot() {
        return new SettingsReader.Boot(
                null, List.of(), List.of(), List.of(), List.of("a", "b"), List.of("m0", "m1"), 0);
    }

    /**
     * A list with the least and greatest value of each field, and each field absent that may be.
     */
    static Targets list() {
        return new Targets(
                REVISION,
                true,
                List.of(
                        new Targets.Target(
                                new Policy.Server(
                                        "s1",
                                        Policy.State.UP,
                                        1_764_680_000_123_000L,
                                        1.5,
                                        Integer.MAX_VALUE,
                                        1,
                                        1),
                                Targets.address("255.255.255.255:65535")),
                        new Targets.Target(
                                new Policy.Server(
                                        "s\u0151\"2\\", Policy.State.DRAINING, 0, 1e-3, -1, -1, -1),
                                Targets.address("0.0.0.0:0")),
                        new Targets.Target(
                                new Policy.Server("s3", Policy.State.UP, 7_000, 1, 0, 0, 0),
                                Targets.address("[2001:db8::1]:80"))));
    }

    /** What the policy knew, with the least and greatest value of each field. */
    static Kept kept() {
        return new Kept(
                List.of(
                        new Kept.OfServer(
                                "s1",
                                Long.MAX_VALUE,
                                1e9,
                                999_999_999.5,
                                0.25,
                                60_000_000,
                                1_000_000,
                                999_999,
                                List.of(0L, 60_000_000L)),
                        new Kept.OfServer("s\u0151\"2\\", 0, 0, 0, 0, 0, 0, 0, List.of()),
                        new Kept.OfServer(
                                "s3", 7_000, 12.5, 3, 1.0 / 3, 900_000, 2, 1, List.of(5_000L))),
                List.of(0.0, 60_000.5, 1e9));
    }

    /** The content of the snapshot that a balancer takes in this directory. */
    static String stored(Path directory, Kept kept) throws IOException {
        StateKeeper keeper = StateKeeper.open(directory, OWNER, boot(), 1_000, line -> {});
        keeper.listed(Policy.ListKind.COMPLETE, list());
        keeper.take(kept);
        while (!Files.exists(directory.resolve("snapshot-1"))) {
            Thread.onSpinWait();
        }
        keeper.close();
        Snapshot snapshot =
                new Snapshots(new FolderDisk(directory), OWNER, "snapshot").recover().newest();
        return new String(snapshot.content(), StandardCharsets.UTF_8);
    }

    static Snapshot snapshot(byte[] content) {
        return new Snapshot(1, SNAPSHOT_AT_MS, 1_764_679_000_000L, OWNER, content);
    }

    private StateKeeper openWith(byte[] content, long at) throws IOException {
        new Snapshots(new FolderDisk(directory), OWNER, "snapshot").keep(at, 1, content);
        return StateKeeper.open(directory, OWNER, boot(), 1_000, log::add);
    }

    @ParameterizedTest
    @ValueSource(strings = {ENDPOINTS_FIRST, LATENCIES_FIRST})
    void bytesGiveValues(String file) throws IOException {
        byte[] content = GoldenFiles.text(file).getBytes(StandardCharsets.UTF_8);
        StateKeeper keeper = openWith(content, System.currentTimeMillis());
        try {
            assertEquals(list(), keeper.newest(new Targets(REVISION - 1, true, List.of())));
            assertEquals(kept(), keeper.module());
        } finally {
            keeper.close();
        }
    }

    @Test
    void bytesOfListOnlyGiveValues() throws IOException {
        byte[] content = GoldenFiles.text(LIST_ONLY).getBytes(StandardCharsets.UTF_8);
        StateKeeper keeper = openWith(content, System.currentTimeMillis());
        try {
            assertEquals(list(), keeper.newest(new Targets(REVISION - 1, true, List.of())));
            assertNull(keeper.module());
        } finally {
            keeper.close();
        }
    }

    @Test
    void valuesGiveBytes() throws IOException {
        String stored = stored(directory, kept());
        assertTrue(
                Set.of(GoldenFiles.text(ENDPOINTS_FIRST), GoldenFiles.text(LATENCIES_FIRST))
                        .contains(stored),
                stored);
    }

    @Test
    void valuesOfListOnlyGiveBytes() throws IOException {
        assertEquals(GoldenFiles.text(LIST_ONLY), stored(directory, null));
    }

    @Test
    void snapshotFileGivesValues() throws IOException {
        Files.write(directory.resolve("snapshot-1"), GoldenFiles.bytes(SNAPSHOT));
        StateKeeper keeper = StateKeeper.open(directory, OWNER, boot(), 1_000, log::add);
        try {
            assertEquals(list(), keeper.newest(new Targets(REVISION - 1, true, List.of())));
        } finally {
            keeper.close();
        }
        Snapshot snapshot = Snapshot.read(GoldenFiles.bytes(SNAPSHOT), OWNER).snapshot();
        assertEquals(1, snapshot.sequence());
        assertEquals(SNAPSHOT_AT_MS, snapshot.at());
        assertEquals(1_764_679_000_000L, snapshot.incarnation());
        assertEquals(kept(), KeptForm.read(JSON.std.mapFrom(snapshot.content()).get("module")));
    }

    @Test
    void valuesGiveSnapshotFile() {
        byte[] content = GoldenFiles.text(ENDPOINTS_FIRST).getBytes(StandardCharsets.UTF_8);
        assertEquals(GoldenFiles.text(SNAPSHOT), GoldenFiles.hexLines(snapshot(content).encode()));
    }
}
