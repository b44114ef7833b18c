package loadbalancer.routing.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.health.OutlierEjection;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests {@link ActiveEndpoints}: every endpoint that it does not contain is steady. */
class ActiveEndpointsTest {
    private static final int ENDPOINT_COUNT = 300;
    private static final long LISTED_AT_MICROS = 1_000_000_000;
    private static final long NOW = LISTED_AT_MICROS + 20_000_000;

    private final EndpointRegistry registry =
            new EndpointRegistry(EndpointListBenchmark.settings(), new SplittableRandom(1));
    private final OutlierEjection outlierEjection =
            new OutlierEjection(
                    new SplittableRandom(1),
                    new LatencyTracker(EndpointListBenchmark.settings().requestClasses()),
                    5_000);
    private List<EndpointState> endpoints;

    @BeforeEach
    void listEndpoints() {
        registry.update(
                EndpointListBenchmark.endpoints(ENDPOINT_COUNT),
                false,
                LISTED_AT_MICROS,
                line -> {});
        endpoints = List.copyOf(registry.listedEndpoints());
    }

    private void failAttempt(EndpointState endpoint) {
        outlierEjection.onFailure(endpoint, 1, 1_000, 1, NOW, ejectionMicros -> {});
    }

    private void updateStatus(EndpointState endpoint, EndpointStatus status) {
        registry.update(List.of(endpoint.descriptor().withStatus(status)), true, NOW, line -> {});
    }

    // Applies events of each kind that ends the steady state to five steady endpoints. Returns the
    // attempt that is in flight at one of them.
    private Attempt activateFiveEndpoints() {
        registry.removeSteadyEndpoints(endpoint -> true, LISTED_AT_MICROS);
        outlierEjection.onReportedUnreachable(endpoints.get(250), NOW);
        outlierEjection.onReportedUnreachable(endpoints.get(7), NOW);
        failAttempt(endpoints.get(100));
        failAttempt(endpoints.get(100));
        endpoints.get(33).classHealth(1).onRemoteEjection(NOW + 1_000_000);
        Attempt attempt = EndpointFixtures.sentAttempt(endpoints.get(8), NOW);
        registry.removeSteadyEndpoints(endpoint -> endpoint != endpoints.get(5), NOW);
        return attempt;
    }

    @Test
    void listedEndpointsAreActiveUntilFoundSteady() {
        assertEquals(ENDPOINT_COUNT, registry.activeEndpoints().size());
        registry.removeSteadyEndpoints(endpoint -> true, LISTED_AT_MICROS);
        assertEquals(List.of(), registry.activeEndpoints());
    }

    @Test
    void eventsMakeEndpointsActiveInListOrder() {
        activateFiveEndpoints();
        List<EndpointState> expectedActive =
                List.of(
                        endpoints.get(7),
                        endpoints.get(8),
                        endpoints.get(33),
                        endpoints.get(100),
                        endpoints.get(250));
        assertEquals(expectedActive, registry.activeEndpoints());
        assertEquals(Set.copyOf(expectedActive), new HashSet<>(registry.activeEndpoints()));
    }

    @Test
    void onlyListedEndpointsAreActive() {
        activateFiveEndpoints();
        updateStatus(endpoints.get(100), EndpointStatus.DRAINING);
        assertEquals(4, registry.activeEndpoints().size());
        failAttempt(endpoints.get(100));
        assertEquals(4, registry.activeEndpoints().size());
        updateStatus(endpoints.get(100), EndpointStatus.UP);
        assertEquals(5, registry.activeEndpoints().size());
    }

    /**
     * An endpoint that is reported unreachable stays active, since only an attempt can show that it
     * is reachable again.
     */
    @Test
    void endpointsBecomeSteadyAfterAttemptsAndEjectionsEnd() {
        Attempt attempt = activateFiveEndpoints();
        updateStatus(endpoints.get(100), EndpointStatus.DRAINING);
        failAttempt(endpoints.get(100));
        updateStatus(endpoints.get(100), EndpointStatus.UP);
        attempt.recordEnd(true);
        registry.removeSteadyEndpoints(endpoint -> true, NOW + 60_000_000);
        assertEquals(List.of(endpoints.get(7), endpoints.get(250)), registry.activeEndpoints());
    }
}
