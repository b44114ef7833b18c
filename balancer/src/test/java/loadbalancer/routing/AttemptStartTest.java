package loadbalancer.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests whether an attempt that has waited for a connection may still be sent. */
class AttemptStartTest {
    // Shorter than the connect time-out
    private static final long IDEMPOTENCY_WINDOW_MICROS = 40_000;
    private static final RequestClass IDEMPOTENT =
            RoutingEngineHarness.requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    private static final RequestClass NON_IDEMPOTENT =
            RoutingEngineHarness.requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);

    private static RequestClass keyedClass(DeduplicationScope scope) {
        return new RequestClass(
                Idempotency.IDEMPOTENCY_KEY,
                scope,
                IDEMPOTENCY_WINDOW_MICROS,
                RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS,
                RoutingEngineHarness.DEADLINE_MICROS,
                0,
                1,
                0.3,
                false);
    }

    private static RoutingEngineHarness warmedUpHarness(
            RequestClass requestClass, int endpointCount) {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(RoutingEngineHarness.settings(requestClass), 3)
                        .updateEndpoints(
                                EndpointListKind.CACHED,
                                RoutingEngineHarness.endpoints(endpointCount));
        harness.warmUp(40, 0, 10_000);
        return harness;
    }

    private static boolean canStart(
            RoutingEngineHarness harness, RoutingEngineHarness.SentAttempt sent) {
        return harness.policy.canStartAttempt(harness.now, sent.requestId, sent.attemptNumber);
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void firstAttemptOfOpenRequestCanStartLate(Idempotency idempotency) {
        RoutingEngineHarness harness =
                warmedUpHarness(
                        idempotency == Idempotency.IDEMPOTENCY_KEY
                                ? keyedClass(DeduplicationScope.ALL)
                                : RoutingEngineHarness.requestClass(
                                        idempotency, DeduplicationScope.ALL),
                        4);
        RoutingEngineHarness.SentAttempt sent = harness.request("r", 0);
        harness.advanceTime(2 * IDEMPOTENCY_WINDOW_MICROS);
        assertTrue(canStart(harness, sent));
    }

    @Test
    void finishedRequestStartsNoAttempt() {
        RoutingEngineHarness harness = warmedUpHarness(IDEMPOTENT, 4);
        RoutingEngineHarness.SentAttempt disconnected = harness.request("left", 0);
        harness.policy.onClientDisconnected(harness.now, "left", harness);
        assertFalse(canStart(harness, disconnected));
        RoutingEngineHarness.SentAttempt expired = harness.request("late", 0);
        harness.advanceTime(RoutingEngineHarness.DEADLINE_MICROS + 100_000);
        harness.attemptsOf("late")
                .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.TIMEOUT));
        assertFalse(canStart(harness, expired));
    }

    @Test
    void noAttemptStartsOnDrainedOrReplacedEndpoint() {
        for (Endpoint updated :
                List.of(
                        RoutingEngineHarness.upEndpoint("s0").withStatus(EndpointStatus.DRAINING),
                        RoutingEngineHarness.upEndpoint("s0").withStatus(EndpointStatus.REMOVED),
                        new Endpoint(
                                "s0",
                                EndpointStatus.UP,
                                RoutingEngineHarness.START_MICROS + 5_000_000,
                                1,
                                0,
                                0,
                                0))) {
            RoutingEngineHarness harness =
                    new RoutingEngineHarness(RoutingEngineHarness.settings(NON_IDEMPOTENT), 3)
                            .updateEndpoints(
                                    EndpointListKind.CACHED,
                                    List.of(RoutingEngineHarness.upEndpoint("s0")));
            RoutingEngineHarness.SentAttempt sent = harness.request("r", 0);
            assertTrue(canStart(harness, sent));
            harness.updateEndpoints(
                    EndpointListKind.DELTA,
                    List.of(updated, RoutingEngineHarness.upEndpoint("s1")));
            assertFalse(canStart(harness, sent), updated.toString());
            // The attempt never ran, so the request is sent to another endpoint
            harness.endAttempt(sent, AttemptOutcome.NOT_SENT);
            assertEquals("s1", harness.attemptsOf("r").get(1).endpointId);
        }
    }

    @ParameterizedTest
    @EnumSource(DeduplicationScope.class)
    void retryDoesNotStartAfterIdempotencyWindow(DeduplicationScope scope) {
        RoutingEngineHarness harness = warmedUpHarness(keyedClass(scope), 8);
        RoutingEngineHarness.SentAttempt first = harness.request("r", 0);
        harness.endAttempt(first, AttemptOutcome.RESET);
        RoutingEngineHarness.SentAttempt second = harness.attemptsOf("r").get(1);
        assertTrue(canStart(harness, second));
        harness.advanceTime(IDEMPOTENCY_WINDOW_MICROS);
        assertFalse(canStart(harness, second));
        harness.endAttempt(second, AttemptOutcome.NOT_SENT);
        assertNotEquals(
                null,
                harness.finalResponses.get("r"),
                "a request that cannot be sent again is answered immediately");
        assertEquals(2, harness.attemptsOf("r").size());
    }

    /**
     * Tests a retry that waits because no endpoint is listed. When its idempotency window ends, it
     * may not be sent to any endpoint.
     */
    @Test
    void pendingRetryIsAnsweredWhenItsWindowEnds() {
        RoutingEngineHarness harness = warmedUpHarness(keyedClass(DeduplicationScope.ALL), 2);
        RoutingEngineHarness.SentAttempt first = harness.request("r", 0);
        harness.updateEndpoints(EndpointListKind.COMPLETE, List.of());
        harness.endAttempt(first, AttemptOutcome.RESET);
        assertEquals(null, harness.finalResponses.get("r"));
        harness.advanceTime(IDEMPOTENCY_WINDOW_MICROS + 10_000);
        assertEquals("refused", harness.finalResponses.get("r"));
    }
}
