package loadbalancer.recovery;

import static loadbalancer.TestAwait.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import loadbalancer.GoldenFiles;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.config.SocketAddressParser;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.PolicySnapshot;
import loadbalancer.storage.FileSystemDirectory;
import loadbalancer.storage.Snapshot;
import loadbalancer.storage.SnapshotStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the stored endpoint list and policy snapshot byte for byte, as JSON and within a
 * snapshot file. The order of the two keys of the policy snapshot differs between processes, as
 * that of {@link java.util.Map#of} does, so there is a golden file for each order.
 */
@Timeout(60)
class GoldenSnapshotContentTest {
    private static final String ENDPOINTS_FIRST = "state/endpoints-first.json";
    private static final String LATENCIES_FIRST = "state/latencies-first.json";
    private static final String LIST_ONLY = "state/list-only.json";
    private static final String SNAPSHOT = "state/snapshot.hex";
    private static final String OWNER = "n1";
    private static final long REVISION = 1L << 53;
    private static final long SNAPSHOT_AT_MS = 1_764_680_000_123L;

    @TempDir private Path directory;
    private final List<String> log = new ArrayList<>();

    static BootSettings boot() {
        return new BootSettings(
                null, List.of(), List.of(), List.of(), List.of("a", "b"), List.of("m0", "m1"), 0);
    }

    /**
     * Returns a list with the minimum and maximum of each field, and without each optional field.
     */
    static EndpointList list() {
        return new EndpointList(
                REVISION,
                true,
                List.of(
                        new EndpointList.Entry(
                                new Endpoint(
                                        "s1",
                                        EndpointStatus.UP,
                                        1_764_680_000_123_000L,
                                        1.5,
                                        Integer.MAX_VALUE,
                                        1,
                                        1),
                                SocketAddressParser.parse("255.255.255.255:65535")),
                        new EndpointList.Entry(
                                new Endpoint(
                                        "s\u0151\"2\\",
                                        EndpointStatus.DRAINING,
                                        0,
                                        1e-3,
                                        -1,
                                        -1,
                                        -1),
                                SocketAddressParser.parse("0.0.0.0:0")),
                        new EndpointList.Entry(
                                new Endpoint("s3", EndpointStatus.UP, 7_000, 1, 0, 0, 0),
                                SocketAddressParser.parse("[2001:db8::1]:80"))));
    }

    /** Returns a policy snapshot with the minimum and maximum of each field. */
    static PolicySnapshot policySnapshot() {
        return new PolicySnapshot(
                List.of(
                        new PolicySnapshot.EndpointSnapshot(
                                "s1",
                                Long.MAX_VALUE,
                                1e9,
                                999_999_999.5,
                                0.25,
                                60_000_000,
                                1_000_000,
                                999_999,
                                List.of(0L, 60_000_000L)),
                        new PolicySnapshot.EndpointSnapshot(
                                "s\u0151\"2\\", 0, 0, 0, 0, 0, 0, 0, List.of()),
                        new PolicySnapshot.EndpointSnapshot(
                                "s3", 7_000, 12.5, 3, 1.0 / 3, 900_000, 2, 1, List.of(5_000L))),
                List.of(0.0, 60_000.5, 1e9));
    }

    /** Takes a snapshot in {@code directory} and returns its content. */
    static String takeSnapshot(Path directory, Optional<PolicySnapshot> policySnapshot)
            throws IOException {
        RecoveryStore store =
                RecoveryStore.open(directory, OWNER, boot(), 1_000, line -> {}).orElseThrow();
        store.onEndpointList(EndpointListKind.COMPLETE, list());
        store.takeSnapshot(policySnapshot);
        await("the first snapshot is written")
                .until(() -> Files.exists(directory.resolve("snapshot-1")));
        store.close();
        Snapshot snapshot =
                new SnapshotStore(new FileSystemDirectory(directory), OWNER, "snapshot")
                        .recover()
                        .newest()
                        .orElseThrow();
        return new String(snapshot.content(), StandardCharsets.UTF_8);
    }

    static Snapshot snapshot(byte[] content) {
        return new Snapshot(1, SNAPSHOT_AT_MS, 1_764_679_000_000L, OWNER, content);
    }

    private RecoveryStore openWith(String goldenFile) throws IOException {
        byte[] content = GoldenFiles.text(goldenFile).getBytes(StandardCharsets.UTF_8);
        new SnapshotStore(new FileSystemDirectory(directory), OWNER, "snapshot")
                .save(System.currentTimeMillis(), 1, content);
        return RecoveryStore.open(directory, OWNER, boot(), 1_000, log::add).orElseThrow();
    }

    private static void assertListRecovered(RecoveryStore store) {
        EndpointList configuredList = new EndpointList(REVISION - 1, true, List.of());
        assertEquals(list(), store.newestEndpointList(configuredList));
    }

    @ParameterizedTest
    @ValueSource(strings = {ENDPOINTS_FIRST, LATENCIES_FIRST})
    void goldenContentIsRecovered(String file) throws IOException {
        RecoveryStore store = openWith(file);
        try {
            assertListRecovered(store);
            assertEquals(Optional.of(policySnapshot()), store.recoveredPolicySnapshot());
        } finally {
            store.close();
        }
    }

    @Test
    void goldenContentWithoutPolicySnapshotIsRecovered() throws IOException {
        RecoveryStore store = openWith(LIST_ONLY);
        try {
            assertListRecovered(store);
            assertEquals(Optional.empty(), store.recoveredPolicySnapshot());
        } finally {
            store.close();
        }
    }

    @Test
    void storedContentMatchesGoldenFile() throws IOException {
        String stored = takeSnapshot(directory, Optional.of(policySnapshot()));
        assertTrue(
                Set.of(GoldenFiles.text(ENDPOINTS_FIRST), GoldenFiles.text(LATENCIES_FIRST))
                        .contains(stored),
                stored);
    }

    @Test
    void storedContentWithoutPolicySnapshotMatchesGoldenFile() throws IOException {
        assertEquals(GoldenFiles.text(LIST_ONLY), takeSnapshot(directory, Optional.empty()));
    }

    @Test
    void goldenSnapshotFileIsRecovered() throws IOException {
        Files.write(directory.resolve("snapshot-1"), GoldenFiles.bytes(SNAPSHOT));
        RecoveryStore store =
                RecoveryStore.open(directory, OWNER, boot(), 1_000, log::add).orElseThrow();
        try {
            assertListRecovered(store);
        } finally {
            store.close();
        }
        Snapshot snapshot = Snapshot.decode(GoldenFiles.bytes(SNAPSHOT), OWNER);
        assertEquals(1, snapshot.sequence());
        assertEquals(SNAPSHOT_AT_MS, snapshot.createdAtMs());
        assertEquals(1_764_679_000_000L, snapshot.incarnation());
        assertEquals(
                policySnapshot(),
                PolicySnapshotCodec.decode(JSON.std.mapFrom(snapshot.content()).get("module")));
    }

    @Test
    void encodedSnapshotMatchesGoldenFile() {
        byte[] content = GoldenFiles.text(ENDPOINTS_FIRST).getBytes(StandardCharsets.UTF_8);
        assertEquals(GoldenFiles.text(SNAPSHOT), GoldenFiles.hexLines(snapshot(content).encode()));
    }
}
