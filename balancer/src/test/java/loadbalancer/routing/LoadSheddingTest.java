package loadbalancer.routing;

import static loadbalancer.routing.RoutingEngineHarness.IDEMPOTENT;
import static loadbalancer.routing.RoutingEngineHarness.NON_IDEMPOTENT;
import static loadbalancer.routing.RoutingEngineHarness.withEndpoints;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import loadbalancer.routing.RoutingEngineHarness.SentAttempt;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingSettings;
import org.junit.jupiter.api.Test;

/** Tests that load is shed by priority while responses are late, and admitted again afterwards. */
class LoadSheddingTest {
    @Test
    void overloadShedsLoadAndRecovers() {
        // Guards against a limit on attempts in flight: it was about one for most balancers and
        // rejected most requests under normal load.
        RoutingEngineHarness harness = withEndpoints(11, 6, IDEMPOTENT);
        assertEquals(
                40,
                harness.serveSequentially(40, 0, 0, 50_000),
                "not all requests were sent under normal load");
        harness.serveSequentially(30, 0, 0, 900_000);
        int sentUnderOverload = harness.serveSequentially(20, 0, 0, 900_000);
        assertTrue(
                sentUnderOverload < 14,
                "sent " + sentUnderOverload + " of 20 while all responses are late");
        harness.serveSequentially(200, 0, 0, 50_000);
        assertTrue(
                harness.serveSequentially(40, 0, 0, 50_000) >= 39,
                "requests are still shed after the overload");
    }

    @Test
    void concurrencyRecoversAfterOverload() {
        // Guards against an outdated overload ratio: idle endpoints kept theirs, which limited the
        // concurrency for 20 s after the end of the load.
        RoutingEngineHarness harness = withEndpoints(11, 6, IDEMPOTENT);
        harness.serveConcurrently(200, 30_000, Map.of());
        for (int i = 0; i < 60; i++) {
            // Responses take more than ten times as long as before.
            harness.request("slow" + i, 0);
            harness.advanceTime(50_000);
            harness.sentAttempts.stream()
                    .filter(
                            attempt ->
                                    !attempt.ended && harness.now - attempt.sentAtMicros >= 400_000)
                    .toList()
                    .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
        }
        harness.sentAttempts.stream()
                .filter(attempt -> !attempt.ended)
                .toList()
                .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
        harness.advanceTime(4_000_000);
        int sentAtOnce = 0;
        for (int i = 0; i < 10 * 12; i++) {
            // Requests arrive in groups of twelve.
            sentAtOnce += harness.request("after" + i, 0) != null ? 1 : 0;
            while (i % 12 == 11
                    && i < 9 * 12
                    && harness.sentAttempts.stream().anyMatch(attempt -> !attempt.ended)) {
                harness.advanceTime(30_000);
                harness.sentAttempts.stream()
                        .filter(attempt -> !attempt.ended)
                        .toList()
                        .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
                sentAtOnce = 0;
            }
        }
        assertTrue(sentAtOnce >= 8, "only " + sentAtOnce + " of 12 were sent at once");
    }

    @Test
    void staleOverloadEstimateExpires() {
        // Guards against permanent shedding: with nearly all requests rejected there were no new
        // samples, and the balancer never recovered.
        RoutingEngineHarness harness = withEndpoints(11, 6, IDEMPOTENT);
        harness.serveSequentially(60, 0, 0, 1_800_000);
        harness.advanceTime(20_000_000);
        assertTrue(harness.serveSequentially(20, 0, 0, 50_000) >= 19);
    }

    @Test
    void lateResponsesDoNotShedEverything() {
        // Guards against oscillation. When late responses were sampled with twice their objective,
        // rejections rose to 86% within seconds, fell, and rose again.
        RoutingEngineHarness harness = withEndpoints(11, 6, IDEMPOTENT);
        harness.serveSequentially(40, 0, 0, 50_000);
        for (int i = 0; i < 20; i++) {
            // The loop sends ten requests a second for 2 s, and all responses are late.
            SentAttempt sent = harness.request("late" + i, 0);
            harness.advanceTime(100_000);
            if (sent != null) {
                harness.now += 1;
                harness.policy.onAttemptEnded(
                        harness.now,
                        sent.requestId,
                        sent.attemptNumber,
                        AttemptOutcome.OK,
                        2 * RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS,
                        true,
                        null,
                        harness);
                sent.ended = true;
            }
        }
        assertTrue(
                harness.serveSequentially(40, 0, 0, 1_000) >= 35,
                "too much load is shed after 2 s of late responses");
    }

    @Test
    void lowestPriorityIsShedFirst() {
        RequestClass highPriority =
                new RequestClass(
                        Idempotency.NON_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS,
                        RoutingEngineHarness.DEADLINE_MICROS,
                        0,
                        9,
                        0,
                        false);
        RoutingEngineHarness harness = withEndpoints(11, 6, NON_IDEMPOTENT, highPriority);
        for (int i = 0; i < 30; i++) {
            harness.serveSequentially(1, 0, 0, 350_000);
            harness.serveSequentially(1, 1, 0, 350_000);
        }
        int lowPrioritySent = harness.serveSequentially(10, 0, 0, 1_000);
        int highPrioritySent = harness.serveSequentially(10, 1, 0, 1_000);
        assertTrue(
                highPrioritySent >= 8 && lowPrioritySent <= 2,
                "sent: " + highPrioritySent + " of high, " + lowPrioritySent + " of low priority");
    }

    @Test
    void perRequestWeightShedsClassesAlike() {
        // Guards against starvation of the class of low weight: 10% of its value was served while
        // half of the fleet was idle.
        RequestClass highPriority =
                new RequestClass(
                        Idempotency.NON_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS,
                        RoutingEngineHarness.DEADLINE_MICROS,
                        0,
                        9,
                        0,
                        false);
        RoutingSettings settings = RoutingEngineHarness.settings(NON_IDEMPOTENT, highPriority);
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                                new RoutingSettings(
                                        1,
                                        0,
                                        0,
                                        settings.requestClasses(),
                                        List.of(),
                                        0.1,
                                        settings.objectiveWeights(),
                                        settings.costs(),
                                        false,
                                        settings.discoveryMode(),
                                        settings.loadReportSource(),
                                        false,
                                        settings.limits(),
                                        settings.bounds(),
                                        settings.clockTickMicros()),
                                3)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(6));
        for (int i = 0; i < 40; i++) {
            harness.serveSequentially(1, 0, 0, 500_000);
            harness.serveSequentially(1, 1, 0, 500_000);
        }
        int lowPrioritySent = harness.serveSequentially(60, 0, 0, 1_000);
        int highPrioritySent = harness.serveSequentially(60, 1, 0, 1_000);
        assertTrue(
                lowPrioritySent >= highPrioritySent / 2,
                "sent: " + highPrioritySent + " of high, " + lowPrioritySent + " of low priority");
    }
}
