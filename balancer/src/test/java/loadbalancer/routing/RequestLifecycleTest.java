package loadbalancer.routing;

import static loadbalancer.routing.RoutingEngineHarness.IDEMPOTENT;
import static loadbalancer.routing.RoutingEngineHarness.NON_IDEMPOTENT;
import static loadbalancer.routing.RoutingEngineHarness.withEndpoints;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import org.junit.jupiter.api.Test;

/** Tests that each request is sent or queued, and gets its final response in time. */
class RequestLifecycleTest {
    @Test
    void requestsAreAnsweredWithoutEndpoints() {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                                RoutingEngineHarness.settings(IDEMPOTENT, NON_IDEMPOTENT), 1)
                        .updateEndpoints(EndpointListKind.CACHED, List.of());
        assertNull(harness.request("a", 0));
        assertNull(harness.request("b", 1, 0, 6_000));
        harness.advanceTime(30_000);
        assertTrue(
                harness.finalResponses.containsKey("b"),
                "a request with little remaining time is answered immediately");
        harness.advanceTime(RoutingEngineHarness.DEADLINE_MICROS);
        assertEquals("refused", harness.finalResponses.get("a"));
    }

    @Test
    void expiredRequestIsAnsweredAtOnce() {
        // If the request waited for the next timer event, it would be answered after its deadline
        RoutingEngineHarness harness = withEndpoints(11, 0, IDEMPOTENT);
        harness.request("spent", 0, 0, 2_000);
        assertEquals("refused", harness.finalResponses.get("spent"));
    }

    @Test
    void lateResubmissionIsRejected() {
        // If late resubmissions are served, a third of all responses come after the objective of
        // the first attempt. This useless work displaces other requests.
        RoutingEngineHarness harness = withEndpoints(11, 6, IDEMPOTENT);
        harness.serveConcurrently(20, 20_000, Map.of());
        harness.resubmit(
                "late",
                0,
                RoutingEngineHarness.DEADLINE_MICROS
                        - RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS
                        - 200_000);
        // This resubmission can still be answered within its objective
        harness.resubmit("quick", 0, RoutingEngineHarness.DEADLINE_MICROS - 150_000);
        assertEquals(1, harness.attemptsOf("quick").size());
        assertEquals("refused", harness.finalResponses.get("late"));
    }

    @Test
    void timelyResubmissionIsServed() {
        RoutingEngineHarness harness = withEndpoints(11, 6, IDEMPOTENT);
        harness.serveConcurrently(20, 20_000, Map.of());
        // The remaining time is that of a first attempt, so the age of the request is unknown
        harness.resubmit("again", 0, RoutingEngineHarness.DEADLINE_MICROS);
        assertEquals(1, harness.attemptsOf("again").size());
    }

    @Test
    void mostUrgentPendingRequestIsSentFirst() {
        // In order of arrival, requests with a short objective would miss it behind requests with a
        // long one.
        RequestClass patient =
                new RequestClass(
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        4 * RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS,
                        4 * RoutingEngineHarness.DEADLINE_MICROS,
                        0,
                        1,
                        0,
                        false);
        RoutingEngineHarness harness = withEndpoints(11, 0, IDEMPOTENT, patient);
        harness.request("patient", 1, 0, 4 * RoutingEngineHarness.DEADLINE_MICROS);
        harness.request("urgent", 0);
        harness.updateEndpoints(EndpointListKind.DELTA, RoutingEngineHarness.endpoints(1));
        assertEquals(
                List.of("urgent", "patient"),
                harness.sentAttempts.stream().map(attempt -> attempt.requestId).toList());
    }

    @Test
    void longClockGapIsHandled() {
        // After 13 minutes without requests at any endpoint, all weights of the mean overload ratio
        // are 0.
        RoutingEngineHarness harness = withEndpoints(11, 1, IDEMPOTENT);
        for (int i = 0; i < 10; i++) {
            harness.endAttempt(harness.request("r" + i, 0), AttemptOutcome.OK);
        }
        harness.now += 2_000_000_000L;
        harness.policy.onTimer(harness.now, harness);
        assertTrue(harness.request("after", 0) != null);
    }
}
