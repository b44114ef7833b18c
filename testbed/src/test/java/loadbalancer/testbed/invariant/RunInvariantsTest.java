package loadbalancer.testbed.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import loadbalancer.testbed.scenario.ScenarioReader;
import org.junit.jupiter.api.Test;

/** Properties over time: a breach of each is planted and found. */
class RunInvariantsTest {
    private static final long SECOND_MICROS = 1_000_000;

    private final Map<String, Double> metrics = new TreeMap<>();

    private List<String> violationsOf(RunInvariant invariant) {
        RequestInvariants requestInvariants =
                new RequestInvariants(
                        ScenarioReader.parse(
                                "s.toml",
                                """
            length_s = 20
            [[class]]
            name = "x"
            """,
                                false),
                        violation -> {});
        invariant.onRunEnd(20 * SECOND_MICROS, requestInvariants, metrics);
        return requestInvariants.violations().stream().map(Violation::description).toList();
    }

    // ------------------------------------------------------------ acts in order

    private static String actionLine(int epoch, long atMicros) {
        return "load-balancer: lease used: key=record epoch=" + epoch + " at_micros=" + atMicros;
    }

    @Test
    void actionsLoggedByEarlierVersionsAreRead() {
        LeaseEpochOrderInvariant leaseOrder = new LeaseEpochOrderInvariant(3);
        leaseOrder.onLogLine(0, SECOND_MICROS, actionLine(6, SECOND_MICROS));
        leaseOrder.onLogLine(
                1, 2 * SECOND_MICROS, "duties: acts for record, epoch 5, at " + 2 * SECOND_MICROS);
        assertEquals(
                List.of("n1 acted for record under epoch 5 after n0 under 6"),
                violationsOf(leaseOrder));
    }

    @Test
    void overlappingLeaseHoldersAreFound() {
        LeaseEpochOrderInvariant leaseOrder = new LeaseEpochOrderInvariant(3);
        leaseOrder.onLogLine(0, 9 * SECOND_MICROS, actionLine(5, 1 * SECOND_MICROS));
        leaseOrder.onLogLine(1, 4 * SECOND_MICROS, actionLine(6, 3 * SECOND_MICROS));
        // Read late, done in time
        leaseOrder.onLogLine(0, 9 * SECOND_MICROS, actionLine(5, 2 * SECOND_MICROS));
        assertEquals(List.of(), violationsOf(leaseOrder));
        assertEquals(1.0, metrics.get("duties_passed_on"));
        leaseOrder.onLogLine(0, 9 * SECOND_MICROS, actionLine(5, 4 * SECOND_MICROS));
        assertEquals(
                List.of("n0 acted for record under epoch 5 after n1 under 6"),
                violationsOf(leaseOrder));
        LeaseEpochOrderInvariant sameEpoch = new LeaseEpochOrderInvariant(3);
        sameEpoch.onLogLine(0, 1 * SECOND_MICROS, actionLine(5, 1 * SECOND_MICROS));
        sameEpoch.onLogLine(1, 2 * SECOND_MICROS, actionLine(5, 2 * SECOND_MICROS));
        assertEquals(
                List.of("n1 acted for record under epoch 5 after n0 under 5"),
                violationsOf(sameEpoch));
    }

    @Test
    void idleOrUnheldLeaseIsFound() {
        LeaseEpochOrderInvariant leaseOrder = new LeaseEpochOrderInvariant(3);
        assertEquals(List.of("nobody acted"), violationsOf(leaseOrder));
        leaseOrder.onLogLine(0, 1 * SECOND_MICROS, actionLine(5, 1 * SECOND_MICROS));
        leaseOrder.onLogLine(0, 5 * SECOND_MICROS, actionLine(5, 5 * SECOND_MICROS));
        assertEquals(List.of("nobody acted for 4.0 s, 3.0 are allowed"), violationsOf(leaseOrder));
    }

    // ------------------------------------------------------------ a zone is left

    private static void logFailover(
            ZoneFailoverInvariant failover, int balancer, long atMicros, int zone) {
        failover.onLogLine(
                balancer,
                atMicros,
                "load-balancer: zone status changed: zone="
                        + zone
                        + " status=FAILED_OVER unresponsive=6 responding=0 endpoints=20");
    }

    @Test
    void zoneFailoversLoggedByEarlierVersionsAreRead() {
        ZoneFailoverInvariant failover =
                new ZoneFailoverInvariant(2, 2, 5 * SECOND_MICROS, SECOND_MICROS);
        failover.onLogLine(
                0,
                6 * SECOND_MICROS,
                "load-balancer: zone 2 is FAILED_OVER: 6 of 20 servers out, 0 answering");
        failover.onLogLine(1, 6 * SECOND_MICROS, "zone 2 is LEFT: 6 of 20 servers out");
        assertEquals(List.of(), violationsOf(failover));
        assertEquals(2.0, metrics.get("zone_left_by"));
    }

    @Test
    void otherZoneStatusesAreNoFailover() {
        ZoneFailoverInvariant failover =
                new ZoneFailoverInvariant(1, 2, 5 * SECOND_MICROS, SECOND_MICROS);
        for (String status : List.of("SUSPECT", "RECOVERING", "HEALTHY")) {
            failover.onLogLine(
                    0,
                    6 * SECOND_MICROS,
                    "zone status changed: zone=1 status=" + status + " unresponsive=6");
        }
        logFailover(failover, 0, 6 * SECOND_MICROS, 2);
        assertEquals(List.of(), violationsOf(failover));
    }

    @Test
    void lateZoneFailoverIsFound() {
        ZoneFailoverInvariant failover =
                new ZoneFailoverInvariant(10, 2, 5 * SECOND_MICROS, SECOND_MICROS);
        for (int balancer = 0; balancer < 9; balancer++) {
            logFailover(failover, balancer, 6 * SECOND_MICROS, 2);
        }
        // Once more, later
        logFailover(failover, 3, 9 * SECOND_MICROS, 2);
        assertEquals(List.of(), violationsOf(failover));
        assertEquals(1.0, metrics.get("zone_left_most_s"));
        ZoneFailoverInvariant lateFailover =
                new ZoneFailoverInvariant(10, 2, 5 * SECOND_MICROS, SECOND_MICROS);
        for (int balancer = 0; balancer < 9; balancer++) {
            logFailover(lateFailover, balancer, 6 * SECOND_MICROS + (balancer == 8 ? 1 : 0), 2);
        }
        assertEquals(
                List.of("8 of 10 balancers left zone 2 within 1.0 s"), violationsOf(lateFailover));
    }

    @Test
    void needlessZoneFailoverIsFound() {
        ZoneFailoverInvariant failover =
                new ZoneFailoverInvariant(1, 2, 5 * SECOND_MICROS, SECOND_MICROS);
        logFailover(failover, 0, 6 * SECOND_MICROS, 2);
        logFailover(failover, 0, 7 * SECOND_MICROS, 1);
        assertEquals(List.of("n0 left zone 1, which was not lost"), violationsOf(failover));
        ZoneFailoverInvariant earlyFailover =
                new ZoneFailoverInvariant(1, 2, 5 * SECOND_MICROS, SECOND_MICROS);
        logFailover(earlyFailover, 0, 4 * SECOND_MICROS, 2);
        logFailover(earlyFailover, 0, 6 * SECOND_MICROS, 2);
        assertEquals(List.of("n0 left zone 2, which was not lost"), violationsOf(earlyFailover));
    }

    // ------------------------------------------------------------ never two

    private final MutualExclusionInvariant mutualExclusion =
            new MutualExclusionInvariant(
                    "duty", Pattern.compile("holds (\\w+)"), Pattern.compile("leaves (\\w+)"));

    @Test
    void twoHoldersOfOneKeyAreFound() {
        mutualExclusion.onLogLine(0, 1 * SECOND_MICROS, "holds a");
        mutualExclusion.onLogLine(1, 2 * SECOND_MICROS, "holds b");
        mutualExclusion.onLogLine(1, 3 * SECOND_MICROS, "holds a");
        assertEquals(List.of("duty a is held by balancers [0, 1]"), violationsOf(mutualExclusion));
        assertEquals(3.0, metrics.get("taken_duty"));
    }

    @Test
    void releasedOrDeadHolderHoldsNothing() {
        mutualExclusion.onLogLine(0, 1 * SECOND_MICROS, "holds a");
        mutualExclusion.onLogLine(0, 2 * SECOND_MICROS, "leaves a");
        mutualExclusion.onLogLine(1, 3 * SECOND_MICROS, "holds a");
        mutualExclusion.onProcessStopped(1, 4 * SECOND_MICROS, false);
        mutualExclusion.onLogLine(2, 5 * SECOND_MICROS, "holds a");
        assertEquals(List.of(), violationsOf(mutualExclusion));
        mutualExclusion.onPauseChanged(2, 6 * SECOND_MICROS, true);
        mutualExclusion.onLogLine(0, 7 * SECOND_MICROS, "holds a");
        assertEquals(List.of("duty a is held by balancers [0, 2]"), violationsOf(mutualExclusion));
    }

    // ------------------------------------------------------------ members agree

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
        assertEquals(List.of(), violationsOf(membershipAgreement));
        assertEquals(1.0, metrics.get("members_noticed_p99_s"), 0.01);
        assertEquals(1.0, metrics.get("members_settled_s"), 0.01);
    }

    @Test
    void lateDeathDetectionIsFound() {
        membershipAgreement.onProcessStopped(2, 5 * SECOND_MICROS, false);
        logStatus(0, 7 * SECOND_MICROS, 2, Status.DEAD);
        logStatus(1, 7 * SECOND_MICROS + 1_000, 2, Status.DEAD);
        assertEquals(
                List.of("n1 noticed the end of n2 after 2001 ms only"),
                violationsOf(membershipAgreement));
    }

    @Test
    void statusLoggedByEarlierVersionsIsRead() {
        membershipAgreement.onProcessStopped(2, 5 * SECOND_MICROS, false);
        logStatus(0, 6 * SECOND_MICROS, 2, Status.DEAD);
        membershipAgreement.onLogLine(
                1,
                6 * SECOND_MICROS,
                "members: balancer 2 is DEAD, incarnation 5; 2 of 3 present, view 7");
        assertEquals(List.of(), violationsOf(membershipAgreement));
    }

    @Test
    void missedDeathDetectionIsFound() {
        membershipAgreement.onProcessStopped(2, 5 * SECOND_MICROS, false);
        logStatus(0, 6 * SECOND_MICROS, 2, Status.DEAD);
        assertEquals(List.of("n1 did not notice the end of n2"), violationsOf(membershipAgreement));
    }

    @Test
    void quickReturnNeedsNoDetection() {
        membershipAgreement.onProcessStopped(2, 5 * SECOND_MICROS, false);
        membershipAgreement.onProcessStarted(2, 6 * SECOND_MICROS);
        assertEquals(List.of(), violationsOf(membershipAgreement));
    }

    @Test
    void runningMemberSeenDeadIsFound() {
        logStatus(0, 6 * SECOND_MICROS, 1, Status.DEAD);
        assertEquals(
                List.of("n0 holds n1 DEAD, which runs", "at the end n0 holds n1 DEAD"),
                violationsOf(membershipAgreement));
    }

    @Test
    void deadMemberSeenAliveIsFound() {
        membershipAgreement.onProcessStopped(2, 5 * SECOND_MICROS, false);
        logStatus(0, 6 * SECOND_MICROS, 2, Status.DEAD);
        logStatus(1, 6 * SECOND_MICROS, 2, Status.DEAD);
        logStatus(1, 7 * SECOND_MICROS, 2, Status.ALIVE);
        assertTrue(violationsOf(membershipAgreement).contains("at the end n1 holds n2 ALIVE"));
    }
}
