package loadbalancer.testbed.footprint;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Schedules events at a constant rate: event {@code n} is due {@code n} periods after the creation,
 * even if earlier events were late. Used by one thread.
 */
final class Pacer {
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final int eventsPerSecond;
    private final long startNanos = System.nanoTime();

    /** Creates a schedule whose first event is due now. */
    Pacer(int eventsPerSecond) {
        this.eventsPerSecond = eventsPerSecond;
    }

    /**
     * Waits until an event is due. Ends early if {@code stopped} is true when the thread wakes up.
     *
     * @param number the number of the event, from 0
     * @return the time at which the event is due, on the clock of {@link System#nanoTime}
     */
    long awaitDue(long number, BooleanSupplier stopped) {
        long dueNanos = startNanos + number * NANOS_PER_SECOND / eventsPerSecond;
        while (System.nanoTime() < dueNanos && !stopped.getAsBoolean()) {
            LockSupport.parkNanos(dueNanos - System.nanoTime());
        }
        return dueNanos;
    }
}
