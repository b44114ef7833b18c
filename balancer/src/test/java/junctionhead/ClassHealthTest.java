package junctionhead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import junctionhead.Policy.Effect;
import junctionhead.Policy.ListKind;
import junctionhead.Policy.Outcome;
import junctionhead.Policy.RequestClass;
import junctionhead.Policy.Scope;
import org.junit.jupiter.api.Test;

/** Servers that fail one class of requests and serve the others. */
class ClassHealthTest {
    // The number of the class
    private static final int FAILING = 1;
    private static final RequestClass UNSAFE = Harness.kind(Effect.UNSAFE, Scope.ALL);

    private final Harness harness =
            new Harness(Harness.settings(UNSAFE, UNSAFE), 7)
                    .list(ListKind.PERSISTED, Harness.fleet(8));
    private int sent;

    // Both classes in turn, a hundred a second; the bad servers fail two of three of one class at
    // once.
    private void serve(int requests, Set<String> bad) {
        for (int i = 0; i < requests; i++) {
            Harness.Sent s = harness.request("r" + sent, sent % 2);
            sent++;
            harness.pass(10_000);
            boolean fails =
                    bad.contains(s.server) && s.request.matches("r\\d*[13579]") && i % 6 != 1;
            harness.end(s, fails ? Outcome.ERROR : Outcome.OK);
        }
    }

    private long count(Set<String> servers, int parity) {
        return harness.sends.stream()
                .filter(
                        s ->
                                servers.contains(s.server)
                                        && Integer.parseInt(s.request.substring(1)) % 2 == parity)
                .count();
    }

    @Test
    void aServerThatFailsOneClassRestsForItAndServesTheOther() {
        Set<String> bad = Set.of("s0", "s1", "s2");
        // A good record of ten seconds
        serve(1000, Set.of());
        harness.sends.clear();
        serve(1000, bad);
        long failing = count(bad, FAILING);
        assertTrue(failing < 60, failing + " of 500 to servers that fail them");
        long other = count(bad, 0);
        assertTrue(other > 100, other + " of 500 to servers that serve them");
        harness.pass(20_000_000);
        harness.sends.clear();
        serve(1000, Set.of());
        long again = count(bad, FAILING);
        assertTrue(again > 100, again + " of 500 to servers that serve them again");
    }

    /** The neighbour: the class itself may be at fault, and then no server is left out. */
    @Test
    void aClassThatMostServersFailGoesToAll() {
        Set<String> bad = Set.of("s0", "s1", "s2", "s3", "s4", "s5");
        serve(1000, Set.of());
        harness.sends.clear();
        serve(1000, bad);
        List<String> refused =
                harness.finals.entrySet().stream()
                        .filter(f -> f.getValue().equals("refused"))
                        .map(f -> f.getKey())
                        .toList();
        assertEquals(List.of(), refused);
        assertEquals(1000, harness.sends.size());
    }
}
