package loadbalancer.recovery;

import static loadbalancer.TestAwait.await;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.EndpointList;
import loadbalancer.config.EndpointListCodec;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.PolicySnapshot;
import loadbalancer.server.BalancerServerFixtures;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@link RecoveryStore}: what a balancer persists and what its next process recovers. */
@Timeout(60)
class RecoveryStoreTest {
    private static final String LIST_JSON =
            """
        {"rev":%d,"all":%s,"targets":[
          {"uid":"s1","endpoint":"127.0.0.1:81","az":"b","model":"m1","pod_group":3,"state":"%s",
            "capacity_hint":1.5,"boot_ms":7}]}""";

    @TempDir private Path directory;
    private final List<String> logLines = new CopyOnWriteArrayList<>();
    private final BalancerConfig config = config();
    private Optional<RecoveryStore> openedStore = Optional.empty();
    private Optional<PolicySnapshot> policySnapshot = Optional.empty();

    private static BalancerConfig config() {
        try {
            Map<String, Object> settings =
                    JSON.std.mapFrom(
                            """
                {"Areas":["a","b"],"Kinds":["m0","m1"],"Balancers":1,"Quantum":5000,"MembershipMode":"ask",
                 "Classes":[{"Name":"a","Idempotency":"safe","GoalTime":600000,"GiveUp":1200000}],
                 "Limits":{"TryLimit":3,"MayDuplicate":true,"Cancel":true,"Probes":true},
                 "Rules":{"AnswerSlack":20000,"DrainGrace":1000000,"AskWithin":10000000,"ColdFrom":0.2,
                   "RampTime":20000000,"OverloadFactor":2.5,"Fall":1500000}}""");
            return BalancerServerFixtures.config(Map.of("seed", "1", "settings", settings));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private RecoveryStore open() {
        openedStore = tryOpen();
        return openedStore.orElseThrow();
    }

    private Optional<RecoveryStore> tryOpen() {
        return RecoveryStore.open(directory, "n1", config.boot(), 1_000, logLines::add);
    }

    private EndpointList parseList(long revision, boolean complete, String state) {
        return EndpointListCodec.decode(
                LIST_JSON.formatted(revision, complete, state), config.boot());
    }

    @AfterEach
    void closeStore() {
        openedStore.ifPresent(RecoveryStore::close);
    }

    /** Takes a snapshot of this list and {@link #policySnapshot} and closes the store. */
    private void persist(EndpointList endpointList) throws IOException, InterruptedException {
        RecoveryStore store = open();
        store.onEndpointList(EndpointListKind.COMPLETE, endpointList);
        store.takeSnapshot(policySnapshot);
        await("a snapshot is written").until(this::hasSnapshot);
        store.close();
    }

    private boolean hasSnapshot() throws IOException {
        try (var files = Files.list(directory)) {
            return files.anyMatch(file -> file.getFileName().toString().startsWith("snapshot-"));
        }
    }

    @Test
    void listIsRestoredWithHigherIncarnation() throws IOException, InterruptedException {
        EndpointList persisted = parseList(41, true, "terminating");
        persist(persisted);
        long previousIncarnation = openedStore.orElseThrow().incarnation();
        RecoveryStore store = open();
        assertEquals(persisted, store.newestEndpointList(config.initialEndpoints()));
        assertTrue(
                store.incarnation() > previousIncarnation,
                store.incarnation() + " after " + previousIncarnation);
        assertTrue(
                logLines.get(0).startsWith("snapshot recovered: sequence=1 age_s="),
                logLines.toString());
    }

    /** The configured list is used unless the recovered one has a higher revision. */
    @Test
    void configuredListWinsAtEqualRevision() throws IOException, InterruptedException {
        persist(parseList(41, true, "in_service"));
        RecoveryStore store = open();
        EndpointList known = parseList(41, true, "terminating");
        assertEquals(known, store.newestEndpointList(known));
        assertEquals(41, store.newestEndpointList(parseList(40, true, "terminating")).revision());
    }

    @Test
    void policySnapshotIsRestored() throws IOException, InterruptedException {
        PolicySnapshot.EndpointSnapshot endpoint =
                new PolicySnapshot.EndpointSnapshot(
                        "s1", 7, 12.5, 3, 0.25, 900_000, 2, 0, List.of(0L, 5_000L));
        policySnapshot = Optional.of(new PolicySnapshot(List.of(endpoint), List.of(60_000.5)));
        persist(parseList(41, true, "in_service"));
        RecoveryStore store = open();
        assertEquals(policySnapshot, store.recoveredPolicySnapshot());
        assertTrue(
                store.snapshotAgeMicros() >= 0 && store.snapshotAgeMicros() < 30_000_000,
                store.snapshotAgeMicros() + " µs");
    }

    @Test
    void promisesAreRestored() throws Exception {
        RecoveryStore store = open();
        assertEquals(Optional.empty(), store.recoveredPromises());
        CompletableFuture<Boolean> durable = new CompletableFuture<>();
        store.persistPromises(new byte[] {1, 2, 3}, durable::complete);
        assertTrue(durable.get());
        store.close();
        assertArrayEquals(new byte[] {1, 2, 3}, open().recoveredPromises().orElseThrow());
    }

    @Test
    void directoryHasOneOwner() {
        openedStore = tryOpen();
        assertTrue(openedStore.isPresent());
        assertEquals(Optional.empty(), tryOpen());
        assertEquals(
                List.of(
                        "state directory unavailable: reason="
                                + directory
                                + " is locked by this process"),
                logLines);
        openedStore.get().close();
        openedStore = tryOpen();
        assertTrue(openedStore.isPresent());
    }

    @Test
    void unusableDirectoryDoesNotFailStart() throws IOException {
        directory = Files.writeString(directory.resolve("file"), "x");
        assertEquals(Optional.empty(), tryOpen());
        assertTrue(
                logLines.get(0).startsWith("state directory unavailable: reason=can't use "),
                logLines.toString());
    }

    @Test
    void corruptSnapshotIsSkipped() throws IOException {
        Files.writeString(
                directory.resolve("snapshot-5"),
                "not one of ours, but as long as one would be, and more");
        RecoveryStore store = open();
        assertEquals(
                config.initialEndpoints(), store.newestEndpointList(config.initialEndpoints()));
        assertEquals(List.of("snapshot discarded: snapshot-5: bad magic"), logLines);
    }
}
