package loadbalancer.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.PolicySnapshot;
import org.junit.jupiter.api.Test;

/** Tests snapshots of the statistics of a policy that another policy restores after a crash. */
class PolicySnapshotTest {
    private final List<Endpoint> endpoints =
            List.of(
                    RoutingEngineHarness.upEndpoint("a"),
                    RoutingEngineHarness.upEndpoint("b"),
                    RoutingEngineHarness.upEndpoint("c"),
                    RoutingEngineHarness.upEndpoint("d"));

    private RoutingEngineHarness newHarness() {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                        RoutingEngineHarness.settings(
                                RoutingEngineHarness.requestClass(
                                        Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        1);
        harness.updateEndpoints(EndpointListKind.COMPLETE, endpoints);
        return harness;
    }

    // Returns a harness that has sent 400 requests; the attempts at one endpoint have failed.
    private RoutingEngineHarness trainedHarness(String failingEndpoint) {
        RoutingEngineHarness harness = newHarness();
        for (int i = 0; i < 50; i++) {
            for (int j = 0; j < 8; j++) {
                // Requests are concurrent because otherwise one endpoint would get all of them
                harness.request("r" + i + "-" + j, 0);
            }
            harness.advanceTime(2_000);
            List.copyOf(harness.sentAttempts).stream()
                    .filter(attempt -> !attempt.ended)
                    .forEach(
                            attempt ->
                                    harness.endAttempt(
                                            attempt,
                                            attempt.endpointId.equals(failingEndpoint)
                                                    ? AttemptOutcome.CONNECT_FAILED
                                                    : AttemptOutcome.OK));
        }
        return harness;
    }

    private static PolicySnapshot.EndpointSnapshot endpointSnapshot(
            PolicySnapshot snapshot, String endpointId) {
        return snapshot.endpoints().stream()
                .filter(endpointSnapshot -> endpointSnapshot.id().equals(endpointId))
                .findAny()
                .orElseThrow();
    }

    @Test
    void restoredStatisticsDecayWithAge() {
        RoutingEngineHarness original = trainedHarness("b");
        PolicySnapshot snapshot = original.policy.snapshot(original.now);
        assertTrue(
                endpointSnapshot(snapshot, "b").ejectedForMicros() > 0
                        && endpointSnapshot(snapshot, "a").accomplishment() > 5,
                snapshot.toString());
        RoutingEngineHarness restored = newHarness();
        restored.policy.restore(restored.now, snapshot, 0);
        PolicySnapshot restoredSnapshot = restored.policy.snapshot(restored.now);
        assertEquals(
                endpointSnapshot(snapshot, "a").accomplishment(),
                endpointSnapshot(restoredSnapshot, "a").accomplishment(),
                1e-6);
        assertEquals(
                endpointSnapshot(snapshot, "b").ejectedForMicros(),
                endpointSnapshot(restoredSnapshot, "b").ejectedForMicros());
        assertEquals(
                snapshot.usualLatenciesMicros().get(0),
                restoredSnapshot.usualLatenciesMicros().get(0),
                1e-6);

        RoutingEngineHarness restoredLater = newHarness();
        restoredLater.policy.restore(restoredLater.now, snapshot, 10_000_000);
        PolicySnapshot decayedSnapshot = restoredLater.policy.snapshot(restoredLater.now);
        assertEquals(
                endpointSnapshot(snapshot, "a").accomplishment() / Math.E,
                endpointSnapshot(decayedSnapshot, "a").accomplishment(),
                1e-6);
        // The ejection has ended by now
        assertEquals(0, endpointSnapshot(decayedSnapshot, "b").ejectedForMicros());
    }

    @Test
    void unlistedOrRestartedEndpointIsNotRestored() {
        RoutingEngineHarness original = trainedHarness("b");
        PolicySnapshot snapshot = original.policy.snapshot(original.now);
        RoutingEngineHarness restored =
                new RoutingEngineHarness(
                        RoutingEngineHarness.settings(
                                RoutingEngineHarness.requestClass(
                                        Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        1);
        restored.updateEndpoints(
                EndpointListKind.COMPLETE,
                List.of(
                        new Endpoint("a", EndpointStatus.UP, 77, 1, 0, 0, 0),
                        RoutingEngineHarness.upEndpoint("d")));
        restored.policy.restore(restored.now, snapshot, 0);
        PolicySnapshot restoredSnapshot = restored.policy.snapshot(restored.now);
        assertEquals(
                List.of("a", "d"),
                restoredSnapshot.endpoints().stream()
                        .map(PolicySnapshot.EndpointSnapshot::id)
                        .toList());
        assertEquals(0, endpointSnapshot(restoredSnapshot, "a").accomplishment());
        assertTrue(endpointSnapshot(restoredSnapshot, "d").accomplishment() > 0);
    }

    @Test
    void allEjectedEndpointsInSnapshotAreStillUsed() {
        RoutingEngineHarness restored = newHarness();
        restored.policy.restore(
                restored.now,
                new PolicySnapshot(
                        endpoints.stream()
                                .map(
                                        endpoint ->
                                                new PolicySnapshot.EndpointSnapshot(
                                                        endpoint.id(),
                                                        endpoint.startedAtMicros(),
                                                        0,
                                                        0,
                                                        9,
                                                        15_000_000,
                                                        4,
                                                        0,
                                                        List.of(15_000_000L)))
                                .toList(),
                        List.of(1e12)),
                0);
        restored.advanceTime(300_000);
        restored.request("r", 0);
        restored.advanceTime(50_000);
        assertEquals(1, restored.sentAttempts.size());
    }
}
