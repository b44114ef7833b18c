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

/** Load is shed by its priority while answers are late, and admitted again after that. */
class LoadSheddingTest {
    @Test
    void overloadShedsLoadAndRecovers() {
        // A limit on attempts in flight, about one for most balancers, refused most of a calm day.
        RoutingEngineHarness harness = withEndpoints(11, 6, IDEMPOTENT);
        assertEquals(40, harness.serveSequentially(40, 0, 0, 50_000), "a calm day is served whole");
        harness.serveSequentially(30, 0, 0, 900_000);
        int sentUnderOverload = harness.serveSequentially(20, 0, 0, 900_000);
        assertTrue(
                sentUnderOverload < 14,
                "with all late a part is rejected at once: sent " + sentUnderOverload + " of 20");
        harness.serveSequentially(200, 0, 0, 50_000);
        assertTrue(harness.serveSequentially(40, 0, 0, 50_000) >= 39, "and let in again");
    }

    @Test
    void concurrencyRecoversAfterOverload() {
        // Idle endpoints kept their old overload ratio, which held the limit down for 20 s after
        // the load had
        // gone.
        RoutingEngineHarness harness = withEndpoints(11, 6, IDEMPOTENT);
        harness.serveConcurrently(200, 30_000, Map.of());
        for (int i = 0; i < 60; i++) {
            // Everything takes ten times as long
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
            // Twelve at a time
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
        // Refusing nearly all left no answers to learn from: the balancer never came back.
        RoutingEngineHarness harness = withEndpoints(11, 6, IDEMPOTENT);
        harness.serveSequentially(60, 0, 0, 1_800_000);
        harness.advanceTime(20_000_000);
        assertTrue(harness.serveSequentially(20, 0, 0, 50_000) >= 19);
    }

    @Test
    void lateResponsesDoNotShedEverything() {
        // Late answers counted twice their objective: refusal rose to 86% in seconds, fell back and
        // rose
        // again.
        RoutingEngineHarness harness = withEndpoints(11, 6, IDEMPOTENT);
        harness.serveSequentially(40, 0, 0, 50_000);
        for (int i = 0; i < 20; i++) {
            // Two seconds of late answers, ten a second
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
                "most of the level is still to come");
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
                "sent: " + highPrioritySent + " dear, " + lowPrioritySent + " cheap");
    }

    @Test
    void perRequestWeightShedsClassesAlike() {
        // The light class starved for the heavy one: 10% of its worth was served by a half idle
        // fleet.
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
                "sent: " + highPrioritySent + " dear, " + lowPrioritySent + " cheap");
    }
}
