package loadbalancer.testbed.capacity;

import java.util.Arrays;
import java.util.BitSet;
import java.util.function.IntPredicate;
import loadbalancer.membership.MemberStatus;
import loadbalancer.membership.MemberUpdate;
import org.HdrHistogram.Histogram;

/**
 * Records how long each balancer takes to detect the death or the return of each other balancer.
 * Thread-safe, since balancers on sockets run on several threads.
 */
final class DetectionTracker {
    private final PendingDetection[] deaths;
    private final PendingDetection[] returns;
    // Start of the current process of each balancer
    private final long[] startedAtMicros;
    private long supersededDeaths;
    private final Histogram deathDetectionMicros = new Histogram(3);
    private final Histogram returnDetectionMicros = new Histogram(3);

    /** Holds the observers that have not yet detected the last event of one member. */
    private static final class PendingDetection {
        private BitSet pendingObservers = new BitSet();
        private long eventMicros;
        private long incarnation;
    }

    /** Creates a tracker for balancers that have no process yet. */
    DetectionTracker(int balancerCount) {
        deaths = new PendingDetection[balancerCount];
        returns = new PendingDetection[balancerCount];
        startedAtMicros = new long[balancerCount];
        Arrays.setAll(deaths, i -> new PendingDetection());
        Arrays.setAll(returns, i -> new PendingDetection());
    }

    /** Records that a member has ended, or has become unreachable for the given observers. */
    synchronized void memberDied(int member, long nowMicros, IntPredicate observers) {
        returns[member].pendingObservers.clear();
        PendingDetection death = deaths[member];
        death.eventMicros = nowMicros;
        for (int observer = 0; observer < deaths.length; observer++) {
            death.pendingObservers.set(observer, observer != member && observers.test(observer));
        }
    }

    /** Records the start of an observer's process, which need not detect earlier events. */
    synchronized void observerStarted(int observer, long nowMicros) {
        startedAtMicros[observer] = nowMicros;
    }

    /** Records the end of an observer's process, which makes no further detections. */
    synchronized void observerStopped(int observer) {
        for (int member = 0; member < deaths.length; member++) {
            deaths[member].pendingObservers.clear(observer);
            returns[member].pendingObservers.clear(observer);
        }
    }

    /**
     * Records that a member has returned, and expects those of the given observers that detected
     * its death to detect the return.
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

    /** Handles an update of an observer's view, which may be the detection of an event. */
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

    /**
     * Returns the number of pairs of a dead member and an observer that has not detected its death.
     */
    synchronized long undetectedDeaths() {
        return Arrays.stream(deaths)
                .mapToLong(pending -> pending.pendingObservers.cardinality())
                .sum();
    }

    /**
     * Returns the number of pairs of a member and an observer in which the member returned before
     * the observer had detected its death.
     */
    synchronized long supersededDeaths() {
        return supersededDeaths;
    }

    /**
     * Returns the number of pairs of a returned member and an observer that still considers it
     * dead.
     */
    synchronized long undetectedReturns() {
        return Arrays.stream(returns)
                .mapToLong(pending -> pending.pendingObservers.cardinality())
                .sum();
    }

    /** Returns the times from deaths until their detection by one observer, µs. */
    synchronized Histogram deathDetectionMicros() {
        return deathDetectionMicros.copy();
    }

    /** Returns the times from returns until their detection by one observer, µs. */
    synchronized Histogram returnDetectionMicros() {
        return returnDetectionMicros.copy();
    }
}
