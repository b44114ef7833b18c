package loadbalancer.testbed.simulation;

import java.util.function.IntConsumer;
import java.util.function.IntToLongFunction;
import loadbalancer.testbed.workload.RunClock;

/**
 * The virtual time of a simulation. Events run in order of time, and events of one time in the
 * order in which they were scheduled. Single-threaded.
 */
public final class VirtualTimeScheduler implements RunClock {
    private final EventQueue queue = new EventQueue();
    private long nowMicros;
    private long nextSequence;
    private long processedEvents;

    @Override
    public long nowMicros() {
        return nowMicros;
    }

    /** The number of events that have run. */
    public long processedEvents() {
        return processedEvents;
    }

    @Override
    public void schedule(long timeMicros, Runnable event) {
        queue.add(Math.max(nowMicros, timeMicros), nextSequence++, event);
    }

    /**
     * Schedules a series of events, ordered as if all were scheduled now, while only the next one
     * occupies the queue.
     *
     * @param timeOf time in µs by index, which must not decrease
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

    /** Runs all events up to a time in µs, inclusive. */
    public void runUntil(long endMicros) {
        while (!queue.isEmpty() && queue.nextTimeMicros() <= endMicros) {
            nowMicros = queue.nextTimeMicros();
            processedEvents++;
            queue.poll().run();
        }
        nowMicros = Math.max(nowMicros, endMicros);
    }
}
