package junctionhead.lab.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Simulated time: what comes when, whatever it is kept in. */
class TimelineTest {
    private record Entry(long at, long number) {}

    @Test
    void whatIsDueComesInOrderOfTimeAndThenOfAsking() {
        SplittableRandom random = new SplittableRandom(7);
        PriorityQueue<Entry> plain =
                new PriorityQueue<>(
                        Comparator.comparingLong(Entry::at).thenComparingLong(Entry::number));
        EventQueue queue = new EventQueue();
        List<Long> got = new ArrayList<>();
        List<Long> wanted = new ArrayList<>();
        for (long number = 0; number < 50_000; number++) {
            // Many at one time
            long at = random.nextInt(500);
            long mine = number;
            queue.add(at, number, () -> got.add(mine));
            plain.add(new Entry(at, number));
            if (random.nextInt(3) == 0) {
                assertEquals(plain.peek().at, queue.firstAt());
                queue.poll().run();
                wanted.add(plain.poll().number);
            }
        }
        while (!queue.isEmpty()) {
            queue.poll().run();
            wanted.add(plain.poll().number);
        }
        assertTrue(plain.isEmpty());
        assertEquals(wanted, got);
    }

    @Test
    void aSeriesComesAsIfEachPartHadBeenAskedForAtOnce() {
        Timeline time = new Timeline();
        List<String> seen = new ArrayList<>();
        time.at(5, () -> seen.add("before"));
        long[] at = {5, 5, 7};
        time.series(
                at.length,
                i -> at[i],
                i -> {
                    seen.add("part " + i);
                    time.after(0, () -> seen.add("of part " + i));
                });
        time.at(5, () -> seen.add("after"));
        time.at(7, () -> seen.add("last"));
        time.run(6);
        assertEquals(
                List.of("before", "part 0", "part 1", "after", "of part 0", "of part 1"), seen);
        time.run(7);
        assertEquals(List.of("part 2", "last", "of part 2"), seen.subList(6, 9));
    }
}
