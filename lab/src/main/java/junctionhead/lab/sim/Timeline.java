package junctionhead.lab.sim;

import java.util.function.IntConsumer;
import java.util.function.IntToLongFunction;

/**
 * Simulated time: things happen in order of time, and at one time in the order in which they were
 * asked for.
 */
public final class Timeline {
    private final EventQueue queue = new EventQueue();
    private long now;
    private long number;
    private long played;

    /** µs. */
    public long now() {
        return now;
    }

    /** Things that have happened. */
    public long played() {
        return played;
    }

    /** At that time, or now where it has passed. */
    public void at(long time, Runnable what) {
        queue.add(Math.max(now, time), number++, what);
    }

    public void after(long delay, Runnable what) {
        at(now + delay, what);
    }

    /**
     * As if each of so many things, in order of time, had been asked for now; only the next one
     * waits.
     */
    void series(int count, IntToLongFunction at, IntConsumer what) {
        long first = number;
        number += count;
        next(0, count, first, at, what);
    }

    private void next(int i, int count, long first, IntToLongFunction at, IntConsumer what) {
        if (i < count) {
            queue.add(
                    Math.max(now, at.applyAsLong(i)),
                    first + i,
                    () -> {
                        next(i + 1, count, first, at, what);
                        what.accept(i);
                    });
        }
    }

    /** Plays all that happens up to a time, that included. */
    public void run(long until) {
        while (!queue.isEmpty() && queue.firstAt() <= until) {
            now = queue.firstAt();
            played++;
            queue.poll().run();
        }
        now = Math.max(now, until);
    }
}
