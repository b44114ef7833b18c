package loadbalancer.testbed.simulation;

import java.util.function.IntConsumer;
import java.util.function.IntToLongFunction;

/**
 * Simulated time: things happen in order of time, and at one time in the order in which they were
 * asked for.
 */
public final class VirtualTimeScheduler {
    private final EventQueue queue = new EventQueue();
    private long nowMicros;
    private long nextSequence;
    private long processedEvents;

    /** µs. */
    public long nowMicros() {
        return nowMicros;
    }

    /** Things that have happened. */
    public long processedEvents() {
        return processedEvents;
    }

    /** At that time, or now where it has passed. */
    public void schedule(long timeMicros, Runnable event) {
        queue.add(Math.max(nowMicros, timeMicros), nextSequence++, event);
    }

    public void scheduleAfter(long delayMicros, Runnable event) {
        schedule(nowMicros + delayMicros, event);
    }

    /**
     * As if each of so many things, in order of time, had been asked for now; only the next one
     * waits.
     */
    void scheduleSeries(int count, IntToLongFunction timeOf, IntConsumer event) {
        long firstSequence = nextSequence;
        nextSequence += count;
        scheduleNext(0, count, firstSequence, timeOf, event);
    }

    private void scheduleNext(
            int index, int count, long firstSequence, IntToLongFunction timeOf, IntConsumer event) {
        if (index < count) {
            queue.add(
                    Math.max(nowMicros, timeOf.applyAsLong(index)),
                    firstSequence + index,
                    () -> {
                        scheduleNext(index + 1, count, firstSequence, timeOf, event);
                        event.accept(index);
                    });
        }
    }

    /** Plays all that happens up to a time, that included. */
    public void runUntil(long endMicros) {
        while (!queue.isEmpty() && queue.nextTimeMicros() <= endMicros) {
            nowMicros = queue.nextTimeMicros();
            processedEvents++;
            queue.poll().run();
        }
        nowMicros = Math.max(nowMicros, endMicros);
    }
}
