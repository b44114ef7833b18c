package junctionhead.lab.capacity;

import java.util.Arrays;
import java.util.BitSet;
import java.util.function.IntPredicate;
import junctionhead.membership.News;
import junctionhead.membership.Status;
import org.HdrHistogram.Histogram;

/**
 * How soon each balancer that should know of a death or a return does. Safe for use by several
 * threads, as balancers on sockets have theirs.
 */
final class Notices {
    private final Awaited[] deaths;
    private final Awaited[] returns;
    // Of each observer's present process
    private final long[] bornAt;
    private long overtaken;
    private final Histogram deathTimes = new Histogram(3);
    private final Histogram returnTimes = new Histogram(3);

    /** Who of the others has not yet seen what happened to one at {@code at}. */
    private static final class Awaited {
        private BitSet by = new BitSet();
        private long at;
        private long incarnation;
    }

    Notices(int balancers) {
        deaths = new Awaited[balancers];
        returns = new Awaited[balancers];
        bornAt = new long[balancers];
        Arrays.setAll(deaths, i -> new Awaited());
        Arrays.setAll(returns, i -> new Awaited());
    }

    /** One is gone, or out of reach, for those that {@code observers} accepts. */
    synchronized void gone(int member, long now, IntPredicate observers) {
        returns[member].by.clear();
        Awaited death = deaths[member];
        death.at = now;
        for (int i = 0; i < deaths.length; i++) {
            death.by.set(i, i != member && observers.test(i));
        }
    }

    /** A process of an observer starts: what happened before, it has nothing to learn of. */
    synchronized void born(int observer, long now) {
        bornAt[observer] = now;
    }

    /** One that ended no longer looks at others. */
    synchronized void blind(int observer) {
        for (int m = 0; m < deaths.length; m++) {
            deaths[m].by.clear(observer);
            returns[m].by.clear(observer);
        }
    }

    /**
     * One is back, for those of {@code observers} that knew that it was gone; others learn nothing.
     */
    synchronized void back(int member, long now, long incarnation, IntPredicate observers) {
        Awaited back = returns[member];
        back.at = now;
        back.incarnation = incarnation;
        for (int i = 0; i < returns.length; i++) {
            back.by.set(
                    i,
                    i != member
                            && observers.test(i)
                            && !deaths[member].by.get(i)
                            && bornAt[i] < deaths[member].at);
        }
        overtaken += deaths[member].by.cardinality();
        deaths[member].by.clear();
    }

    synchronized void seen(int by, News news, long now) {
        if (news.status() == Status.DEAD || news.status() == Status.LEFT) {
            note(deaths[news.member()], by, now, deathTimes);
        } else if (news.status() == Status.ALIVE
                && news.incarnation() >= returns[news.member()].incarnation) {
            note(returns[news.member()], by, now, returnTimes);
        }
    }

    private static void note(Awaited of, int by, long now, Histogram times) {
        if (of.by.get(by)) {
            of.by.clear(by);
            times.recordValue(now - of.at);
        }
    }

    /** Pairs of one that is gone and one that does not know it yet. */
    synchronized long deathsUnknown() {
        return Arrays.stream(deaths).mapToLong(a -> a.by.cardinality()).sum();
    }

    /** Pairs of one that was back before the other knew that it was gone. */
    synchronized long overtaken() {
        return overtaken;
    }

    /** Pairs of one that is back and one that knew it gone and does not know that it is back. */
    synchronized long returnsUnknown() {
        return Arrays.stream(returns).mapToLong(a -> a.by.cardinality()).sum();
    }

    /** µs, of pairs. */
    synchronized Histogram deathTimes() {
        return deathTimes.copy();
    }

    synchronized Histogram returnTimes() {
        return returnTimes.copy();
    }
}
