package junctionhead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import junctionhead.Policy.Effect;
import junctionhead.Policy.ListKind;
import junctionhead.Policy.Outcome;
import junctionhead.Policy.Scope;
import junctionhead.Policy.Server;
import junctionhead.Policy.State;
import org.junit.jupiter.api.Test;

/** What one module keeps, and what another makes of it after a crash. */
class KeptTest {
    private final List<Server> servers =
            List.of(Harness.up("a"), Harness.up("b"), Harness.up("c"), Harness.up("d"));

    private Harness started() {
        Harness harness = new Harness(Harness.settings(Harness.kind(Effect.SAFE, Scope.ALL)), 1);
        harness.list(ListKind.COMPLETE, servers);
        return harness;
    }

    // Of so many requests, those that go to one server fail.
    private Harness learned(String bad) {
        Harness harness = started();
        for (int i = 0; i < 50; i++) {
            for (int n = 0; n < 8; n++) {
                // At once: else one server would take all
                harness.request("r" + i + "-" + n, 0);
            }
            harness.pass(2_000);
            List.copyOf(harness.sends).stream()
                    .filter(s -> !s.ended)
                    .forEach(
                            s ->
                                    harness.end(
                                            s,
                                            s.server.equals(bad)
                                                    ? Outcome.CONNECT_FAILED
                                                    : Outcome.OK));
        }
        return harness;
    }

    private static Kept.OfServer of(Kept kept, String id) {
        return kept.servers().stream().filter(s -> s.id().equals(id)).findAny().orElseThrow();
    }

    @Test
    void ranksRestsAndLatenciesAreTakenOverAndFade() {
        Harness before = learned("b");
        Kept kept = before.policy.keep(before.now);
        assertTrue(of(kept, "b").restsFor() > 0 && of(kept, "a").count() > 5, kept.toString());
        Harness after = started();
        after.policy.recall(after.now, kept, 0);
        Kept again = after.policy.keep(after.now);
        assertEquals(of(kept, "a").count(), of(again, "a").count(), 1e-6);
        assertEquals(of(kept, "b").restsFor(), of(again, "b").restsFor());
        assertEquals(kept.latencies().get(0), again.latencies().get(0), 1e-6);

        Harness late = started();
        late.policy.recall(late.now, kept, 10_000_000);
        Kept faded = late.policy.keep(late.now);
        assertEquals(of(kept, "a").count() / Math.E, of(faded, "a").count(), 1e-6);
        // Its rest is over by now
        assertEquals(0, of(faded, "b").restsFor());
    }

    @Test
    void aServerThatIsNotListedOrIsAnotherProcessGetsNothing() {
        Harness before = learned("b");
        Kept kept = before.policy.keep(before.now);
        Harness after = new Harness(Harness.settings(Harness.kind(Effect.SAFE, Scope.ALL)), 1);
        after.list(
                ListKind.COMPLETE,
                List.of(new Server("a", State.UP, 77, 1, 0, 0, 0), Harness.up("d")));
        after.policy.recall(after.now, kept, 0);
        Kept again = after.policy.keep(after.now);
        assertEquals(List.of("a", "d"), again.servers().stream().map(Kept.OfServer::id).toList());
        assertEquals(0, of(again, "a").count());
        assertTrue(of(again, "d").count() > 0);
    }

    @Test
    void allServersAtRestWhenPowerWentAreUsedAllTheSame() {
        Harness after = started();
        after.policy.recall(
                after.now,
                new Kept(
                        servers.stream()
                                .map(
                                        s ->
                                                new Kept.OfServer(
                                                        s.id(),
                                                        s.startedAt(),
                                                        0,
                                                        0,
                                                        9,
                                                        15_000_000,
                                                        4,
                                                        0,
                                                        List.of(15_000_000L)))
                                .toList(),
                        List.of(1e12)),
                0);
        after.pass(300_000);
        after.request("r", 0);
        after.pass(50_000);
        assertEquals(1, after.sends.size());
    }
}
