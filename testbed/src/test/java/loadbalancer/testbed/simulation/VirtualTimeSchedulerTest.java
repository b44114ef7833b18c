package loadbalancer.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the order of events in virtual time. */
class VirtualTimeSchedulerTest {
    private record ExpectedEvent(long atMicros, long sequence) {}

    @Test
    void eventsRunInTimeThenInsertionOrder() {
        SplittableRandom random = new SplittableRandom(7);
        PriorityQueue<ExpectedEvent> reference =
                new PriorityQueue<>(
                        Comparator.comparingLong(ExpectedEvent::atMicros)
                                .thenComparingLong(ExpectedEvent::sequence));
        EventQueue queue = new EventQueue();
        List<Long> actual = new ArrayList<>();
        List<Long> expected = new ArrayList<>();
        for (long sequence = 0; sequence < 50_000; sequence++) {
            // Many events have the same time.
            long atMicros = random.nextInt(500);
            long eventId = sequence;
            queue.add(atMicros, sequence, () -> actual.add(eventId));
            reference.add(new ExpectedEvent(atMicros, sequence));
            if (random.nextInt(3) == 0) {
                assertEquals(reference.peek().atMicros, queue.nextTimeMicros());
                queue.poll().run();
                expected.add(reference.poll().sequence);
            }
        }
        while (!queue.isEmpty()) {
            queue.poll().run();
            expected.add(reference.poll().sequence);
        }
        assertTrue(reference.isEmpty());
        assertEquals(expected, actual);
    }

    @Test
    void seriesRunsLikeSeparateEvents() {
        VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
        List<String> executed = new ArrayList<>();
        scheduler.schedule(5, () -> executed.add("before"));
        long[] times = {5, 5, 7};
        scheduler.scheduleSeries(
                times.length,
                i -> times[i],
                i -> {
                    executed.add("part " + i);
                    scheduler.scheduleAfter(0, () -> executed.add("of part " + i));
                });
        scheduler.schedule(5, () -> executed.add("after"));
        scheduler.schedule(7, () -> executed.add("last"));
        scheduler.runUntil(6);
        assertEquals(
                List.of("before", "part 0", "part 1", "after", "of part 0", "of part 1"), executed);
        scheduler.runUntil(7);
        assertEquals(List.of("part 2", "last", "of part 2"), executed.subList(6, 9));
    }
}
