package loadbalancer.testbed.invariant;

import static loadbalancer.testbed.invariant.EndedRun.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the checks of failure detection and of the final membership views. */
class MembershipAgreementInvariantTest {
    private final MembershipAgreementInvariant membershipAgreement =
            new MembershipAgreementInvariant(3, 2 * SECOND_MICROS, true);

    private void logStatus(int balancer, long atMicros, int member, Status status) {
        membershipAgreement.onLogLine(
                balancer,
                atMicros,
                "member status changed: member="
                        + member
                        + " status="
                        + status
                        + " incarnation=5 present=2 members=3");
    }

    private enum Status {
        ALIVE,
        DEAD
    }

    @Test
    void deathDetectedInTimeIsAccepted() {
        membershipAgreement.onProcessStopped(2, 5 * SECOND_MICROS, false);
        logStatus(0, 6 * SECOND_MICROS, 2, Status.DEAD);
        logStatus(1, 5 * SECOND_MICROS + 500_000, 2, Status.DEAD);
        membershipAgreement.onProcessStarted(2, 10 * SECOND_MICROS);
        logStatus(0, 11 * SECOND_MICROS, 2, Status.ALIVE);
        logStatus(1, 11 * SECOND_MICROS, 2, Status.ALIVE);
        assertEquals(List.of(), EndedRun.of(membershipAgreement).violations());
        assertEquals(
                1.0, EndedRun.of(membershipAgreement).metrics().get("members_noticed_p99_s"), 0.01);
        assertEquals(
                1.0, EndedRun.of(membershipAgreement).metrics().get("members_settled_s"), 0.01);
    }

    @Test
    void lateDeathDetectionIsFound() {
        membershipAgreement.onProcessStopped(2, 5 * SECOND_MICROS, false);
        logStatus(0, 7 * SECOND_MICROS, 2, Status.DEAD);
        logStatus(1, 7 * SECOND_MICROS + 1_000, 2, Status.DEAD);
        assertEquals(
                List.of("n1 detected the end of n2 only after 2001 ms"),
                EndedRun.of(membershipAgreement).violations());
    }

    @Test
    void statusLoggedByEarlierVersionsIsRead() {
        membershipAgreement.onProcessStopped(2, 5 * SECOND_MICROS, false);
        logStatus(0, 6 * SECOND_MICROS, 2, Status.DEAD);
        membershipAgreement.onLogLine(
                1,
                6 * SECOND_MICROS,
                "members: balancer 2 is DEAD, incarnation 5; 2 of 3 present, view 7");
        assertEquals(List.of(), EndedRun.of(membershipAgreement).violations());
    }

    @Test
    void missedDeathDetectionIsFound() {
        membershipAgreement.onProcessStopped(2, 5 * SECOND_MICROS, false);
        logStatus(0, 6 * SECOND_MICROS, 2, Status.DEAD);
        assertEquals(
                List.of("n1 did not detect the end of n2"),
                EndedRun.of(membershipAgreement).violations());
    }

    @Test
    void restartWithinLimitNeedsNoDetection() {
        membershipAgreement.onProcessStopped(2, 5 * SECOND_MICROS, false);
        membershipAgreement.onProcessStarted(2, 6 * SECOND_MICROS);
        assertEquals(List.of(), EndedRun.of(membershipAgreement).violations());
    }

    @Test
    void runningMemberSeenDeadIsFound() {
        logStatus(0, 6 * SECOND_MICROS, 1, Status.DEAD);
        assertEquals(
                List.of("n0 considers n1 DEAD, but it runs", "at the end n0 considers n1 DEAD"),
                EndedRun.of(membershipAgreement).violations());
    }

    @Test
    void deadMemberSeenAliveIsFound() {
        membershipAgreement.onProcessStopped(2, 5 * SECOND_MICROS, false);
        logStatus(0, 6 * SECOND_MICROS, 2, Status.DEAD);
        logStatus(1, 6 * SECOND_MICROS, 2, Status.DEAD);
        logStatus(1, 7 * SECOND_MICROS, 2, Status.ALIVE);
        assertTrue(
                EndedRun.of(membershipAgreement)
                        .violations()
                        .contains("at the end n1 considers n2 ALIVE"));
    }
}
