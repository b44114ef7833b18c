package loadbalancer.routing.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import loadbalancer.routing.RoutingEngineHarness;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.endpoint.EndpointState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the {@link SlowStart} budget of an endpoint holds for the sum of all balancers. */
class SlowStartTest {
    private static final RequestClass IDEMPOTENT =
            RoutingEngineHarness.requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    private static final int WARM_ENDPOINT_COUNT = 4;
    private static final String WARMING_ENDPOINT = "cold";

    private static RoutingEngineHarness newBalancer(int balancerCount, int rank) {
        return new RoutingEngineHarness(
                        RoutingEngineHarness.settings(
                                balancerCount, true, DiscoveryMode.PUSH, List.of(), IDEMPOTENT),
                        rank)
                .updateEndpoints(
                        EndpointListKind.CACHED,
                        RoutingEngineHarness.endpoints(WARM_ENDPOINT_COUNT));
    }

    private static RoutingEngineHarness addWarmingEndpoint(RoutingEngineHarness harness) {
        return harness.updateEndpoints(
                EndpointListKind.DELTA,
                List.of(
                        new Endpoint(
                                WARMING_ENDPOINT, EndpointStatus.UP, harness.now, 1, 0, 0, 0)));
    }

    /**
     * Sends requests to all balancers in turn; each attempt succeeds immediately.
     *
     * @param sentToWarm element 0 is increased by the number of attempts sent to warm endpoints
     * @return number of attempts sent to the warming endpoint
     */
    private static int driveTraffic(
            List<RoutingEngineHarness> fleet,
            int requestsPerSecond,
            int seconds,
            int[] sentToWarm) {
        int sentToWarming = 0;
        long startMicros = fleet.get(0).now;
        for (int i = 0; i < seconds * requestsPerSecond; i++) {
            RoutingEngineHarness harness = fleet.get(i % fleet.size());
            harness.advanceTime(startMicros + (long) (i * 1e6 / requestsPerSecond) - harness.now);
            RoutingEngineHarness.SentAttempt sent = harness.request("r" + harness.now + "/" + i, 0);
            sentToWarming += sent.endpointId.equals(WARMING_ENDPOINT) ? 1 : 0;
            sentToWarm[0] += sent.endpointId.equals(WARMING_ENDPOINT) ? 0 : 1;
            harness.endAttempt(sent, AttemptOutcome.OK);
        }
        fleet.forEach(
                harness -> harness.advanceTime(startMicros + seconds * 1_000_000L - harness.now));
        return sentToWarming;
    }

    /** Guards against a burst from tokens that each balancer kept while idle. */
    @ParameterizedTest
    @ValueSource(ints = {20, 100, 1_000})
    void burstAfterIdleKeepsSlowStartBudget(int balancerCount) {
        List<RoutingEngineHarness> fleet =
                IntStream.range(0, balancerCount)
                        .mapToObj(i -> newBalancer(balancerCount, i))
                        .toList();
        int requestsPerSecond = 200;
        driveTraffic(fleet, requestsPerSecond, 10, new int[1]);
        fleet.forEach(SlowStartTest::addWarmingEndpoint);
        int idleSeconds = 6;
        int sentToWarming = 0;
        for (RoutingEngineHarness harness : fleet) {
            harness.advanceTime(idleSeconds * 1_000_000L);
            for (int i = 0; i < 6; i++) {
                RoutingEngineHarness.SentAttempt sent = harness.request("b" + i, 0);
                sentToWarming += sent != null && sent.endpointId.equals(WARMING_ENDPOINT) ? 1 : 0;
            }
        }
        // In a window of 1 s the settings allow 2.5 times the warming endpoint's fraction of the
        // rate of a warm endpoint.
        double budget =
                2.5 * (0.2 + 0.8 * idleSeconds / 20) * requestsPerSecond / WARM_ENDPOINT_COUNT;
        double allowed = budget + 2 * Math.sqrt(budget) + 2;
        assertTrue(
                sentToWarming <= allowed,
                sentToWarming + " attempts sent at once, allowed in 1 s: " + allowed);
    }

    /** Under steady load a warming endpoint gets a third to 2.5 times its expected share. */
    @ParameterizedTest
    @ValueSource(ints = {5, 30, 100})
    void steadyLoadUsesSlowStartBudget(int balancerCount) {
        int requestsPerSecond = 500;
        List<RoutingEngineHarness> fleet =
                IntStream.range(0, balancerCount)
                        .mapToObj(i -> addWarmingEndpoint(newBalancer(balancerCount, i)))
                        .toList();
        driveTraffic(fleet, requestsPerSecond, 4, new int[1]);
        int[] sentToWarm = new int[1];
        int sentToWarming = driveTraffic(fleet, requestsPerSecond, 4, sentToWarm);
        double capacityFraction = 0.2 + 0.8 * 6 / 20;
        double expectedShare = capacityFraction * sentToWarm[0] / WARM_ENDPOINT_COUNT;
        assertTrue(
                sentToWarming >= expectedShare / 3,
                sentToWarming + " attempts, expected share " + expectedShare);
        assertTrue(
                sentToWarming <= 2.5 * expectedShare,
                sentToWarming + " attempts, expected share " + expectedShare);
    }

    /**
     * The settings ramp up from 0.2 in 20 s. The usable fraction is 1.6 times the ramp fraction, at
     * most 1.
     */
    @ParameterizedTest(name = "{0} s after the start: {1} of full capacity, {2} usable")
    @CsvSource({"0, 0.2, 0.32", "5, 0.4, 0.64", "10, 0.6, 0.96", "19, 0.96, 1", "20, 1, 1"})
    void capacityGrowsLinearlyWithAge(
            int ageSeconds, double expectedRampFraction, double expectedUsableFraction) {
        SlowStart slowStart = new SlowStart(RoutingEngineHarness.settings(IDEMPOTENT), 1_000_000);
        long startedAtMicros = 1_000_000_000;
        EndpointState endpoint =
                new EndpointState(
                        new Endpoint(
                                WARMING_ENDPOINT, EndpointStatus.UP, startedAtMicros, 1, 0, 0, 0),
                        0,
                        1);
        long now = startedAtMicros + ageSeconds * 1_000_000L;
        assertEquals(expectedRampFraction, slowStart.rampFraction(endpoint, now), 1e-9);
        assertEquals(expectedUsableFraction, slowStart.usableFraction(endpoint, now), 1e-9);
    }
}
