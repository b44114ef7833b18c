package junctionhead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import junctionhead.Policy.Effect;
import junctionhead.Policy.ListKind;
import junctionhead.Policy.Outcome;
import junctionhead.Policy.RequestClass;
import junctionhead.Policy.Scope;
import junctionhead.Policy.Server;
import junctionhead.Policy.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What was decided while it was allowed, and is to be written when it may no longer be. */
class LateWriteTest {
    // Shorter than a connect may take
    private static final long WINDOW = 40_000;
    private static final RequestClass SAFE = Harness.kind(Effect.SAFE, Scope.ALL);
    private static final RequestClass UNSAFE = Harness.kind(Effect.UNSAFE, Scope.ALL);

    private static RequestClass keyed(Scope scope) {
        return new RequestClass(
                Effect.KEYED, scope, WINDOW, Harness.AIM, Harness.DEADLINE, 0, 1, 0.3, false);
    }

    private static Harness harness(RequestClass kind, int servers) {
        Harness harness =
                new Harness(Harness.settings(kind), 3)
                        .list(ListKind.PERSISTED, Harness.fleet(servers));
        harness.warmUp(40, 0, 10_000);
        return harness;
    }

    private static boolean mayBegin(Harness harness, Harness.Sent sent) {
        return harness.policy.mayBegin(harness.now, sent.request, sent.number);
    }

    @ParameterizedTest
    @EnumSource(Effect.class)
    void theFirstAttemptOfALiveRequestMayBeginLate(Effect effect) {
        Harness harness =
                harness(
                        effect == Effect.KEYED ? keyed(Scope.ALL) : Harness.kind(effect, Scope.ALL),
                        4);
        Harness.Sent sent = harness.request("r", 0);
        harness.pass(2 * WINDOW);
        assertTrue(mayBegin(harness, sent));
    }

    @Test
    void whatWasAnsweredOrLeftDoesNotBegin() {
        Harness harness = harness(SAFE, 4);
        Harness.Sent left = harness.request("left", 0);
        harness.policy.clientGone(harness.now, "left", harness);
        assertFalse(mayBegin(harness, left));
        Harness.Sent late = harness.request("late", 0);
        harness.pass(Harness.DEADLINE + 100_000);
        harness.sentFor("late").forEach(copy -> harness.end(copy, Outcome.TIMEOUT));
        assertFalse(mayBegin(harness, late));
    }

    @Test
    void nothingBeginsOnAServerThatDrainsHasGoneOrCameAnew() {
        for (Server now :
                List.of(
                        Harness.up("s0").in(State.DRAINING),
                        Harness.up("s0").in(State.GONE),
                        new Server("s0", State.UP, Harness.START + 5_000_000, 1, 0, 0, 0))) {
            Harness harness =
                    new Harness(Harness.settings(UNSAFE), 3)
                            .list(ListKind.PERSISTED, List.of(Harness.up("s0")));
            Harness.Sent sent = harness.request("r", 0);
            assertTrue(mayBegin(harness, sent));
            harness.list(ListKind.PARTIAL, List.of(now, Harness.up("s1")));
            assertFalse(mayBegin(harness, sent), now.toString());
            // And goes elsewhere: it never ran
            harness.end(sent, Outcome.NOT_SENT);
            assertEquals("s1", harness.sentFor("r").get(1).server);
        }
    }

    @ParameterizedTest
    @EnumSource(Scope.class)
    void aRepeatDoesNotBeginAfterItsKeysWindow(Scope scope) {
        Harness harness = harness(keyed(scope), 8);
        Harness.Sent first = harness.request("r", 0);
        harness.end(first, Outcome.RESET);
        Harness.Sent second = harness.sentFor("r").get(1);
        assertTrue(mayBegin(harness, second));
        harness.pass(WINDOW);
        assertFalse(mayBegin(harness, second));
        harness.end(second, Outcome.NOT_SENT);
        assertNotEquals(null, harness.finals.get("r"), "answered at once: it can't be sent again");
        assertEquals(2, harness.sentFor("r").size());
    }

    /** No server may be used; once its key is forgotten none ever may. */
    @Test
    void aHeldRepeatIsAnsweredWhenItsKeysWindowIsOver() {
        Harness harness = harness(keyed(Scope.ALL), 2);
        Harness.Sent first = harness.request("r", 0);
        harness.list(ListKind.COMPLETE, List.of());
        harness.end(first, Outcome.RESET);
        assertEquals(null, harness.finals.get("r"));
        harness.pass(WINDOW + 10_000);
        assertEquals("refused", harness.finals.get("r"));
    }
}
