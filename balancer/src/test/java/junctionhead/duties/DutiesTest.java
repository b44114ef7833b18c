package junctionhead.duties;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class DutiesTest {
    private static final Terms TERMS = Terms.USUAL;
    private static final long MS = 1_000;

    /** Members whose messages come at once, unless one is out; whose disks are as fast. */
    private static final class Fleet {
        final Duties[] members;
        final boolean[] out;
        final List<List<Promise>> kept = new ArrayList<>();
        long now = 1_000_000;

        Fleet(int size) {
            members = new Duties[size];
            out = new boolean[size];
            for (int m = 0; m < size; m++) {
                kept.add(null);
                start(m, true);
            }
        }

        void start(int m, boolean durable) {
            members[m] =
                    new Duties(
                            m,
                            members.length,
                            TERMS,
                            kept.get(m),
                            durable,
                            now / 1000,
                            now + m,
                            now);
            out[m] = false;
            seen();
        }

        void seen() {
            for (int m = 0; m < members.length; m++) {
                if (!out[m] && members[m] != null) {
                    act(m, members[m].present(now, who -> !out[who]));
                }
            }
        }

        void act(int m, List<Duties.Act> acts) {
            for (Duties.Act act : acts) {
                if (act instanceof Duties.Send send
                        && members[send.to()] != null
                        && !out[send.to()]
                        && !out[m]) {
                    act(
                            send.to(),
                            members[send.to()].heard(now, m, Word.decode(send.word().encode())));
                } else if (act instanceof Duties.Keep keep) {
                    kept.set(m, Promise.decode(Promise.encode(keep.promises()), TERMS.slots()));
                    act(m, members[m].kept(now, keep.number(), true));
                }
            }
        }

        void pass(long time) {
            for (long until = now + time; now < until; now += 10 * MS) {
                for (int m = 0; m < members.length; m++) {
                    if (!out[m]) {
                        act(m, members[m].tick(now));
                    }
                }
            }
        }

        int[] holders(int slot) {
            return IntStream.range(0, members.length)
                    .filter(m -> members[m].hold(now, slot) != null)
                    .toArray();
        }
    }

    @Test
    void nobodyHoldsAnythingForALeaseAndThenEachSlotHasItsOneHolder() {
        Fleet fleet = new Fleet(5);
        fleet.pass(TERMS.lease() - 100 * MS);
        assertEquals(0, IntStream.range(0, TERMS.slots()).map(s -> fleet.holders(s).length).sum());
        fleet.pass(1_000 * MS);
        for (int s = 0; s < TERMS.slots(); s++) {
            assertArrayEquals(
                    new int[] {Spread.holder(s, 5, m -> true)}, fleet.holders(s), "slot " + s);
        }
    }

    @Test
    void whoIsCutOffStopsBeforeAnybodyElseMayBegin() {
        Fleet fleet = new Fleet(5);
        fleet.pass(3_000 * MS);
        int slot = 0;
        int before = fleet.holders(slot)[0];
        Duties.Hold hold = fleet.members[before].hold(fleet.now, slot);
        // It runs on, and nobody hears it
        fleet.out[before] = true;
        fleet.seen();
        long ended = -1;
        while (fleet.holders(slot).length > 0 && fleet.holders(slot)[0] == before) {
            ended = fleet.now;
            fleet.pass(10 * MS);
        }
        assertTrue(ended < hold.until() && hold.until() - ended <= 10 * MS, ended + " of " + hold);
        fleet.pass(TERMS.lease());
        int next = fleet.holders(slot)[0];
        assertEquals(Spread.holder(slot, 5, m -> m != before), next);
        assertTrue(fleet.members[next].hold(fleet.now, slot).epoch() > hold.epoch());
        assertFalse(fleet.members[next].fence().passes(slot, hold.epoch()));
    }

    @Test
    void whoLeavesInOrderIsFollowedAtOnce() {
        Fleet fleet = new Fleet(5);
        fleet.pass(3_000 * MS);
        int before = fleet.holders(0)[0];
        fleet.act(before, fleet.members[before].leave(fleet.now));
        // The others' views don't know it yet
        fleet.out[before] = true;
        fleet.pass(50 * MS);
        assertArrayEquals(new int[] {Spread.holder(0, 5, m -> m != before)}, fleet.holders(0));
        assertEquals(List.of(), fleet.members[before].tick(fleet.now));
    }

    @Test
    void whoRestsPassesOnWhatItHoldsAndGetsItBackAfterwards() {
        Fleet fleet = new Fleet(5);
        fleet.pass(3_000 * MS);
        int before = fleet.holders(0)[0];
        int next = Spread.holder(0, 5, m -> m != before);
        fleet.act(before, fleet.members[before].rest(fleet.now, true));
        fleet.pass(50 * MS);
        assertArrayEquals(new int[] {next}, fleet.holders(0));
        // All hold it present, and nobody waits for it
        fleet.pass(20_000 * MS);
        assertArrayEquals(new int[] {next}, fleet.holders(0));
        fleet.out[next] = true;
        fleet.seen();
        // The next one dies: it still rests
        fleet.pass(2 * TERMS.lease());
        assertArrayEquals(
                new int[] {Spread.holder(0, 5, m -> m != before && m != next)}, fleet.holders(0));
        fleet.act(before, fleet.members[before].rest(fleet.now, false));
        fleet.pass(3 * TERMS.settle());
        assertArrayEquals(new int[] {before}, fleet.holders(0));
    }

    @Test
    void withoutAMajorityNobodyHoldsAnythingAndLaterSomebodyDoes() {
        Fleet fleet = new Fleet(4);
        fleet.pass(3_000 * MS);
        fleet.out[0] = true;
        fleet.out[1] = true;
        fleet.seen();
        fleet.pass(2 * TERMS.lease());
        assertEquals(0, IntStream.range(0, TERMS.slots()).map(s -> fleet.holders(s).length).sum());
        fleet.start(0, true);
        fleet.pass(2 * TERMS.lease());
        assertEquals(
                TERMS.slots(),
                IntStream.range(0, TERMS.slots()).map(s -> fleet.holders(s).length).sum());
    }

    @Test
    void oneThatIsBackGetsItsSlotsInOrderAfterAWhile() {
        Fleet fleet = new Fleet(5);
        fleet.pass(3_000 * MS);
        int first = fleet.holders(0)[0];
        fleet.out[first] = true;
        fleet.seen();
        fleet.pass(2 * TERMS.lease());
        int second = fleet.holders(0)[0];
        fleet.start(first, true);
        fleet.pass(TERMS.settle() - 100 * MS);
        assertArrayEquals(new int[] {second}, fleet.holders(0));
        fleet.pass(300 * MS);
        assertArrayEquals(new int[] {first}, fleet.holders(0));
    }

    /**
     * A promise that is not kept yet is not told, and none whose keeping failed; one that is kept
     * binds after a crash.
     */
    @Test
    void promisesAreKeptBeforeTheyAreTold() {
        Duties voter = new Duties(0, 3, TERMS, null, true, 5, 1, 0);
        long now = TERMS.lease();
        Word ask = new Word(Word.Kind.ASK, 7, 1, List.of(new Word.Entry(3, 100)));
        List<Duties.Act> acts = voter.heard(now, 1, ask);
        Duties.Keep keep =
                (Duties.Keep)
                        acts.stream().filter(Duties.Keep.class::isInstance).findAny().orElseThrow();
        assertTrue(granted(acts).isEmpty());
        assertTrue(granted(voter.heard(now + 1, 1, ask)).isEmpty());
        assertTrue(granted(voter.kept(now + 2, keep.number(), false)).isEmpty());
        Duties.Keep again =
                (Duties.Keep)
                        voter.tick(now + 2_000 * MS).stream()
                                .filter(Duties.Keep.class::isInstance)
                                .findAny()
                                .orElseThrow();
        assertEquals(List.of(1), granted(voter.kept(now + 2_001 * MS, again.number(), true)));

        Duties later = new Duties(0, 3, TERMS, again.promises(), true, 5, 2, 0);
        Word same = new Word(Word.Kind.ASK, 8, 1, List.of(new Word.Entry(3, 100)));
        assertTrue(later.heard(now, 2, same).stream().noneMatch(Duties.Keep.class::isInstance));
        assertTrue(granted(later.heard(now, 2, same)).isEmpty());
    }

    private static List<Integer> granted(List<Duties.Act> acts) {
        return acts.stream()
                .filter(a -> a instanceof Duties.Send s && s.word().kind() == Word.Kind.GRANTED)
                .map(a -> ((Duties.Send) a).to())
                .toList();
    }

    // ------------------------------------------------------------ where things belong

    @Test
    void votersDependOnTheConfigurationAloneAndLittleMovesWhenOneLeaves() {
        int moved = 0;
        for (int s = 0; s < 200; s++) {
            assertEquals(9, Spread.voters(s, 40, 9).length);
            assertArrayEquals(new int[] {0, 1, 2}, Spread.voters(s, 3, 9));
            int holder = Spread.holder(s, 40, m -> true);
            int without = Spread.holder(s, 40, m -> m != 17);
            assertEquals(holder == 17, without != holder);
            moved += without != holder ? 1 : 0;
        }
        assertTrue(moved < 20, moved + " of 200 moved");
        assertEquals(-1, Spread.holder(0, 4, m -> false));
        assertEquals(Spread.slot("fleet-record", 32), Spread.slot("fleet-record", 32));
    }

    // ------------------------------------------------------------ datagrams and promises as bytes

    @Test
    void wordsFitInADatagramAndAnyBytesAreReadOrPassedOver() {
        List<Word.Entry> most =
                IntStream.range(0, Word.ENTRIES_MOST)
                        .mapToObj(i -> new Word.Entry(i, Word.EPOCH_MOST - i))
                        .toList();
        Word word = new Word(Word.Kind.PASS, Word.PROCESSES - 1, -7, most);
        assertTrue(word.encode().length <= 256);
        assertEquals(word, Word.decode(word.encode()));
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new Word(
                                Word.Kind.ASK,
                                0,
                                0,
                                IntStream.rangeClosed(0, Word.ENTRIES_MOST)
                                        .mapToObj(i -> new Word.Entry(i, 0))
                                        .toList()));
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new Word(
                                Word.Kind.ASK,
                                0,
                                0,
                                List.of(new Word.Entry(0, Word.EPOCH_MOST + 1))));
        assertNull(Word.decode(Arrays.copyOf(word.encode(), 20)));
        assertNull(Word.decode(new byte[0]));
        SplittableRandom random = new SplittableRandom(1);
        Duties member = new Duties(0, 3, TERMS, null, false, 5, 1, 0);
        int read = 0;
        for (int i = 0; i < 200_000; i++) {
            byte[] junk = new byte[random.nextInt(60)];
            random.nextBytes(junk);
            if (junk.length > 2) {
                junk[0] = Word.FORMAT;
                junk[1] = (byte) random.nextInt(9);
            }
            Word heard = Word.decode(junk);
            if (heard != null) {
                read++;
                assertArrayEquals(junk, heard.encode());
                assertTrue(member.heard(i * MS, 1 + i % 2, heard).size() <= 8);
            }
        }
        assertTrue(read > 1_000, read + " read");
    }

    @Test
    void damagedPromisesAreNone() {
        List<Promise> promises = List.of(new Promise(3, -1), new Promise(9, 4));
        byte[] bytes = Promise.encode(promises);
        assertEquals(promises, Promise.decode(bytes, 2));
        assertNull(Promise.decode(bytes, 3));
        assertNull(Promise.decode(null, 2));
        bytes[0] = -1;
        assertNull(Promise.decode(bytes, 2));
        assertNotNull(new Duties(0, 1, TERMS, null, false, 0, 1, 0));
        assertThrows(
                IllegalArgumentException.class,
                () -> new Duties(0, 1, TERMS, promises, false, 0, 1, 0));
    }
}
