package loadbalancer.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
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

/** Order by key and placement. */
class KeyOrderingAndPlacementTest {
    private static final RequestClass IDEMPOTENT =
            RoutingEngineHarness.requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);

    private static RequestClass orderedClass(Idempotency idempotency) {
        return new RequestClass(
                idempotency,
                DeduplicationScope.ALL,
                2_000_000,
                RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS,
                RoutingEngineHarness.DEADLINE_MICROS,
                0,
                1,
                0.3,
                false,
                true,
                Set.of(),
                Set.of());
    }

    private static RequestClass placementBoundClass(Set<Integer> zones, Set<Integer> machineTypes) {
        return new RequestClass(
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS,
                RoutingEngineHarness.DEADLINE_MICROS,
                0,
                1,
                0.3,
                false,
                false,
                zones,
                machineTypes);
    }

    private static RoutingEngineHarness warmedUpHarness(RequestClass... requestClasses) {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(RoutingEngineHarness.settings(requestClasses), 3)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(6));
        harness.warmUp(30, 0, 20_000);
        return harness;
    }

    @Test
    void requestsOfOneKeyRunInArrivalOrder() {
        RoutingEngineHarness harness =
                warmedUpHarness(
                        orderedClass(Idempotency.IDEMPOTENCY_KEY),
                        orderedClass(Idempotency.IDEMPOTENT));
        RoutingEngineHarness.SentAttempt first = harness.requestWithKey("a", 0, "k");
        assertNull(harness.requestWithKey("b", 1, "k"), "all ordered classes share their keys");
        assertNull(harness.requestWithKey("c", 0, "k"));
        assertTrue(harness.requestWithKey("other", 0, "l") != null, "another key is not held up");
        assertTrue(harness.request("none", 0) != null, "nor is a request without a key");
        harness.advanceTime(30_000);
        harness.endAttempt(first, AttemptOutcome.OK);
        assertEquals(1, harness.attemptsOf("b").size());
        assertEquals(0, harness.attemptsOf("c").size());
        harness.endAttempt(harness.attemptsOf("b").get(0), AttemptOutcome.OK);
        assertEquals(1, harness.attemptsOf("c").size());
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"TIMEOUT", "RESET", "CANCELLED"})
    void keyCoolsDownAfterUnfinishedAttempt(AttemptOutcome outcome) {
        RoutingEngineHarness harness = warmedUpHarness(orderedClass(Idempotency.NON_IDEMPOTENT));
        RoutingEngineHarness.SentAttempt first = harness.requestWithKey("a", 0, "k");
        harness.requestWithKey("b", 0, "k");
        harness.advanceTime(30_000);
        harness.endAttempt(first, outcome);
        assertEquals("failed", harness.finalResponses.get("a"));
        harness.advanceTime(RoutingEngineHarness.KEY_COOLDOWN_MICROS - 10_000);
        assertEquals(0, harness.attemptsOf("b").size(), "the key rests");
        harness.advanceTime(50_000);
        assertEquals(1, harness.attemptsOf("b").size(), "then the next one goes");
    }

    @Test
    void keyCoolsDownAfterClientDisconnect() {
        RoutingEngineHarness harness = warmedUpHarness(orderedClass(Idempotency.IDEMPOTENT));
        RoutingEngineHarness.SentAttempt first = harness.requestWithKey("a", 0, "k");
        harness.requestWithKey("b", 0, "k");
        harness.finalResponses.put("a", "gone");
        harness.policy.onClientDisconnected(harness.now, "a", harness);
        harness.advanceTime(50_000);
        assertEquals(0, harness.attemptsOf("b").size(), "its attempt has no outcome yet");
        harness.endAttempt(first, AttemptOutcome.CANCELLED);
        harness.advanceTime(RoutingEngineHarness.KEY_COOLDOWN_MICROS - 10_000);
        assertEquals(0, harness.attemptsOf("b").size());
        harness.advanceTime(50_000);
        assertEquals(1, harness.attemptsOf("b").size());
    }

    @Test
    void keyOwnerIsRetriedWithoutDelay() {
        RoutingEngineHarness harness = warmedUpHarness(orderedClass(Idempotency.IDEMPOTENT));
        harness.endAttempt(harness.requestWithKey("a", 0, "k"), AttemptOutcome.RESET);
        assertEquals(2, harness.attemptsOf("a").size());
    }

    @Test
    void queuedRequestIsAnsweredBeforeDeadline() {
        RoutingEngineHarness harness = warmedUpHarness(orderedClass(Idempotency.IDEMPOTENT));
        harness.requestWithKey("a", 0, "k");
        long acceptedAt = harness.now;
        harness.requestWithKey("b", 0, "k");
        harness.advanceTime(RoutingEngineHarness.DEADLINE_MICROS);
        assertEquals("refused", harness.finalResponses.get("b"));
        assertTrue(harness.now - acceptedAt <= RoutingEngineHarness.DEADLINE_MICROS);
    }

    @Test
    void placementBoundClassStaysOnItsEndpoints() {
        RoutingEngineHarness harness =
                warmedUpHarness(
                        IDEMPOTENT,
                        placementBoundClass(Set.of(1), Set.of()),
                        placementBoundClass(Set.of(), Set.of(0)));
        for (int i = 0; i < 40; i++) {
            // Zones and kinds alternate over the fleet
            assertEquals(1, harness.request("z" + i, 1).endpointId.charAt(1) % 2);
            assertEquals(0, harness.request("k" + i, 2).endpointId.charAt(1) % 2);
            harness.advanceTime(10_000);
        }
        harness.sentAttempts.stream()
                .filter(attempt -> !attempt.ended)
                .toList()
                .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.ERROR));
        harness.advanceTime(RoutingEngineHarness.DEADLINE_MICROS);
        harness.sentAttempts.stream()
                .filter(attempt -> attempt.requestId.startsWith("z"))
                .forEach(
                        attempt ->
                                assertEquals(
                                        1,
                                        attempt.endpointId.charAt(1) % 2,
                                        "retries and copies too"));
        harness.sentAttempts.stream()
                .filter(attempt -> attempt.requestId.startsWith("k"))
                .forEach(
                        attempt ->
                                assertEquals(
                                        0,
                                        attempt.endpointId.charAt(1) % 2,
                                        "retries and copies too"));
    }

    @Test
    void boundRequestWaitsWithoutBlockingOthers() {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                                RoutingEngineHarness.settings(
                                        IDEMPOTENT, placementBoundClass(Set.of(7), Set.of())),
                                3)
                        .updateEndpoints(EndpointListKind.CACHED, List.of());
        harness.request("bound", 1);
        harness.request("free", 0);
        harness.updateEndpoints(EndpointListKind.DELTA, RoutingEngineHarness.endpoints(4));
        assertEquals(1, harness.attemptsOf("free").size());
        assertEquals(0, harness.attemptsOf("bound").size());
        harness.updateEndpoints(
                EndpointListKind.DELTA,
                List.of(new Endpoint("own", EndpointStatus.UP, 0, 1, 0, 0, 7)));
        assertEquals("own", harness.attemptsOf("bound").get(0).endpointId);
        harness.request("bound2", 1);
        harness.updateEndpoints(
                EndpointListKind.DELTA,
                List.of(new Endpoint("own", EndpointStatus.REMOVED, 0, 1, 0, 0, 7)));
        harness.request("bound3", 1);
        harness.advanceTime(RoutingEngineHarness.DEADLINE_MICROS);
        assertEquals(
                "refused", harness.finalResponses.get("bound3"), "held, then answered in time");
    }
}
