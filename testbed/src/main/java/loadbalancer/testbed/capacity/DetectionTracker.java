package loadbalancer.testbed.capacity;

import java.util.Arrays;
import java.util.BitSet;
import java.util.function.IntPredicate;
import loadbalancer.membership.MemberStatus;
import loadbalancer.membership.MemberUpdate;
import org.HdrHistogram.Histogram;

/**
 * How soon each balancer that should know of a death or a return does. Safe for use by several
 * threads, as balancers on sockets have theirs.
 */
final class DetectionTracker {
    private final PendingDetection[] deaths;
    private final PendingDetection[] returns;
    // Of each observer's present process
    private final long[] startedAtMicros;
    private long supersededDeaths;
    private final Histogram deathDetectionMicros = new Histogram(3);
    private final Histogram returnDetectionMicros = new Histogram(3);

    /** Who of the others has not yet seen what happened to one at {@code at}. */
    private static final class PendingDetection {
        private BitSet pendingObservers = new BitSet();
        private long eventMicros;
        private long incarnation;
    }

    DetectionTracker(int balancerCount) {
        deaths = new PendingDetection[balancerCount];
        returns = new PendingDetection[balancerCount];
        startedAtMicros = new long[balancerCount];
        Arrays.setAll(deaths, i -> new PendingDetection());
        Arrays.setAll(returns, i -> new PendingDetection());
    }

    /** One is gone, or out of reach, for those that {@code observers} accepts. */
    synchronized void memberDied(int member, long nowMicros, IntPredicate observers) {
        returns[member].pendingObservers.clear();
        PendingDetection death = deaths[member];
        death.eventMicros = nowMicros;
        for (int observer = 0; observer < deaths.length; observer++) {
            death.pendingObservers.set(observer, observer != member && observers.test(observer));
        }
    }

    /** A process of an observer starts: what happened before, it has nothing to learn of. */
    synchronized void observerStarted(int observer, long nowMicros) {
        startedAtMicros[observer] = nowMicros;
    }

    /** One that ended no longer looks at others. */
    synchronized void observerStopped(int observer) {
        for (int member = 0; member < deaths.length; member++) {
            deaths[member].pendingObservers.clear(observer);
            returns[member].pendingObservers.clear(observer);
        }
    }

    /**
     * One is back, for those of {@code observers} that knew that it was gone; others learn nothing.
     */
    synchronized void memberReturned(
            int member, long nowMicros, long incarnation, IntPredicate observers) {
        PendingDetection memberReturn = returns[member];
        memberReturn.eventMicros = nowMicros;
        memberReturn.incarnation = incarnation;
        for (int observer = 0; observer < returns.length; observer++) {
            memberReturn.pendingObservers.set(
                    observer,
                    observer != member
                            && observers.test(observer)
                            && !deaths[member].pendingObservers.get(observer)
                            && startedAtMicros[observer] < deaths[member].eventMicros);
        }
        supersededDeaths += deaths[member].pendingObservers.cardinality();
        deaths[member].pendingObservers.clear();
    }

    synchronized void onMemberUpdate(int observer, MemberUpdate update, long nowMicros) {
        if (update.status() == MemberStatus.DEAD || update.status() == MemberStatus.LEFT) {
            recordDetection(deaths[update.member()], observer, nowMicros, deathDetectionMicros);
        } else if (update.status() == MemberStatus.ALIVE
                && update.incarnation() >= returns[update.member()].incarnation) {
            recordDetection(returns[update.member()], observer, nowMicros, returnDetectionMicros);
        }
    }

    private static void recordDetection(
            PendingDetection pending, int observer, long nowMicros, Histogram detectionMicros) {
        if (pending.pendingObservers.get(observer)) {
            pending.pendingObservers.clear(observer);
            detectionMicros.recordValue(nowMicros - pending.eventMicros);
        }
    }

    /** Pairs of one that is gone and one that does not know it yet. */
    synchronized long undetectedDeaths() {
        return Arrays.stream(deaths)
                .mapToLong(pending -> pending.pendingObservers.cardinality())
                .sum();
    }

    /** Pairs of one that was back before the other knew that it was gone. */
    synchronized long supersededDeaths() {
        return supersededDeaths;
    }

    /** Pairs of one that is back and one that knew it gone and does not know that it is back. */
    synchronized long undetectedReturns() {
        return Arrays.stream(returns)
                .mapToLong(pending -> pending.pendingObservers.cardinality())
                .sum();
    }

    /** µs, of pairs. */
    synchronized Histogram deathDetectionMicros() {
        return deathDetectionMicros.copy();
    }

    synchronized Histogram returnDetectionMicros() {
        return returnDetectionMicros.copy();
    }
}
