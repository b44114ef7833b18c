package loadbalancer.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.api.Tenant;
import loadbalancer.routing.gossip.LoadGossipMessage;
import loadbalancer.util.Hashing;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the decisions of one balancer in a large fleet of balancers and endpoints. */
class LargeFleetRoutingTest {
    private static final RequestClass NON_IDEMPOTENT =
            RoutingEngineHarness.requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
    private static final List<Tenant> TENANTS = Collections.nCopies(6, new Tenant(210));

    private static RoutingEngineHarness harness(int balancerCount, int endpointCount) {
        return new RoutingEngineHarness(
                        RoutingEngineHarness.settings(
                                balancerCount, true, DiscoveryMode.PUSH, TENANTS, NON_IDEMPOTENT),
                        5)
                .updateEndpoints(
                        EndpointListKind.CACHED, RoutingEngineHarness.endpoints(endpointCount));
    }

    /**
     * Sends requests of all tenants in turn, each served after {@code latencyMicros}; returns the
     * number of rejected requests.
     */
    private static long driveTraffic(
            RoutingEngineHarness harness,
            int requestsPerSecond,
            double seconds,
            long latencyMicros) {
        long rejectedBefore =
                harness.finalResponses.values().stream().filter("refused"::equals).count();
        for (int i = 0; i < requestsPerSecond * seconds; i++) {
            harness.request(
                    "r" + harness.now, 0, i % TENANTS.size(), RoutingEngineHarness.DEADLINE_MICROS);
            harness.advanceTime(1_000_000 / requestsPerSecond);
            harness.sentAttempts.stream()
                    .filter(
                            attempt ->
                                    !attempt.ended
                                            && attempt.sentAtMicros + latencyMicros <= harness.now)
                    .toList()
                    .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
        }
        return harness.finalResponses.values().stream().filter("refused"::equals).count()
                - rejectedBefore;
    }

    @Test
    void survivorsServeTrafficOfLostBalancers() {
        // Guards against wrong quotas after the loss of balancers. With ten of fourteen killed, a
        // balancer got eight times its traffic and rejected 70% of it for 3 s.
        RoutingEngineHarness harness = harness(14, 60);
        driveTraffic(harness, 60, 8, 300_000);
        driveTraffic(harness, 400, 2, 300_000);
        long rejected = driveTraffic(harness, 400, 2, 300_000);
        assertTrue(
                rejected < 160,
                rejected + " of 800 requests rejected, starting 2 s after the loss");
    }

    @Test
    void evenShareStaysWithinQuota() {
        RoutingEngineHarness harness = harness(14, 60);
        driveTraffic(harness, 60, 8, 300_000);
        long rejected = driveTraffic(harness, 60, 4, 300_000);
        assertTrue(rejected <= 24, rejected + " of 240 requests rejected within the quota");
    }

    @Test
    void newBalancerFeedsWarmingEndpoint() {
        // Guards against a warm rate that is too low at a new balancer. With the successes of 2 s
        // divided by 10 s, new endpoints were idle while the others were overloaded.
        RoutingEngineHarness harness = harness(14, 9);
        List<Endpoint> warmingEndpoints =
                List.of(
                        new Endpoint(
                                "cold", EndpointStatus.UP, harness.now - 8_000_000, 1, 0, 0, 0));
        harness.updateEndpoints(EndpointListKind.DELTA, warmingEndpoints);
        driveTraffic(harness, 50, 2, 20_000);
        long measuredFrom = harness.now;
        driveTraffic(harness, 50, 2, 20_000);
        long sentCount = harness.countSentTo("cold", measuredFrom);
        assertTrue(
                sentCount >= 6 && sentCount <= 20,
                "attempts sent to the warming endpoint, even share 10, its fraction 5 to 11: "
                        + sentCount);
    }

    /**
     * Sends 400 requests and returns how many of them are not served. Attempts at unreachable
     * endpoints fail to connect; all others succeed.
     *
     * @param isUnreachable whether connects to the endpoint of this id fail
     */
    private static long countUnserved(
            RoutingEngineHarness harness, Predicate<String> isUnreachable) {
        long unservedCount = 0;
        for (int i = 0; i < 400; i++) {
            String requestId = "u" + harness.now;
            harness.request(requestId, 0, i % TENANTS.size(), RoutingEngineHarness.DEADLINE_MICROS);
            harness.advanceTime(1_000);
            for (int round = 0; round < 5; round++) {
                harness.sentAttempts.stream()
                        .filter(attempt -> !attempt.ended && isUnreachable.test(attempt.endpointId))
                        .toList()
                        .forEach(
                                attempt ->
                                        harness.endAttempt(attempt, AttemptOutcome.CONNECT_FAILED));
            }
            harness.advanceTime(9_000);
            harness.sentAttempts.stream()
                    .filter(attempt -> !attempt.ended)
                    .toList()
                    .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
            unservedCount += "ok".equals(harness.finalResponses.get(requestId)) ? 0 : 1;
        }
        return unservedCount;
    }

    @ParameterizedTest
    @CsvSource({"60, 12", "60, 40", "10, 6", "10, 7", "2, 1"})
    void lostZoneGetsNoTraffic(int endpointCount, int lostCount) {
        // Guards against panic mode after the loss of a zone. With 38 of 60 endpoints lost, all
        // were used, and two balancers had 1,500 failed connects in 2 s.
        RoutingEngineHarness harness = harness(14, endpointCount);
        countUnserved(harness, s -> false);
        countUnserved(harness, s -> Integer.parseInt(s.substring(1)) < lostCount);
        long measuredFrom = harness.now;
        long unservedCount =
                countUnserved(harness, s -> Integer.parseInt(s.substring(1)) < lostCount);
        long failedConnectCount =
                harness.sentAttempts.stream()
                        .filter(
                                attempt ->
                                        attempt.sentAtMicros >= measuredFrom
                                                && attempt.requestId.startsWith("u")
                                                && Integer.parseInt(attempt.endpointId.substring(1))
                                                        < lostCount)
                        .count();
        assertTrue(
                failedConnectCount < 200 && unservedCount < 8,
                failedConnectCount
                        + " failed connects, "
                        + unservedCount
                        + " of 400 requests not served");
    }

    @Test
    void allEndpointsAreTriedWhenNoneIsReachable() {
        RoutingEngineHarness harness = harness(14, 10);
        countUnserved(harness, endpointId -> false);
        countUnserved(harness, endpointId -> true);
        assertTrue(
                countUnserved(harness, endpointId -> false) < 150,
                "too many requests not served directly after endpoints are back");
        assertTrue(
                countUnserved(harness, endpointId -> false) < 4,
                "requests are not served although all endpoints are back");
    }

    @Test
    void rejectingEndpointGetsGrowingBackoff() {
        // Guards against a constant backoff: 740 attempts a second were rejected, each at the cost
        // of a handshake at a full endpoint.
        RoutingEngineHarness harness = harness(14, 6);
        driveTraffic(harness, 100, 2, 100_000);
        long measuredFrom = harness.now;
        while (harness.now < measuredFrom + 1_500_000) {
            harness.request("f" + harness.now, 0);
            harness.sentAttempts.stream()
                    .filter(attempt -> !attempt.ended && attempt.endpointId.equals("s1"))
                    .toList()
                    .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.REJECTED));
            harness.advanceTime(5_000);
            harness.sentAttempts.stream()
                    .filter(
                            attempt ->
                                    !attempt.ended && attempt.sentAtMicros + 100_000 <= harness.now)
                    .toList()
                    .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
        }
        long sentCount = harness.countSentTo("s1", measuredFrom);
        assertTrue(
                sentCount >= 3 && sentCount <= 8,
                "attempts sent to the rejecting endpoint: " + sentCount);
    }

    /** Returns a harness for one of fourteen balancers, with gossip and sixty endpoints. */
    private static RoutingEngineHarness gossipingHarness() {
        RoutingSettings baseSettings =
                RoutingEngineHarness.settings(
                        14, true, DiscoveryMode.PUSH, TENANTS, NON_IDEMPOTENT);
        RoutingLimits limits = new RoutingLimits(5, true, true, true, 250_000, 0, true);
        return new RoutingEngineHarness(
                        new RoutingSettings(
                                14,
                                0,
                                0,
                                baseSettings.requestClasses(),
                                baseSettings.tenants(),
                                baseSettings.overQuotaWeightFactor(),
                                baseSettings.objectiveWeights(),
                                baseSettings.costs(),
                                baseSettings.weightPerWorkUnit(),
                                baseSettings.discoveryMode(),
                                baseSettings.loadReportSource(),
                                baseSettings.keyAffinityEnabled(),
                                limits,
                                baseSettings.bounds(),
                                baseSettings.clockTickMicros()),
                        5)
                .updateEndpoints(EndpointListKind.CACHED, RoutingEngineHarness.endpoints(60));
    }

    /**
     * Sends 100 requests a second while another balancer reports its traffic and lost endpoints;
     * returns the number of rejected requests.
     *
     * @param remoteRate requests per second that the other balancer reports
     * @param lostCount number of endpoints that the other balancer reports as unreachable
     */
    private static long countRejectedWithGossip(
            RoutingEngineHarness harness,
            double seconds,
            int remoteRate,
            int lostCount,
            long latencyMicros) {
        long rejected = 0;
        List<Integer> unreachableCodes =
                IntStream.range(0, lostCount)
                        .mapToObj(i -> LoadGossipMessage.endpointCode(Hashing.hash("s" + i)))
                        .toList();
        for (int i = 0; i < 2 * seconds; i++) {
            byte[] gossipMessage =
                    new LoadGossipMessage(0, remoteRate, List.of(), List.of(), unreachableCodes)
                            .encode();
            harness.policy.onPeerMessage(harness.now, 1, gossipMessage, harness);
            rejected += driveTraffic(harness, 100, 0.5, latencyMicros);
        }
        return rejected;
    }

    @Test
    void excessLoadIsShedBeforeResponsesAreLate() {
        // Guards against a late reaction: with two thirds of the endpoints lost, load was shed only
        // when the first responses were late, seconds after the loss.
        RoutingEngineHarness harness = gossipingHarness();
        assertTrue(
                countRejectedWithGossip(harness, 4, 1_100, 0, 20_000) < 60,
                "too many rejections while all endpoints are reachable");
        harness.advanceTime(1_100_000);
        countRejectedWithGossip(harness, 0.5, 1_100, 40, 20_000);
        long rejected = countRejectedWithGossip(harness, 1, 1_100, 40, 20_000);
        assertTrue(
                rejected > 45 && rejected < 75,
                "rejected of 100, of which 56 exceed the capacity: " + rejected);
        harness.advanceTime(2_500_000);
        countRejectedWithGossip(harness, 0.5, 1_100, 0, 20_000);
        rejected = countRejectedWithGossip(harness, 1, 1_100, 0, 20_000);
        assertTrue(rejected < 20, "rejected of 100 after all endpoints are back: " + rejected);
    }

    @Test
    void lateResponsesAloneDoNotShedLoad() {
        // Guards against shedding by latency alone: restarted balancers got late responses and
        // rejected 95% of the requests for 4 s after the queues were empty.
        RoutingEngineHarness harness = gossipingHarness();
        countRejectedWithGossip(harness, 4, 300, 0, 20_000);
        long rejected = countRejectedWithGossip(harness, 10, 300, 0, 2_000_000);
        assertTrue(rejected < 40, rejected + " of 1000 requests rejected at a third of the quotas");
    }

    @Test
    void endpointReportedUnreachableIsNotUsed() {
        RoutingEngineHarness harness = gossipingHarness();
        driveTraffic(harness, 100, 2, 20_000);
        harness.advanceTime(1_100_000);
        countRejectedWithGossip(harness, 0.5, 0, 40, 20_000);
        long measuredFrom = harness.now;
        countRejectedWithGossip(harness, 2, 0, 40, 20_000);
        long sentCount =
                harness.sentAttempts.stream()
                        .filter(
                                attempt ->
                                        attempt.sentAtMicros >= measuredFrom
                                                && Integer.parseInt(attempt.endpointId.substring(1))
                                                        < 40)
                        .count();
        assertTrue(sentCount == 0, sentCount + " attempts sent to lost endpoints");
        harness.advanceTime(2_500_000);
        driveTraffic(harness, 100, 2, 20_000);
        long remeasuredFrom = harness.now;
        driveTraffic(harness, 100, 2, 20_000);
        countRejectedWithGossip(harness, 1, 0, 40, 20_000);
        assertTrue(
                harness.sentAttempts.stream()
                        .anyMatch(
                                attempt ->
                                        attempt.sentAtMicros >= remeasuredFrom
                                                && Integer.parseInt(attempt.endpointId.substring(1))
                                                        < 40),
                "endpoints that respond are not used after a report");
    }
}
