package loadbalancer.routing;

import static loadbalancer.routing.RoutingEngineHarness.IDEMPOTENT;
import static loadbalancer.routing.RoutingEngineHarness.NON_IDEMPOTENT;
import static loadbalancer.routing.RoutingEngineHarness.withEndpoints;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.RoutingEngineHarness.SentAttempt;
import loadbalancer.routing.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests that endpoints that fail, reject or stall are avoided, and used again after recovery. */
class EndpointEjectionTest {
    @Test
    void fastFailingEndpointIsEjectedAndRecovers() {
        RoutingEngineHarness harness = withEndpoints(11, 6, IDEMPOTENT);
        harness.serveConcurrently(100, 20_000, Map.of());
        long measuredFrom = harness.now;
        harness.serveConcurrently(200, 20_000, Map.of("s1", AttemptOutcome.ERROR));
        assertTrue(
                harness.countSentTo("s1", measuredFrom) < 20,
                "attempts sent to s1 in 4 s of failures: "
                        + harness.countSentTo("s1", measuredFrom));
        assertTrue(
                harness.logLines.stream()
                        .anyMatch(line -> line.contains("endpoint ejected: endpoint=s1 ")));
        harness.serveConcurrently(1200, 20_000, Map.of());
        assertTrue(
                harness.logLines.stream()
                        .anyMatch(line -> line.contains("endpoint recovered: endpoint=s1")));
    }

    @Test
    void rejectingEndpointIsEjected() {
        // Guards against attempts lost at a hung endpoint, whose queue fills up before it rejects:
        // 8% of the attempts were lost at such endpoints.
        RoutingEngineHarness harness = withEndpoints(11, 6, NON_IDEMPOTENT);
        harness.serveConcurrently(100, 20_000, Map.of());
        long measuredFrom = harness.now;
        harness.serveConcurrently(300, 20_000, Map.of("s1", AttemptOutcome.REJECTED));
        assertTrue(
                harness.logLines.stream()
                        .anyMatch(line -> line.contains("endpoint ejected: endpoint=s1 ")));
        assertTrue(
                harness.countSentTo("s1", measuredFrom) < 40,
                "attempts sent to s1 in 6 s of rejections: "
                        + harness.countSentTo("s1", measuredFrom));
    }

    @Test
    void rejectingEndpointGetsBackoff() {
        // Guards against preferring an endpoint that rejects: its queue was always the shortest,
        // and two of five attempts were rejected.
        RoutingEngineHarness harness = withEndpoints(11, 6, NON_IDEMPOTENT);
        harness.serveConcurrently(50, 50_000, Map.of());
        SentAttempt rejectedAttempt = harness.request("full", 0);
        harness.now += 300;
        harness.endAttempt(rejectedAttempt, AttemptOutcome.REJECTED);
        long measuredFrom = harness.now + 1;
        for (int i = 0; i < 20; i++) {
            harness.now += 100;
            harness.request("n" + i, 0);
        }
        assertEquals(0, harness.countSentTo(rejectedAttempt.endpointId, measuredFrom));
    }

    @Test
    void stalledEndpointIsAvoidedBeforeTimeouts() {
        RoutingEngineHarness harness = withEndpoints(11, 3, NON_IDEMPOTENT);
        harness.serveConcurrently(100, 30_000, Map.of());
        SentAttempt stalledAttempt = harness.request("stuck", 0);
        harness.advanceTime(200_000);
        long measuredFrom = harness.now;
        for (int i = 0; i < 40; i++) {
            // With three requests at a time, the third finds queues of equal length.
            for (int j = 0; j < 3; j++) {
                harness.request("n" + i + "/" + j, 0);
            }
            harness.advanceTime(20_000);
            harness.sentAttempts.stream()
                    .filter(attempt -> !attempt.ended && attempt != stalledAttempt)
                    .toList()
                    .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
        }
        assertEquals(0, harness.countSentTo(stalledAttempt.endpointId, measuredFrom));
    }

    @Test
    void serviceResumesAfterAllEndpointsFailed() {
        RoutingEngineHarness harness = withEndpoints(11, 4, IDEMPOTENT);
        harness.serveConcurrently(60, 20_000, Map.of());
        Map<String, AttemptOutcome> failureOutcomes = new HashMap<>();
        List.of("s0", "s1", "s2", "s3").forEach(s -> failureOutcomes.put(s, AttemptOutcome.ERROR));
        harness.serveConcurrently(60, 20_000, failureOutcomes);
        long measuredFrom = harness.now;
        harness.serveConcurrently(20, 20_000, Map.of());
        assertTrue(
                harness.sentAttempts.stream()
                                .filter(attempt -> attempt.sentAtMicros >= measuredFrom)
                                .count()
                        >= 10,
                "fewer than 10 attempts sent after all endpoints had failed");
    }
}
