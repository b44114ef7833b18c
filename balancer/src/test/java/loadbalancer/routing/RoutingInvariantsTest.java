package loadbalancer.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.api.Tenant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The four rules, class kind by class kind, and over random but legal sequences of events. */
class RoutingInvariantsTest {
    private static final RequestClass NON_IDEMPOTENT =
            RoutingEngineHarness.requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
    private static final RequestClass IDEMPOTENT =
            RoutingEngineHarness.requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);

    private static RoutingEngineHarness warmedUpHarness(RequestClass requestClass) {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(RoutingEngineHarness.settings(requestClass), 5)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(6));
        harness.warmUp(60, 0, 40_000);
        return harness;
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
    void possiblyExecutedNonIdempotentRequestFails(AttemptOutcome outcome) {
        RoutingEngineHarness harness = warmedUpHarness(NON_IDEMPOTENT);
        harness.endAttempt(harness.request("r", 0), outcome);
        assertEquals("failed", harness.finalResponses.get("r"));
        assertEquals(1, harness.attemptsOf("r").size());
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"REJECTED", "CONNECT_FAILED"})
    void unexecutedNonIdempotentRequestIsRetried(AttemptOutcome outcome) {
        RoutingEngineHarness harness = warmedUpHarness(NON_IDEMPOTENT);
        RoutingEngineHarness.SentAttempt first = harness.request("r", 0);
        harness.endAttempt(first, outcome);
        assertEquals(2, harness.attemptsOf("r").size());
        assertFalse(harness.attemptsOf("r").get(1).endpointId.equals(first.endpointId));
    }

    @Test
    void nonIdempotentRequestIsNotHedged() {
        RoutingEngineHarness harness = warmedUpHarness(NON_IDEMPOTENT);
        harness.request("r", 0);
        harness.advanceTime(RoutingEngineHarness.DEADLINE_MICROS - 100_000);
        assertEquals(1, harness.attemptsOf("r").size());
    }

    @Test
    void noHedgingWhereSettingsForbidIt() {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                                RoutingEngineHarness.settings(
                                        1, false, DiscoveryMode.PUSH, List.of(), IDEMPOTENT),
                                5)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(6));
        harness.warmUp(60, 0, 40_000);
        RoutingEngineHarness.SentAttempt first = harness.request("r", 0);
        assertTrue(
                first.timeoutMicros > 0
                        && first.timeoutMicros < RoutingEngineHarness.DEADLINE_MICROS,
                "room is left for another attempt");
        harness.advanceTime(RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS);
        assertEquals(1, harness.attemptsOf("r").size());
    }

    @ParameterizedTest
    @EnumSource(DeduplicationScope.class)
    void keyedRetryStaysInDeduplicationScope(DeduplicationScope scope) {
        for (int seed = 0; seed < 20; seed++) {
            RoutingEngineHarness harness =
                    new RoutingEngineHarness(
                                    RoutingEngineHarness.settings(
                                            RoutingEngineHarness.requestClass(
                                                    Idempotency.IDEMPOTENCY_KEY, scope)),
                                    seed)
                            .updateEndpoints(
                                    EndpointListKind.CACHED, RoutingEngineHarness.endpoints(6));
            harness.warmUp(40, 0, 40_000);
            RoutingEngineHarness.SentAttempt first = harness.request("r", 0);
            harness.endAttempt(first, AttemptOutcome.ERROR);
            RoutingEngineHarness.SentAttempt second = harness.attemptsOf("r").get(1);
            if (scope != DeduplicationScope.ALL) {
                // Cell and zone alternate over the fleet
                assertEquals(first.endpointId.charAt(1) % 2, second.endpointId.charAt(1) % 2);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(DeduplicationScope.class)
    void keyedRequestIsNotRetriedAfterItsWindow(DeduplicationScope scope) {
        RoutingEngineHarness harness =
                warmedUpHarness(
                        RoutingEngineHarness.requestClass(Idempotency.IDEMPOTENCY_KEY, scope));
        RoutingEngineHarness.SentAttempt first = harness.request("r", 0);
        // The window is 2 s from the first send
        harness.advanceTime(2_500_000);
        for (RoutingEngineHarness.SentAttempt attempt : harness.attemptsOf("r")) {
            assertTrue(attempt.sentAtMicros - first.sentAtMicros < 2_000_000);
        }
        int attemptsBefore = harness.attemptsOf("r").size();
        harness.attemptsOf("r")
                .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.ERROR));
        harness.advanceTime(1_000_000);
        assertEquals(attemptsBefore, harness.attemptsOf("r").size());
        assertEquals(
                scope == DeduplicationScope.ALL ? "refused" : "failed",
                harness.finalResponses.get("r"));
    }

    @Test
    void drainingOrRemovedEndpointGetsNoRequests() {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(RoutingEngineHarness.settings(IDEMPOTENT), 1)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(3));
        harness.updateEndpoints(
                EndpointListKind.DELTA,
                List.of(new Endpoint("s0", EndpointStatus.DRAINING, 0, 1, 0, 0, 0)));
        harness.updateEndpoints(
                EndpointListKind.DELTA,
                List.of(new Endpoint("s1", EndpointStatus.REMOVED, 0, 1, 1, 1, 1)));
        for (int i = 0; i < 30; i++) {
            RoutingEngineHarness.SentAttempt sent = harness.request("r" + i, 0);
            assertEquals("s2", sent.endpointId);
            harness.advanceTime(30_000);
            harness.endAttempt(sent, AttemptOutcome.OK);
        }
        harness.updateEndpoints(
                EndpointListKind.COMPLETE, List.of(RoutingEngineHarness.upEndpoint("s1")));
        assertEquals(
                "s1", harness.request("x", 0).endpointId, "missing in a complete list is gone");
    }

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
                "a nearly spent request is answered at once");
        harness.advanceTime(RoutingEngineHarness.DEADLINE_MICROS);
        assertEquals("refused", harness.finalResponses.get("a"));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 8})
    void warmingEndpointStaysWithinItsBudget(int balancerCount) {
        // One warm server gives 50 answers a second to this balancer; the cold one may take its
        // part of that.
        RoutingSettings settings =
                RoutingEngineHarness.settings(
                        balancerCount, true, DiscoveryMode.PUSH, List.of(), IDEMPOTENT);
        RoutingEngineHarness harness =
                new RoutingEngineHarness(settings, 1)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(4));
        harness.warmUp(300, 0, 20_000);
        harness.updateEndpoints(
                EndpointListKind.DELTA,
                List.of(new Endpoint("cold", EndpointStatus.UP, harness.now, 1, 0, 0, 0)));
        long startedAt = harness.now;
        harness.warmUp(150, 0, 20_000);
        long sentCount = harness.countSentTo("cold", startedAt);
        double seconds = (harness.now - startedAt) / 1e6;
        // At the end; less before
        double capacityFraction = 0.2 + 0.8 * seconds / 20;
        assertTrue(
                sentCount <= 50.0 / 4 * capacityFraction * 2.5 * seconds,
                sentCount + " in " + seconds + " s");
    }

    @Test
    void restartedEndpointWarmsUpAgain() {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(RoutingEngineHarness.settings(IDEMPOTENT), 1)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(2));
        harness.warmUp(100, 0, 20_000);
        harness.updateEndpoints(
                EndpointListKind.DELTA,
                List.of(new Endpoint("s0", EndpointStatus.UP, harness.now, 1, 0, 0, 0)));
        long restartedAt = harness.now;
        harness.warmUp(50, 0, 20_000);
        long sentWhileWarming = harness.countSentTo("s0", restartedAt);
        assertTrue(sentWhileWarming < 15, "a cold server took " + sentWhileWarming + " of 50");
    }

    /**
     * Odd but legal: late outcomes, lists that are stale, empty or partial, restarts, clients that
     * leave.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void randomEventsKeepTheInvariants(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> requestClasses =
                List.of(
                        IDEMPOTENT,
                        NON_IDEMPOTENT,
                        RoutingEngineHarness.requestClass(
                                Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL),
                        RoutingEngineHarness.requestClass(
                                Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL),
                        RoutingEngineHarness.requestClass(
                                Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE));
        boolean hedgingAllowed = random.nextBoolean();
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                        RoutingEngineHarness.settings(
                                1 + random.nextInt(4),
                                hedgingAllowed,
                                random.nextBoolean() ? DiscoveryMode.POLL : DiscoveryMode.PUSH,
                                List.of(new Tenant(5), new Tenant(50)),
                                requestClasses.toArray(new RequestClass[0])),
                        seed);
        Map<String, Endpoint> endpointsById = new TreeMap<>();
        Map<String, Long> deadlineByRequest = new TreeMap<>();
        Map<String, Integer> classByRequest = new TreeMap<>();
        Map<String, Long> unusableSince = new TreeMap<>();
        Map<String, Map<Integer, AttemptOutcome>> outcomesByRequest = new TreeMap<>();
        List<String> disconnectedRequests = new ArrayList<>();
        harness.updateEndpoints(
                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(random.nextInt(8)));
        RoutingEngineHarness.endpoints(8)
                .forEach(endpoint -> endpointsById.put(endpoint.id(), endpoint));
        int checkedAttempts = 0;
        for (int step = 0; step < 6000; step++) {
            int eventRoll = random.nextInt(100);
            if (eventRoll < 45) {
                String id = "r" + step;
                int classIndex = random.nextInt(requestClasses.size());
                long remainingMicros =
                        random.nextInt(10) == 0
                                ? random.nextLong(30_000)
                                : 200_000 + random.nextLong(2_800_000);
                deadlineByRequest.put(id, harness.now + remainingMicros);
                classByRequest.put(id, classIndex);
                harness.request(id, classIndex, random.nextInt(2), remainingMicros);
            } else if (eventRoll < 88) {
                List<RoutingEngineHarness.SentAttempt> inFlight =
                        harness.sentAttempts.stream().filter(attempt -> !attempt.ended).toList();
                if (!inFlight.isEmpty()) {
                    RoutingEngineHarness.SentAttempt sent =
                            inFlight.get(random.nextInt(inFlight.size()));
                    AttemptOutcome[] allOutcomes = AttemptOutcome.values();
                    AttemptOutcome outcome =
                            random.nextInt(3) > 0
                                    ? AttemptOutcome.OK
                                    : allOutcomes[random.nextInt(allOutcomes.length)];
                    if (outcome == AttemptOutcome.OK
                            && disconnectedRequests.contains(sent.requestId)) {
                        outcome = AttemptOutcome.CANCELLED;
                    }
                    outcomesByRequest
                            .computeIfAbsent(sent.requestId, k -> new TreeMap<>())
                            .put(sent.attemptNumber, outcome);
                    harness.endAttempt(sent, outcome);
                }
            } else if (eventRoll < 90 && !deadlineByRequest.isEmpty()) {
                String id = "r" + random.nextInt(step + 1);
                if (deadlineByRequest.containsKey(id) && !harness.finalResponses.containsKey(id)) {
                    harness.finalResponses.put(id, "gone");
                    disconnectedRequests.add(id);
                    harness.policy.onClientDisconnected(harness.now, id, harness);
                }
            } else if (eventRoll < 93) {
                String id = "s" + random.nextInt(8);
                EndpointStatus status = EndpointStatus.values()[random.nextInt(3)];
                long startedAt =
                        random.nextBoolean() ? 0 : harness.now - random.nextLong(5_000_000);
                Endpoint endpoint =
                        new Endpoint(
                                id,
                                status,
                                startedAt,
                                1 + random.nextInt(3),
                                random.nextInt(2),
                                random.nextInt(2),
                                random.nextInt(2));
                endpointsById.put(id, endpoint);
                harness.updateEndpoints(EndpointListKind.DELTA, List.of(endpoint));
                if (status == EndpointStatus.UP) {
                    unusableSince.remove(id);
                } else {
                    unusableSince.put(id, harness.now);
                }
            } else if (eventRoll < 94) {
                harness.updateEndpoints(EndpointListKind.FAILED, List.of());
            } else {
                harness.advanceTime(random.nextLong(60_000));
            }
            // Attempts whose own time-out or request's deadline has come end then, as on the wire.
            for (RoutingEngineHarness.SentAttempt attempt : new ArrayList<>(harness.sentAttempts)) {
                long endsAt =
                        attempt.timeoutMicros > 0
                                ? Math.min(
                                        attempt.sentAtMicros + attempt.timeoutMicros,
                                        deadlineByRequest.get(attempt.requestId))
                                : deadlineByRequest.get(attempt.requestId);
                if (!attempt.ended && harness.now >= endsAt) {
                    outcomesByRequest
                            .computeIfAbsent(attempt.requestId, k -> new TreeMap<>())
                            .put(attempt.attemptNumber, AttemptOutcome.TIMEOUT);
                    harness.endAttempt(attempt, AttemptOutcome.TIMEOUT);
                }
            }
            for (; checkedAttempts < harness.sentAttempts.size(); checkedAttempts++) {
                RoutingEngineHarness.SentAttempt attempt =
                        harness.sentAttempts.get(checkedAttempts);
                Long unusableFrom = unusableSince.get(attempt.endpointId);
                assertTrue(
                        unusableFrom == null || attempt.sentAtMicros <= unusableFrom,
                        "sent to a draining or gone server: " + attempt.endpointId);
                assertRetryAllowed(
                        harness,
                        attempt,
                        requestClasses.get(classByRequest.get(attempt.requestId)),
                        outcomesByRequest,
                        hedgingAllowed);
            }
        }
        harness.advanceTime(RoutingEngineHarness.DEADLINE_MICROS + 100_000);
        for (RoutingEngineHarness.SentAttempt attempt : new ArrayList<>(harness.sentAttempts)) {
            if (!attempt.ended) {
                harness.endAttempt(attempt, AttemptOutcome.TIMEOUT);
            }
        }
        harness.advanceTime(RoutingEngineHarness.DEADLINE_MICROS + 100_000);
        assertEquals(0, harness.duplicateFinalResponses);
        for (String id : deadlineByRequest.keySet()) {
            assertTrue(harness.finalResponses.containsKey(id), "no answer for " + id);
        }
    }

    private static void assertRetryAllowed(
            RoutingEngineHarness harness,
            RoutingEngineHarness.SentAttempt attempt,
            RequestClass requestClass,
            Map<String, Map<Integer, AttemptOutcome>> outcomesByRequest,
            boolean hedgingAllowed) {
        for (RoutingEngineHarness.SentAttempt earlier : harness.attemptsOf(attempt.requestId)) {
            if (earlier.attemptNumber >= attempt.attemptNumber) {
                continue;
            }
            AttemptOutcome outcome =
                    outcomesByRequest
                            .getOrDefault(attempt.requestId, Map.of())
                            .get(earlier.attemptNumber);
            boolean inFlight = outcome == null;
            assertTrue(hedgingAllowed || !inFlight, "two attempts at once");
            if (inFlight || !outcome.neverRan()) {
                assertTrue(
                        requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                        "an unsafe request went out twice");
                assertTrue(
                        requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY
                                || attempt.sentAtMicros - earlier.sentAtMicros
                                        < requestClass.idempotencyWindowMicros(),
                        "sent after its window");
            }
            assertTrue(outcome != AttemptOutcome.OK, "sent after it was served");
        }
    }
}
