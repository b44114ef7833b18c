package junctionhead;

import java.util.SplittableRandom;

/**
 * When to ask discovery for the list (again): nobody waits for an answer that may never come. A
 * change counts as told 6 s after discovery had it and could be reached, whatever became of calls
 * meanwhile. So what may come one after the other is bounded by that time together: a watch that
 * falls silent (3 s until that is seen, and 0.7 s for a call, in net/Discovery), a call that is
 * given up, one that is refused, and the pauses after each.
 */
final class Subscription {
    // µs after a failure, at most; doubles
    private static final long PAUSE_FIRST = 200_000;
    private static final long PAUSE_MOST = 1_400_000;
    private static final int DOUBLINGS = 3;
    // Where nobody tells that a call has failed
    private static final long ANSWER_MOST = 4_000_000;

    // µs in which an answer must be had
    private final long within;
    private final SplittableRandom random;
    // When to ask
    private long at = Long.MAX_VALUE;
    // In a row
    private int failures;

    Subscription(long within, SplittableRandom random) {
        this.within = within;
        this.random = random;
    }

    boolean isDue(long now) {
        return now >= at;
    }

    /** Discovery failed; returns how often in a row. */
    int failed(long now) {
        long most = Math.min(PAUSE_MOST, PAUSE_FIRST << Math.min(DOUBLINGS, failures++));
        long pause = Math.min(within / 2, most);
        at = Math.min(at, now + pause / 2 + random.nextLong(Math.max(1, pause / 2)));
        return failures;
    }

    void answered() {
        failures = 0;
        at = Long.MAX_VALUE;
    }

    /** Subscribes; asks again if nothing answers. */
    void ask(long now, Policy.Actions out) {
        long most = Math.min(within / 2, ANSWER_MOST);
        at = now + most + random.nextLong(1 + most / 8);
        out.watch(true);
    }
}
