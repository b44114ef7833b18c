package loadbalancer.testbed.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a violation of each rule is found and that similar permitted events are not. */
class RequestInvariantsTest {
    private static final Scenario SCENARIO =
            ScenarioReader.parse(
                    "s.toml",
                    """
        length_s = 20
        [[class]]
        name = "safe"
        [[class]]
        name = "keyed"
        effect = "keyed"
        scope = "zone"
        key_memory_ms = 1000
        [[class]]
        name = "unsafe"
        effect = "unsafe"
        """,
                    false);
    private static final int IDEMPOTENT_CLASS = 0;
    private static final int IDEMPOTENCY_KEY_CLASS = 1;
    private static final int NON_IDEMPOTENT_CLASS = 2;

    private final List<Violation> violations = new ArrayList<>();
    private final RequestInvariants invariants = new RequestInvariants(SCENARIO, violations::add);

    private ClientAttempt acceptRequest(int classIndex) {
        ClientAttempt clientAttempt =
                new ClientAttempt(
                        "r1",
                        new ClientRequest(
                                new WorkloadPlan.Arrival(0, 0, classIndex, 0, 1000, false)),
                        1_000_000);
        invariants.attemptAccepted(clientAttempt, 0, 1_000_000);
        return clientAttempt;
    }

    private void assertViolations(String... expectedRules) {
        assertEquals(List.of(expectedRules), violations.stream().map(Violation::rule).toList());
        assertEquals(expectedRules.length, invariants.violationCount());
    }

    @Test
    void secondResponseIsAViolation() {
        ClientAttempt clientAttempt = acceptRequest(IDEMPOTENT_CLASS);
        invariants.responseReceived(clientAttempt, 503, false, 1_100_000);
        assertViolations();
        invariants.responseReceived(clientAttempt, 503, false, 1_200_000);
        assertViolations("one answer");
    }

    @Test
    void missingResponseIsAViolationWithoutOutage() {
        ClientAttempt clientAttempt = acceptRequest(IDEMPOTENT_CLASS);
        invariants.responseOverdue(clientAttempt, 2_500_000);
        assertViolations("one answer");
        ClientAttempt attemptDuringOutage =
                new ClientAttempt("r2", clientAttempt.request(), 1_000_000);
        invariants.attemptAccepted(attemptDuringOutage, 1, 1_000_000);
        invariants.outageStarted(1, 1_500_000);
        invariants.outageEnded(1, 1_600_000);
        invariants.responseOverdue(attemptDuringOutage, 2_500_000);
        assertViolations("one answer");
    }

    @Test
    void mismatchingResponseBodyIsAViolation() {
        invariants.responseReceived(acceptRequest(IDEMPOTENT_CLASS), 200, false, 1_100_000);
        assertViolations("true answer");
    }

    @Test
    void unknownRequestIsAViolation() {
        assertEquals(null, invariants.upstreamAttemptReceived("r9", 0, 0, 1_000_000, 1_000_000));
        assertViolations("no double effects");
    }

    @Test
    void fifthAttemptIsAViolation() {
        acceptRequest(IDEMPOTENT_CLASS);
        for (int i = 0; i < 4; i++) {
            invariants.upstreamAttemptReceived("r1", 0, i, 1_000_000, 1_000_000);
        }
        assertViolations();
        invariants.upstreamAttemptReceived("r1", 0, 4, 1_000_000, 1_000_000);
        assertViolations("no double effects");
    }

    @ParameterizedTest
    @CsvSource({
        // class, zone of the second execution, ms after the first, whether it is a violation
        "0, 1, 5000, false",
        "1, 0, 900, false",
        "1, 0, 1049, false",
        "1, 0, 1051, true",
        "1, 1, 10, true",
        "2, 0, 10, true",
    })
    void secondExecutionFollowsClassIdempotency(
            int classIndex, int zone, long delayMs, boolean violation) {
        ClientAttempt clientAttempt = acceptRequest(classIndex);
        invariants.executionStarted(clientAttempt, 0, 0, 1_010_000);
        invariants.executionStarted(clientAttempt, 1, zone, 1_010_000 + delayMs * 1000);
        assertViolations(violation ? new String[] {"no double effects"} : new String[0]);
    }

    @ParameterizedTest
    @CsvSource({"0, true, false", "1, true, true", "2, true, true", "2, false, false"})
    void rejectionAfterExecutionIsAViolation(int classIndex, boolean executed, boolean violation) {
        ClientAttempt clientAttempt = acceptRequest(classIndex);
        if (executed) {
            invariants.executionStarted(clientAttempt, 0, 0, 1_010_000);
        }
        invariants.responseReceived(clientAttempt, 503, false, 1_100_000);
        assertViolations(violation ? new String[] {"no double effects"} : new String[0]);
    }

    @ParameterizedTest
    @CsvSource({"2549, false", "2551, true"})
    void requestAfterDrainGraceIsAViolation(long delayMs, boolean violation) {
        acceptRequest(IDEMPOTENT_CLASS);
        invariants.endpointNotified(0, 3, false, 1_000_000);
        // The first notification counts.
        invariants.endpointNotified(0, 3, false, 3_000_000);
        // Another balancer was not notified and may send requests.
        invariants.upstreamAttemptReceived("r1", 1, 3, 9_000_000, 9_000_000);
        long startedAtMicros = 1_000_000 + delayMs * 1000;
        // The arrival of the request's first byte counts.
        invariants.upstreamAttemptReceived("r1", 0, 3, startedAtMicros, startedAtMicros + 100_000);
        assertViolations(violation ? new String[] {"drain"} : new String[0]);
    }

    @Test
    void returnedServerIsNotDraining() {
        acceptRequest(IDEMPOTENT_CLASS);
        invariants.endpointNotified(0, 3, false, 1_000_000);
        invariants.endpointNotified(0, 3, true, 5_000_000);
        invariants.upstreamAttemptReceived("r1", 0, 3, 9_000_000, 9_000_000);
        assertViolations();
        assertEquals(true, invariants.isStartNotified(0, 3, 4_000_000));
        assertEquals(false, invariants.isStartNotified(0, 3, 6_000_000));
        assertEquals(false, invariants.isStartNotified(1, 3, 0));
    }

    @Test
    void drainGraceRestartsAfterPause() {
        acceptRequest(IDEMPOTENT_CLASS);
        invariants.endpointNotified(0, 3, false, 1_000_000);
        invariants.outageStarted(0, 2_000_000);
        invariants.outageEnded(0, 5_000_000);
        invariants.upstreamAttemptReceived("r1", 0, 3, 7_000_000, 7_000_000);
        assertViolations();
        invariants.upstreamAttemptReceived("r1", 0, 3, 8_000_000, 8_000_000);
        assertViolations("drain");
    }

    @Test
    void manyClosedConnectionsAreAViolation() {
        for (int i = 0; i < 400; i++) {
            ClientAttempt clientAttempt =
                    new ClientAttempt(
                            "c" + i, acceptRequest(IDEMPOTENCY_KEY_CLASS).request(), 1_000_000);
            invariants.attemptAccepted(clientAttempt, 0, 1_000_000);
            if (i < 5) {
                invariants.connectionClosedIncomplete(clientAttempt, false, 1_100_000);
            }
        }
        invariants.runEnded(20_000_000);
        assertViolations("one answer");
    }

    @Test
    void truncatedResponseIsAViolation() {
        invariants.connectionClosedIncomplete(acceptRequest(NON_IDEMPOTENT_CLASS), true, 1_100_000);
        assertViolations("one answer");
    }
}
