package junctionhead;

import java.util.SplittableRandom;

/** When to ask discovery for the list (again): nobody waits for an answer that may never come. */
final class Subscription {
    private static final long PAUSE_FIRST = 500_000;    // µs after a failure, as a mean; doubles
    private static final int DOUBLINGS = 4;

    private final long within;                          // µs in which an answer must be had
    private final SplittableRandom random;
    private long at = Long.MAX_VALUE;                   // when to ask
    private int failures;                               // in a row

    Subscription(long within, SplittableRandom random) {
        this.within = within;
        this.random = random;
    }

    boolean isDue(long now) {
        return now >= at;
    }

    /** Discovery failed; returns how often in a row. */
    int failed(long now) {
        long pause = Math.min(within / 2, PAUSE_FIRST << Math.min(DOUBLINGS, failures++));
        at = Math.min(at, now + pause / 2 + random.nextLong(Math.max(1, pause)));
        return failures;
    }

    void answered() {
        failures = 0;
        at = Long.MAX_VALUE;
    }

    /** Subscribes; asks again if nothing answers. */
    void ask(long now, Policy.Actions out) {
        at = now + within / 2 + random.nextLong(1 + within / 8);
        out.watch(true);
    }
}
