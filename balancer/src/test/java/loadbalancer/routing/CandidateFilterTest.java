package loadbalancer.routing;

import static loadbalancer.routing.RoutingEngineHarness.IDEMPOTENT;
import static loadbalancer.routing.RoutingEngineHarness.withEndpoints;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.routing.RoutingEngineHarness.SentAttempt;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which endpoints may take a request, by their status in the list, placement, slow start and
 * the subset on the ring.
 */
class CandidateFilterTest {
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
            SentAttempt sent = harness.request("r" + i, 0);
            assertEquals("s2", sent.endpointId);
            harness.advanceTime(30_000);
            harness.endAttempt(sent, AttemptOutcome.OK);
        }
        harness.updateEndpoints(
                EndpointListKind.COMPLETE, List.of(RoutingEngineHarness.upEndpoint("s1")));
        assertEquals(
                "s1",
                harness.request("x", 0).endpointId,
                "an endpoint missing in a complete list is removed");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 8})
    void warmingEndpointStaysWithinItsBudget(int balancerCount) {
        // The warm endpoints serve 50 requests per second of this balancer; the warming endpoint
        // may take its share of that rate.
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
        // Capacity at the end of the measurement; it is smaller before
        double capacityFraction = 0.2 + 0.8 * seconds / 20;
        assertTrue(
                sentCount <= 50.0 / 4 * capacityFraction * 2.5 * seconds,
                sentCount + " requests in " + seconds + " s");
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
        assertTrue(
                sentWhileWarming < 15,
                "a warming endpoint got " + sentWhileWarming + " of 50 requests");
    }

    @Test
    void subsetGrowsWhenItsEndpointsFail() {
        // Without subsets every balancer connects to every endpoint, and the handshakes overload
        // the endpoints when balancers start.
        RoutingEngineHarness harness = withEndpoints(11, 40, IDEMPOTENT);
        harness.serveConcurrently(4, 20_000, Map.of());
        List<String> initialSubset =
                harness.sentAttempts.stream()
                        .map(attempt -> attempt.endpointId)
                        .distinct()
                        .toList();
        assertTrue(initialSubset.size() <= 7, "more than a subset is used: " + initialSubset);
        Map<String, AttemptOutcome> failureOutcomes = new HashMap<>();
        initialSubset.forEach(s -> failureOutcomes.put(s, AttemptOutcome.ERROR));
        harness.serveConcurrently(100, 20_000, failureOutcomes);
        long measuredFrom = harness.now;
        harness.serveConcurrently(20, 20_000, failureOutcomes);
        long sentElsewhere =
                harness.sentAttempts.stream()
                        .filter(
                                attempt ->
                                        attempt.sentAtMicros >= measuredFrom
                                                && !initialSubset.contains(attempt.endpointId))
                        .count();
        assertTrue(
                sentElsewhere >= 70,
                "requests sent to other endpoints: " + sentElsewhere + " of 80");
    }

    @Test
    void subsetIsStableAcrossRestartsAndListChanges() {
        List<String> originalSubset = usedEndpoints(40, 11);
        assertEquals(
                originalSubset,
                usedEndpoints(40, 12),
                "the subset must not change when the balancer restarts");
        long retained = usedEndpoints(39, 12).stream().filter(originalSubset::contains).count();
        assertTrue(
                retained >= originalSubset.size() - 1,
                retained + " of " + originalSubset.size() + " endpoints kept");
    }

    private static List<String> usedEndpoints(int endpointCount, long seed) {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(RoutingEngineHarness.settings(IDEMPOTENT), seed)
                        .updateEndpoints(
                                EndpointListKind.CACHED,
                                RoutingEngineHarness.endpoints(endpointCount));
        for (int i = 0; i < 40; i++) {
            harness.request("r" + i, 0);
        }
        return harness.sentAttempts.stream()
                .map(attempt -> attempt.endpointId)
                .distinct()
                .sorted()
                .toList();
    }

    @Test
    void hotKeyUsesMoreEndpointsThanColdKey() {
        // With subsets of a fixed size, four of fifty endpoints got a seventh of all requests, the
        // traffic of the hottest key.
        RoutingSettings settings = RoutingEngineHarness.settings(IDEMPOTENT);
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
                                        true,
                                        settings.discoveryMode(),
                                        settings.loadReportSource(),
                                        true,
                                        settings.limits(),
                                        settings.bounds(),
                                        settings.clockTickMicros()),
                                3)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(20));
        for (int i = 0; i < 600; i++) {
            SentAttempt sent =
                    harness.requestWithKey("r" + i, 0, i % 2 == 0 ? "hot" : "k" + i % 75);
            harness.advanceTime(10_000);
            harness.sentAttempts.stream()
                    .filter(
                            attempt ->
                                    !attempt.ended && harness.now - attempt.sentAtMicros >= 60_000)
                    .toList()
                    .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
            assertTrue(sent != null);
        }
        long hotKeyEndpoints = countEndpointsUsed(harness, 0, 2);
        long coldKeyEndpoints = countEndpointsUsed(harness, 3, 75);
        assertTrue(
                hotKeyEndpoints >= 8 && coldKeyEndpoints <= 5,
                "endpoints of hot key: " + hotKeyEndpoints + ", of cold key: " + coldKeyEndpoints);
    }

    private static long countEndpointsUsed(
            RoutingEngineHarness harness, int remainder, int modulus) {
        return harness.sentAttempts.stream()
                .filter(
                        attempt ->
                                Integer.parseInt(attempt.requestId.substring(1)) % modulus
                                        == remainder)
                .map(attempt -> attempt.endpointId)
                .distinct()
                .count();
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

    @Test
    void placementBoundClassStaysOnItsEndpoints() {
        RoutingEngineHarness harness =
                withEndpoints(
                        3,
                        6,
                        IDEMPOTENT,
                        placementBoundClass(Set.of(1), Set.of()),
                        placementBoundClass(Set.of(), Set.of(0)));
        harness.warmUp(30, 0, 20_000);
        for (int i = 0; i < 40; i++) {
            // Endpoints with even and odd numbers differ in zone and machine type
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
                                        "retries and hedged requests too"));
        harness.sentAttempts.stream()
                .filter(attempt -> attempt.requestId.startsWith("k"))
                .forEach(
                        attempt ->
                                assertEquals(
                                        0,
                                        attempt.endpointId.charAt(1) % 2,
                                        "retries and hedged requests too"));
    }

    @Test
    void placementBoundRequestWaitsWithoutBlockingOthers() {
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
                "refused", harness.finalResponses.get("bound3"), "queued, then answered in time");
    }
}
