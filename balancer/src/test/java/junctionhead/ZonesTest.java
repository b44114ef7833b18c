package junctionhead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import junctionhead.Books.Tally;
import junctionhead.Zones.State;
import org.junit.jupiter.api.Test;

class ZonesTest {
    private static final Tally FINE = new Tally(10, 0, 6);
    private static final Tally HALF = new Tally(10, 5, 3);
    private static final Tally GONE = new Tally(10, 6, 0);
    private static final Tally QUIET = new Tally(10, 0, 0);
    private static final long LOOK = 100_000;

    private final Zones zones = new Zones();
    private final List<String> remarks = new ArrayList<>();
    private long now = 1_000_000_000;

    private void look(int times, Tally... tallies) {
        for (int i = 0; i < times; i++) {
            now += LOOK;
            zones.look(List.of(tallies), false, now, remarks::add);
        }
    }

    private List<State> states(int count) {
        return IntStream.range(0, count).mapToObj(z -> zones.of(z).state).toList();
    }

    private static Books.Node server(int zone) {
        return new Books.Node(
                new Policy.Server("s" + zone, Policy.State.UP, 0, 1, 0, 0, zone), 0, 1);
    }

    private boolean tries(int zone, boolean harmless) {
        Books.Request r =
                new Books.Request(
                        "r",
                        0,
                        Harness.kind(Policy.Effect.SAFE, Policy.Scope.ALL),
                        0,
                        now,
                        1_000_000,
                        now + 500_000,
                        false);
        return zones.admits(server(zone), r, harmless, now);
    }

    @Test
    void aLostZoneIsLeftWithinHalfASecondAndTriedNowAndThenByHarmlessRequests() {
        look(1, FINE, FINE);
        look(4, FINE, GONE);
        assertEquals(List.of(State.WHOLE, State.LEFT), states(2));
        assertTrue(tries(0, false) && !tries(1, false) && tries(1, true));
        zones.sent(server(1), now);
        assertFalse(tries(1, true));
        assertEquals(
                List.of(
                        "zone 1 is DOUBTED: 6 of 10 servers out, 0 answering",
                        "zone 1 is LEFT: 6 of 10 servers out, 0 answering"),
                remarks);
    }

    @Test
    void itReturnsInStepsAndOnlyByWhatIsServed() {
        look(4, FINE, GONE);
        look(20, FINE, QUIET);
        // Nobody has answered yet
        assertEquals(State.LEFT, zones.of(1).state);
        zones.ended(server(1), true);
        look(1, FINE, FINE);
        // One answer is little
        assertEquals(State.LEFT, zones.of(1).state);
        zones.ended(server(1), true);
        look(1, FINE, FINE);
        assertEquals(0.25, zones.of(1).part);
        look(10, FINE, FINE);
        // Nothing was served in this step
        assertEquals(0.25, zones.of(1).part);
        for (double part : new double[] {0.5, 1}) {
            zones.ended(server(1), true);
            look(3, FINE, FINE);
            assertEquals(part, zones.of(1).part);
        }
        assertEquals(State.WHOLE, zones.of(1).state);
    }

    @Test
    void whereServersAreShortOneAnswerIsEnoughAndNothingIsHeldBack() {
        look(4, FINE, GONE);
        assertEquals(State.LEFT, zones.of(1).state);
        zones.look(List.of(FINE, FINE), true, now += LOOK, remarks::add);
        // Short or not, somebody has to answer
        assertEquals(State.LEFT, zones.of(1).state);
        zones.ended(server(1), true);
        zones.look(List.of(FINE, FINE), true, now += LOOK, remarks::add);
        assertEquals(State.RETURNING, zones.of(1).state);
        assertEquals(1, zones.of(1).part);
        assertTrue(tries(1, false));
        zones.ended(server(1), true);
        zones.look(List.of(FINE, FINE), true, now += LOOK, remarks::add);
        assertEquals(State.WHOLE, zones.of(1).state);
    }

    @Test
    void whatFailsOnReturnIsLeftAgainAndForLongerEachTime() {
        List<Long> lengths = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            look(4, FINE, GONE);
            assertEquals(State.LEFT, zones.of(1).state);
            long from = now;
            while (zones.of(1).state == State.LEFT) {
                zones.ended(server(1), true);
                look(1, FINE, FINE);
            }
            lengths.add((now - from) / LOOK);
            zones.ended(server(1), false);
        }
        assertTrue(
                lengths.get(2) >= 2 * lengths.get(0) - 1 && lengths.get(3) > lengths.get(2),
                lengths.toString());
        assertTrue(
                lengths.get(7) <= 161 && lengths.get(7) == lengths.get(6).longValue(),
                lengths.toString());
    }

    @Test
    void halfAZoneAndOwnIsolationAndAZoneOfOneServer() {
        look(60, FINE, HALF);
        // Single servers are to blame
        assertEquals(State.WHOLE, zones.of(1).state);
        look(10, GONE, GONE, GONE);
        assertTrue(states(3).stream().noneMatch(s -> s == State.LEFT), states(3).toString());
        Zones other = new Zones();
        for (int i = 0; i < 5; i++) {
            other.look(List.of(FINE, new Tally(1, 1, 0)), false, now += LOOK, remarks::add);
        }
        assertEquals(State.LEFT, other.of(1).state);
        // Of servers that name none
        assertEquals(State.WHOLE, other.of(-1).state);
    }

    // ------------------------------------------------------------ all that may be seen, in any
    // order

    private static final List<Tally> SEEN = List.of(FINE, HALF, GONE, QUIET);

    /** A way of looking at three zones, and what was so before. */
    private record World(List<Books.Zone> zones, long now) {}

    private static Zones of(World w) {
        Zones z = new Zones();
        for (int i = 0; i < 3; i++) {
            copy(w.zones.get(i), z.of(i));
        }
        return z;
    }

    private static void copy(Books.Zone from, Books.Zone to) {
        to.state = from.state;
        to.since = from.since;
        to.calmUntil = from.calmUntil;
        to.triedAt = from.triedAt;
        to.times = from.times;
        to.part = from.part;
        to.good = from.good;
        to.bad = from.bad;
    }

    private static List<Object> print(World w) {
        List<Object> of = new ArrayList<>();
        for (Books.Zone z : w.zones) {
            of.addAll(
                    Arrays.asList(
                            z.state,
                            Math.min(30, (w.now - z.since) / LOOK),
                            Math.min(4, z.times),
                            z.part,
                            Math.min(2, z.good),
                            Math.min(2, z.bad),
                            Math.max(0, z.calmUntil - w.now) / LOOK));
        }
        return of;
    }

    private interface Check {
        /** What is wrong with a step from one to the other; null: nothing. */
        String of(World before, World after, List<Tally> seen);
    }

    private static String explore(int states, Check check, BiPredicate<Zones, World> plant) {
        Set<List<Object>> known = new HashSet<>();
        Deque<World> next =
                new ArrayDeque<>(
                        List.of(
                                new World(
                                        List.of(
                                                new Books.Zone(),
                                                new Books.Zone(),
                                                new Books.Zone()),
                                        1_000_000_000)));
        while (!next.isEmpty() && known.size() < states) {
            World w = next.size() % 2 == 0 ? next.pollLast() : next.pollFirst();
            for (int i = 0; i < 64 * 3; i++) {
                List<Tally> seen =
                        List.of(SEEN.get(i & 3), SEEN.get(i >> 2 & 3), SEEN.get(i >> 4 & 3));
                Zones z = of(w);
                for (int n = 0; n < 3 && i >= 64; n++) {
                    zones(z, n, i >= 128);
                }
                z.look(seen, false, w.now + LOOK, line -> {});
                plant.test(z, w);
                World after = new World(List.of(z.of(0), z.of(1), z.of(2)), w.now + LOOK);
                String wrong = check.of(w, after, seen);
                if (wrong != null) {
                    return wrong;
                }
                if (known.add(print(after))) {
                    next.add(after);
                }
            }
        }
        return known.size() >= states ? "" : "only " + known.size() + " states";
    }

    private static void zones(Zones z, int number, boolean well) {
        z.ended(server(number), well);
        z.ended(server(number), well);
    }

    private static String check(World before, World after, List<Tally> seen) {
        int left = 0;
        for (int i = 0; i < 3; i++) {
            Books.Zone was = before.zones.get(i);
            Books.Zone is = after.zones.get(i);
            left += is.state == State.LEFT ? 1 : 0;
            if (was.state == State.LEFT && is.state != State.LEFT && is.state != State.RETURNING) {
                return "from left to " + is.state;
            }
            if (is.state == State.RETURNING && is.part > 2 * Math.max(0.125, was.part)) {
                return "a step from " + was.part + " to " + is.part;
            }
            if (is.state == State.DOUBTED && after.now - is.since > 2_000_000) {
                return "doubt without an end";
            }
            if (is.state == State.LEFT && was.state == State.DOUBTED && seen.get(i).proven() > 0) {
                return "left while it answers";
            }
        }
        return left == 3 ? "all are left" : null;
    }

    @Test
    void nothingThatMayBeSeenOfThreeZonesIsAnsweredWrong() {
        assertEquals("", explore(60_000, ZonesTest::check, (z, w) -> true));
    }

    @Test
    void plantedFaultsAreFound() {
        assertEquals(
                "from left to WHOLE",
                explore(
                        60_000,
                        ZonesTest::check,
                        (z, w) -> {
                            boolean returns = z.of(1).state == State.RETURNING;
                            // All at once
                            z.of(1).state = returns ? State.WHOLE : z.of(1).state;
                            return returns;
                        }));
        assertEquals(
                "all are left",
                explore(
                        60_000,
                        ZonesTest::check,
                        (z, w) -> {
                            for (int i = 0; i < 3; i++) {
                                // Own isolation taken for the zones'
                                z.of(i).state =
                                        z.of(i).state == State.DOUBTED ? State.LEFT : z.of(i).state;
                            }
                            return true;
                        }));
        assertEquals(
                "doubt without an end",
                explore(
                        60_000,
                        ZonesTest::check,
                        (z, w) -> {
                            boolean whole =
                                    w.zones.get(0).state == State.DOUBTED
                                            && z.of(0).state == State.WHOLE;
                            z.of(0).state = whole ? State.DOUBTED : z.of(0).state;
                            z.of(0).since = whole ? w.zones.get(0).since : z.of(0).since;
                            return whole;
                        }));
    }
}
