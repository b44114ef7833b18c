package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import junctionhead.Kept;
import junctionhead.Policy.ListKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class StateKeeperTest {
    private static final String LIST =
            """
        {"rev":%d,"all":%s,"targets":[
          {"uid":"s1","endpoint":"127.0.0.1:81","az":"b","model":"m1","pod_group":3,"state":"%s",
            "capacity_hint":1.5,"boot_ms":7}]}""";

    @TempDir private Path dir;
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final Config config = config();
    private StateKeeper keeper;
    private Kept module;

    private static Config config() {
        try {
            Map<String, Object> settings =
                    JSON.std.mapFrom(
                            """
                {"Areas":["a","b"],"Kinds":["m0","m1"],"Balancers":1,"Quantum":5000,"MembershipMode":"ask",
                 "Classes":[{"Name":"a","Idempotency":"safe","GoalTime":600000,"GiveUp":1200000}],
                 "Limits":{"TryLimit":3,"MayDuplicate":true,"Cancel":true,"Probes":true},
                 "Rules":{"AnswerSlack":20000,"DrainGrace":1000000,"AskWithin":10000000,"ColdFrom":0.2,
                   "RampTime":20000000,"OverloadFactor":2.5,"Fall":1500000}}""");
            return Config.of(
                    Map.of(),
                    Map.of(
                            "name",
                            "n1",
                            "listen",
                            "127.0.0.1:0",
                            "discovery",
                            "127.0.0.1:9",
                            "seed",
                            "1",
                            "settings",
                            settings));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private StateKeeper open() {
        return StateKeeper.open(dir, "n1", config.boot(), 1_000, log::add);
    }

    private Targets list(long rev, boolean all, String state) {
        return Targets.parse(LIST.formatted(rev, all, state), config.boot());
    }

    @AfterEach
    void end() {
        if (keeper != null) {
            keeper.close();
        }
    }

    private void keep(Targets targets) throws IOException, InterruptedException {
        keeper = open();
        keeper.listed(ListKind.COMPLETE, targets);
        keeper.take(module);
        while (!hasSnapshot()) {
            Thread.onSpinWait();
        }
        keeper.close();
    }

    private boolean hasSnapshot() throws IOException {
        try (var files = Files.list(dir)) {
            return files.anyMatch(f -> f.getFileName().toString().startsWith("snapshot-"));
        }
    }

    @Test
    void theListIsBackAsItWasAndTheIncarnationHigher() throws IOException, InterruptedException {
        Targets kept = list(41, true, "terminating");
        keep(kept);
        long before = keeper.incarnation();
        keeper = open();
        assertEquals(kept, keeper.newest(config.known()));
        assertTrue(keeper.incarnation() > before);
        assertTrue(log.get(0).startsWith("state: recovered snapshot 1, "), log.toString());
    }

    @Test
    void whatThePlatformKnowsWinsIfItIsAsNew() throws IOException, InterruptedException {
        keep(list(41, true, "in_service"));
        keeper = open();
        Targets known = list(41, true, "terminating");
        assertEquals(known, keeper.newest(known));
        assertEquals(41, keeper.newest(list(40, true, "terminating")).rev());
    }

    @Test
    void whatTheModuleKnewIsBackAsItWas() throws IOException, InterruptedException {
        module =
                new Kept(
                        List.of(
                                new Kept.OfServer(
                                        "s1",
                                        7,
                                        12.5,
                                        3,
                                        0.25,
                                        900_000,
                                        2,
                                        0,
                                        List.of(0L, 5_000L))),
                        List.of(60_000.5));
        keep(list(41, true, "in_service"));
        keeper = open();
        assertEquals(module, keeper.module());
        assertTrue(keeper.age() >= 0 && keeper.age() < 30_000_000, keeper.age() + " µs");
    }

    @Test
    void anOddNumberInWhatTheModuleKnewIsRefused() {
        Map<String, Object> odd = KeptForm.write(new Kept(List.of(), List.of(-1.0)));
        assertEquals(
                "no number from 0 to 1.0E9: -1.0",
                assertThrows(IllegalArgumentException.class, () -> KeptForm.read(odd))
                        .getMessage());
        for (Object junk :
                new Object[] {
                    "x",
                    Map.of(),
                    Map.of("servers", List.of(3), "latencies", List.of()),
                    Map.of("servers", List.of(Map.of("uid", 3)), "latencies", List.of())
                }) {
            assertThrows(
                    IllegalArgumentException.class, () -> KeptForm.read(junk), junk.toString());
        }
    }

    @Test
    void aFolderHasOneOwner() {
        keeper = open();
        assertNotNull(keeper);
        assertNull(open());
        assertEquals(List.of("state: this process has " + dir + " already, serving without"), log);
        keeper.close();
        keeper = open();
        assertNotNull(keeper);
    }

    @Test
    void aFolderThatCantBeUsedIsNoFailedStart() throws IOException {
        dir = Files.writeString(dir.resolve("file"), "x");
        assertNull(open());
        assertTrue(log.get(0).startsWith("state: can't use "), log.toString());
    }

    @Test
    void aDamagedFolderIsAStartWithout() throws IOException {
        Files.writeString(
                dir.resolve("snapshot-5"),
                "not one of ours, but as long as one would be, and more");
        keeper = open();
        assertEquals(config.known(), keeper.newest(config.known()));
        assertEquals(List.of("state: dropped snapshot-5: no mark"), log);
    }
}
