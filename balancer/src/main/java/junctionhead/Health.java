package junctionhead;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;

/**
 * Whether a server answers one class of requests. Guards against a server that fails one class and
 * serves the others: taken out as a whole its capacity was missing, and left in it went on failing
 * that class. By attempts, not by time: against seconds of good answers a busy server had to fail
 * dozens first.
 */
final class Health {
    // Weight of one attempt in the share that fails
    private static final double RECENT = 0.1;
    // At which it rests: two failures in some five
    private static final double SHARE = 0.15;
    // µs; doubles each time
    private static final long REST_FIRST = 1_000_000;
    // Up to 16 s
    private static final int REST_DOUBLINGS = 4;
    // µs that one waits for who found it failing
    private static final long AFTER_FINDER = 1_000_000;
    // Successes in a row that end a trial
    private static final int TRIALS_OK = 3;

    private double failing;
    private long restsUntil;
    // The same, where this balancer found it failing
    private long foundUntil;
    private int rests;
    // Successes still wanted, 0 = not on trial
    private int trial;
    private int out;

    boolean resting(long now) {
        return restsUntil > now;
    }

    /** While on trial it gets one attempt at a time. */
    boolean admits(long now) {
        return !resting(now) && (trial == 0 || out == 0);
    }

    void sent() {
        out++;
    }

    void ended() {
        out--;
    }

    /** {@code back} runs where this success ends a trial. */
    void served(Runnable back) {
        failing -= RECENT * failing;
        if (trial > 0 && --trial == 0) {
            rests = 0;
            failing = 0;
            back.run();
        }
    }

    /** Until when it rests for what this balancer has found itself. */
    long foundUntil() {
        return foundUntil;
    }

    /**
     * Another balancer has it rest: so does this one, and then tries it first. A while later than
     * the one that found it: that one's first trial tells all the others.
     */
    void heard(long until) {
        if (until > restsUntil) {
            restsUntil = until + AFTER_FINDER;
            trial = TRIALS_OK;
        }
    }

    /** {@code rest} is told the length, in µs, of a rest that begins with this failure. */
    void failed(long now, SplittableRandom random, LongConsumer rest) {
        failing += RECENT * (1 - failing);
        if (resting(now) || trial == 0 && failing <= SHARE) {
            return;
        }
        long length = REST_FIRST << Math.min(REST_DOUBLINGS, rests++);
        restsUntil = now + length + random.nextLong(length / 4);
        foundUntil = restsUntil;
        trial = TRIALS_OK;
        rest.accept(length);
    }

    /**
     * Bounds the rests: where most of all servers fail a class the fault is likely in its requests.
     */
    static boolean mostRest(List<Books.Node> watched, int all, int number, long now) {
        return 2 * watched.stream().filter(n -> n.classes[number].resting(now)).count() > all;
    }
}
