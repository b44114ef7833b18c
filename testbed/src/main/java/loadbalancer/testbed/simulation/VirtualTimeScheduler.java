package loadbalancer.testbed.simulation;

import java.util.function.IntConsumer;
import java.util.function.IntToLongFunction;
import loadbalancer.testbed.workload.RunClock;

/**
 * The virtual clock and the event scheduler of a simulation. Events run in order of time, and
 * events at the same time in the order in which they were scheduled. Used only by the thread that
 * runs the simulation.
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

    /** Returns the number of events that have run. */
    public long processedEvents() {
        return processedEvents;
    }

    @Override
    public void schedule(long timeMicros, Runnable event) {
        queue.add(Math.max(nowMicros, timeMicros), nextSequence++, event);
    }

    /**
     * Schedules a series of events. They are ordered as if all were scheduled now, but only the
     * next event of the series is in the queue.
     *
     * @param timeOf returns the time of an event in µs by its index; must not decrease
     * @param event runs with the index of the event
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

    /** Runs all events up to and including a time in µs, and advances the clock to it. */
    public void runUntil(long endMicros) {
        while (!queue.isEmpty() && queue.nextTimeMicros() <= endMicros) {
            nowMicros = queue.nextTimeMicros();
            processedEvents++;
            queue.poll().run();
        }
        nowMicros = Math.max(nowMicros, endMicros);
    }
}
