package loadbalancer.testbed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loadbalancer.membership.MemberStatus;
import loadbalancer.membership.MemberUpdate;
import org.junit.jupiter.api.Test;

/** Tests that a detection counts once for each observer that had to detect the event. */
class DetectionTrackerTest {
    private final DetectionTracker tracker = new DetectionTracker(4);

    @Test
    void eachObserverCountsOnce() {
        tracker.memberDied(0, 100, observer -> observer != 3);
        tracker.onMemberUpdate(1, new MemberUpdate(0, MemberStatus.SUSPECTED, 5), 200);
        tracker.onMemberUpdate(1, new MemberUpdate(0, MemberStatus.DEAD, 5), 300);
        tracker.onMemberUpdate(1, new MemberUpdate(0, MemberStatus.DEAD, 6), 900);
        tracker.onMemberUpdate(3, new MemberUpdate(0, MemberStatus.DEAD, 5), 300);
        assertEquals(1, tracker.deathDetectionMicros().getTotalCount());
        assertEquals(200, tracker.deathDetectionMicros().getMaxValue());
        assertEquals(1, tracker.undetectedDeaths());
        tracker.observerStopped(2);
        assertEquals(0, tracker.undetectedDeaths());
    }

    @Test
    void returnCountsOnlyForObserversOfDeath() {
        tracker.memberDied(0, 100, observer -> true);
        tracker.onMemberUpdate(1, new MemberUpdate(0, MemberStatus.LEFT, 5), 150);
        tracker.onMemberUpdate(2, new MemberUpdate(0, MemberStatus.LEFT, 5), 160);
        tracker.observerStopped(2);
        tracker.observerStarted(2, 200);
        tracker.memberReturned(0, 300, 9, observer -> true);
        // Observer 3 had not detected the death.
        assertEquals(1, tracker.supersededDeaths());
        // An update of the earlier incarnation is not a return.
        tracker.onMemberUpdate(1, new MemberUpdate(0, MemberStatus.ALIVE, 8), 310);
        assertEquals(1, tracker.undetectedReturns());
        tracker.onMemberUpdate(1, new MemberUpdate(0, MemberStatus.ALIVE, 9), 400);
        tracker.onMemberUpdate(2, new MemberUpdate(0, MemberStatus.ALIVE, 9), 400);
        tracker.onMemberUpdate(3, new MemberUpdate(0, MemberStatus.ALIVE, 9), 400);
        assertEquals(1, tracker.returnDetectionMicros().getTotalCount());
        assertEquals(100, tracker.returnDetectionMicros().getMaxValue());
        assertEquals(0, tracker.undetectedReturns());
    }
}
