package loadbalancer.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RoutingSettings;
import org.junit.jupiter.api.Test;

/** Tests that the routing engine selects endpoints by JSQ-DAS. */
class JsqDasSelectorTest {
    private static final RoutingSettings IDEMPOTENT_SETTINGS =
            RoutingEngineHarness.settings(
                    RoutingEngineHarness.requestClass(
                            Idempotency.IDEMPOTENT, DeduplicationScope.ALL));

    /**
     * Returns a harness with six endpoints, the size of a subset. Three of them are of a machine
     * type with twice the weight, so that p is one half.
     */
    private static RoutingEngineHarness twoWeightHarness(long seed) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            endpoints.add(
                    new Endpoint(
                            "s" + i, EndpointStatus.UP, 0, i < 3 ? 2 : 1, 0, i < 3 ? 0 : 1, 0));
        }
        return new RoutingEngineHarness(IDEMPOTENT_SETTINGS, seed)
                .updateEndpoints(EndpointListKind.CACHED, endpoints);
    }

    @Test
    void initialRankingDiffersBetweenBalancers() {
        // If the initial ranking depended only on the listed weight, all balancers would send their
        // first requests to the same half of the endpoints.
        Map<String, Integer> firstChoiceCounts = new HashMap<>();
        for (int seed = 0; seed < 2000; seed++) {
            firstChoiceCounts.merge(
                    twoWeightHarness(seed).request("r", 0).endpointId, 1, Integer::sum);
        }
        assertEquals(Set.of("s0", "s1", "s2", "s3", "s4", "s5"), firstChoiceCounts.keySet());
        for (int count : firstChoiceCounts.values()) {
            assertTrue(count > 250 && count < 420, "uneven first choices: " + firstChoiceCounts);
        }
    }

    @Test
    void tieWinsFollowSamplingWithoutReplacement() {
        // With distinct counts, ranks 0, 1 and 2 win ties with probabilities 2/3, 1/3 and 0
        Map<Integer, Integer> winsByRank = new HashMap<>();
        for (int seed = 0; seed < 3000; seed++) {
            RoutingEngineHarness harness = twoWeightHarness(seed);
            List<String> chosenEndpoints = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                // These requests make the dispatch counts of the endpoints differ
                RoutingEngineHarness.SentAttempt sent = harness.request("w" + i, 0);
                harness.now += 1000;
                harness.endAttempt(sent, AttemptOutcome.OK);
                chosenEndpoints.add(sent.endpointId);
            }
            Map<String, Integer> countsByEndpoint = new HashMap<>();
            chosenEndpoints.forEach(
                    endpointId -> countsByEndpoint.merge(endpointId, 1, Integer::sum));
            List<String> rankedEndpoints =
                    countsByEndpoint.entrySet().stream()
                            .sorted((a, b) -> b.getValue() - a.getValue())
                            .map(Map.Entry::getKey)
                            .toList();
            if (new HashSet<>(countsByEndpoint.values()).size() == countsByEndpoint.size()) {
                winsByRank.merge(
                        rankedEndpoints.indexOf(harness.request("x", 0).endpointId),
                        1,
                        Integer::sum);
            }
        }
        double totalWins = winsByRank.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(totalWins > 300, "enough samples with distinct counts: " + totalWins);
        assertEquals(0.67, winsByRank.getOrDefault(0, 0) / totalWins, 0.08);
        assertEquals(0.33, winsByRank.getOrDefault(1, 0) / totalWins, 0.08);
        assertEquals(
                0.0,
                winsByRank.getOrDefault(2, 0) / totalWins,
                0.001,
                "the lowest rank of the accomplished set never wins a tie");
    }

    @Test
    void shortestSampledQueueIsChosen() {
        // If all accomplished endpoints are busy, an idle one of the others must be selected
        for (int seed = 0; seed < 50; seed++) {
            RoutingEngineHarness harness = twoWeightHarness(seed);
            Set<String> busyEndpoints = new HashSet<>();
            for (int i = 0; i < 3; i++) {
                busyEndpoints.add(harness.request("r" + i, 0).endpointId);
            }
            if (busyEndpoints.size() == 3) {
                assertTrue(!busyEndpoints.contains(harness.request("next", 0).endpointId));
            }
        }
    }

    @Test
    void listSmallerThanSampleIsUsed() {
        for (int endpointCount = 1; endpointCount <= 3; endpointCount++) {
            RoutingEngineHarness harness =
                    new RoutingEngineHarness(IDEMPOTENT_SETTINGS, 7)
                            .updateEndpoints(
                                    EndpointListKind.CACHED,
                                    RoutingEngineHarness.endpoints(endpointCount));
            assertNotNull(harness.request("r", 0));
        }
    }

    @Test
    void sameSeedReplaysSameActions() {
        List<String> firstLog = replay(42);
        assertEquals(firstLog, replay(42));
        assertTrue(!firstLog.equals(replay(43)), "another seed must give other actions");
    }

    private static List<String> replay(long seed) {
        RoutingEngineHarness harness = twoWeightHarness(seed);
        for (int i = 0; i < 300; i++) {
            RoutingEngineHarness.SentAttempt sent = harness.request("r" + i, 0);
            harness.advanceTime(7_000 + i % 13 * 1000);
            if (sent != null) {
                harness.endAttempt(sent, i % 11 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
            }
        }
        return harness.logLines;
    }

    @Test
    void fastFailureStillCountsInQueueLength() {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(IDEMPOTENT_SETTINGS, 3)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(4));
        harness.warmUp(40, 0, 50_000);
        RoutingEngineHarness.SentAttempt failedAttempt = harness.request("bad", 0);
        harness.now += 500;
        // The retry is sent to another endpoint
        harness.endAttempt(failedAttempt, AttemptOutcome.ERROR);
        assertEquals(2, harness.attemptsOf("bad").size());
        assertTrue(!harness.attemptsOf("bad").get(1).endpointId.equals(failedAttempt.endpointId));
        for (int i = 0; i < 2; i++) {
            // Two other endpoints are idle, and the slot of the failed attempt still counts
            assertTrue(!harness.request("n" + i, 0).endpointId.equals(failedAttempt.endpointId));
        }
    }
}
