package junctionhead;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import junctionhead.Books.Node;
import org.junit.jupiter.api.Test;

/** Work that must not grow with the list: counted, as times would tell of the machine. */
class ListCostTest {
    private static final int SMALL = 1_000;
    private static final int LARGE = 14_000;
    private static final int TIMES = 200;
    private static final int WALKED = 40;
    private static final double FACTOR = 1.5;

    private static long bytes(int servers, Consumer<ListCost> work) {
        ListCost cost = new ListCost(servers);
        cost.idle();
        cost.idle();
        ListCost.allocated(() -> work.accept(cost), TIMES);
        return ListCost.allocated(() -> work.accept(cost), TIMES);
    }

    // More bytes may be allocated only by so much: any list or array of all servers would show.
    private static void growsLittle(Consumer<ListCost> work) {
        long small = bytes(SMALL, work);
        long large = bytes(LARGE, work);
        assertTrue(
                large <= FACTOR * small + 512,
                small + " bytes at " + SMALL + ", " + large + " at " + LARGE);
    }

    @Test
    void anIdleLookAllocatesAsMuchForAnyList() {
        growsLittle(ListCost::idle);
    }

    @Test
    void aChangedEntryAllocatesAsMuchForAnyList() {
        growsLittle(ListCost::change);
    }

    @Test
    void aRequestAfterAChangeAllocatesAsMuchForAnyList() {
        growsLittle(
                cost -> {
                    cost.change();
                    cost.request();
                });
    }

    /** Servers that an idle look meets: none, of 14,000 that were never sent to. */
    @Test
    void anIdleLookMeetsNoOrdinaryServer() {
        Roster roster = new Roster(ListCost.settings(), new SplittableRandom(1));
        roster.update(ListCost.fleet(LARGE), false, 0, line -> {});
        roster.tidy(n -> true, 0);
        int[] met = {0};
        roster.tidy(
                n -> {
                    met[0]++;
                    return true;
                },
                0);
        roster.share(
                zone -> 1,
                n -> {
                    met[0]++;
                    return 1;
                });
        roster.tallies(
                n -> {
                    met[0]++;
                    return false;
                },
                zone -> 0);
        assertTrue(met[0] == 0 && roster.watched().isEmpty(), met[0] + " met");
    }

    /** Points of the ring that one changed entry moves: its own. */
    @Test
    void aChangedEntryMovesItsOwnPointsOnly() {
        Roster roster = new Roster(ListCost.settings(), new SplittableRandom(1));
        roster.update(ListCost.fleet(LARGE), false, 0, line -> {});
        List<Node> all = List.copyOf(roster.listed());
        int[] before = all.stream().mapToInt(n -> n.points).toArray();
        long moves = roster.ring().moves();
        roster.update(List.of(all.get(77).server.in(Policy.State.DRAINING)), true, 0, line -> {});
        List<Integer> moved =
                IntStream.range(0, LARGE)
                        .filter(i -> all.get(i).points != before[i])
                        .boxed()
                        .toList();
        assertTrue(moved.equals(List.of(77)), moved + " moved");
        assertTrue(
                roster.ring().moves() - moves == before[77],
                roster.ring().moves() - moves + " points moved");
    }

    /**
     * Servers that a walk from home meets: little more than it asks for, also when the list has
     * changed.
     */
    @Test
    void aWalkFromHomeMeetsFewServersBeyondItsOwn() {
        Roster roster = new Roster(ListCost.settings(), new SplittableRandom(1));
        roster.update(ListCost.fleet(LARGE), false, 0, line -> {});
        Iterator<Node> walk = roster.ring().fromHome();
        Node first = walk.next();
        assertTrue(marked(roster) <= 2 * WALKED, marked(roster) + " met");
        roster.update(List.of(first.server.in(Policy.State.DRAINING)), true, 0, line -> {});
        walk = roster.ring().fromHome();
        for (int i = 0; i < WALKED; i++) {
            walk.next();
        }
        assertTrue(marked(roster) <= 2 * WALKED, marked(roster) + " met");
    }

    private static long marked(Roster roster) {
        int last = roster.listed().stream().mapToInt(n -> n.near).max().getAsInt();
        return roster.listed().stream().filter(n -> n.near == last).count();
    }

    @Test
    void aServerTakesFewBytesOfLiveHeap() {
        // Loads what is needed once
        ListCost.liveEach(SMALL);
        long each = ListCost.liveEach(LARGE);
        assertTrue(each > 0 && each <= 600, each + " bytes for each server");
    }
}
