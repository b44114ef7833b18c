package loadbalancer.routing;

import static loadbalancer.routing.RoutingEngineHarness.withEndpoints;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import loadbalancer.routing.RoutingEngineHarness.SentAttempt;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that ordered requests with one key run one at a time, in their order of arrival. */
class KeyOrderingTest {
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

    private static RoutingEngineHarness warmedUpHarness(RequestClass... requestClasses) {
        RoutingEngineHarness harness = withEndpoints(3, 6, requestClasses);
        harness.warmUp(30, 0, 20_000);
        return harness;
    }

    @Test
    void requestsOfOneKeyRunInArrivalOrder() {
        RoutingEngineHarness harness =
                warmedUpHarness(
                        orderedClass(Idempotency.IDEMPOTENCY_KEY),
                        orderedClass(Idempotency.IDEMPOTENT));
        SentAttempt first = harness.requestWithKey("a", 0, "k");
        assertNull(harness.requestWithKey("b", 1, "k"), "ordered classes share the queue of a key");
        assertNull(harness.requestWithKey("c", 0, "k"));
        assertTrue(
                harness.requestWithKey("other", 0, "l") != null,
                "a request with another key is not delayed");
        assertTrue(harness.request("none", 0) != null, "a request without a key is not delayed");
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
        SentAttempt first = harness.requestWithKey("a", 0, "k");
        harness.requestWithKey("b", 0, "k");
        harness.advanceTime(30_000);
        harness.endAttempt(first, outcome);
        assertEquals("failed", harness.finalResponses.get("a"));
        harness.advanceTime(RoutingEngineHarness.KEY_COOLDOWN_MICROS - 10_000);
        assertEquals(0, harness.attemptsOf("b").size(), "the key is in its cooldown");
        harness.advanceTime(50_000);
        assertEquals(
                1, harness.attemptsOf("b").size(), "the next request is sent after the cooldown");
    }

    @Test
    void keyCoolsDownAfterClientDisconnect() {
        RoutingEngineHarness harness = warmedUpHarness(orderedClass(Idempotency.IDEMPOTENT));
        SentAttempt first = harness.requestWithKey("a", 0, "k");
        harness.requestWithKey("b", 0, "k");
        harness.finalResponses.put("a", "gone");
        harness.policy.onClientDisconnected(harness.now, "a", harness);
        harness.advanceTime(50_000);
        assertEquals(0, harness.attemptsOf("b").size(), "the earlier attempt has not ended yet");
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
}
