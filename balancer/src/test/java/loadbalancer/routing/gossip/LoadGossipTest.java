package loadbalancer.routing.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loadbalancer.routing.RoutingEngineHarness;
import loadbalancer.routing.api.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the exchange of load reports between routing engines in {@link RoutingEngineHarness}. */
class LoadGossipTest {
    private static RoutingEngineHarness harness(
            int balancerCount, int rank, boolean gossipAllowed, int endpointCount) {
        return GossipFixtures.harness(
                balancerCount,
                rank,
                0,
                gossipAllowed,
                endpointCount,
                GossipFixtures.NON_IDEMPOTENT);
    }

    /** Returns the last report of balancer 1, which has 12 attempts in flight at two endpoints. */
    private static byte[] busyPeerMessage() {
        RoutingEngineHarness peer = harness(14, 1, true, 2);
        for (int i = 0; i < 12; i++) {
            peer.request("busy" + i, 0);
        }
        peer.advanceTime(1_300_000);
        return peer.gossipMessages.get(peer.gossipMessages.size() - 1);
    }

    /** Serves 40 requests one after another. Returns how many go to the first two endpoints. */
    private static long countSentToFirstTwo(RoutingEngineHarness harness) {
        int sentBefore = harness.sentAttempts.size();
        for (int i = 0; i < 40; i++) {
            RoutingEngineHarness.SentAttempt sent = harness.request("r" + harness.now + "/" + i, 0);
            harness.advanceTime(5_000);
            harness.endAttempt(sent, AttemptOutcome.OK);
        }
        return harness.sentAttempts.stream()
                .skip(sentBefore)
                .filter(attempt -> attempt.endpointId.compareTo("s2") < 0)
                .count();
    }

    @Test
    void reportedRemoteQueuesAreAvoided() {
        // With only its local queues known, a balancer sent requests to endpoints with 5.7 attempts
        // of all balancers on average, which is the mean over all endpoints.
        RoutingEngineHarness harness = harness(14, 0, true, 6);
        harness.policy.onPeerMessage(harness.now, 1, busyPeerMessage(), harness);
        assertTrue(countSentToFirstTwo(harness) == 0, "requests sent to busy endpoints");
    }

    @Test
    void reportedLoadExpiresAndIsReplaced() {
        RoutingEngineHarness harness = harness(14, 0, true, 6);
        harness.policy.onPeerMessage(harness.now, 1, busyPeerMessage(), harness);
        harness.advanceTime(2_000_000);
        assertTrue(countSentToFirstTwo(harness) >= 6, "an expired report must have no effect");
        harness.policy.onPeerMessage(harness.now, 1, busyPeerMessage(), harness);
        harness.policy.onPeerMessage(harness.now, 1, new byte[] {3, 0, 0, 0, 0, 0}, harness);
        assertTrue(
                countSentToFirstTwo(harness) >= 6, "the last report must replace the previous one");
    }

    @Test
    void malformedMessagesAreIgnored() {
        RoutingEngineHarness harness = harness(14, 0, true, 6);
        byte[] busyMessage = busyPeerMessage();
        byte[] otherFormat = busyMessage.clone();
        otherFormat[0] = 9;
        for (byte[] payload :
                List.of(
                        new byte[0],
                        new byte[1],
                        new byte[300],
                        otherFormat,
                        Arrays.copyOf(busyMessage, busyMessage.length - 1),
                        new byte[] {3, 0, 0, 0, (byte) 255, 0, 0, 0})) {
            harness.policy.onPeerMessage(harness.now, 1, payload, harness);
        }
        for (int sender : new int[] {-1, 0, 14, Integer.MAX_VALUE}) {
            harness.policy.onPeerMessage(harness.now, sender, busyMessage, harness);
        }
        assertEquals(
                1,
                harness.logLines.stream()
                        .filter(line -> line.contains("gossip message ignored: from="))
                        .count());
        assertTrue(countSentToFirstTwo(harness) >= 6, "a malformed report must have no effect");
    }

    @Test
    void messageSizeIsBoundedForAnyListSize() {
        RoutingEngineHarness harness = harness(14, 0, true, 300);
        for (int i = 0; i < 600; i++) {
            harness.request("r" + i, 0);
        }
        harness.advanceTime(1_300_000);
        assertTrue(harness.gossipMessages.stream().anyMatch(payload -> payload.length > 150));
        assertTrue(harness.gossipMessages.stream().allMatch(payload -> payload.length <= 256));
    }

    @Test
    void nothingIsSentIfDisabledOrSingleBalancer() {
        for (RoutingEngineHarness harness :
                List.of(harness(14, 0, false, 6), harness(1, 0, true, 6))) {
            harness.request("r", 0);
            harness.advanceTime(3_000_000);
            assertTrue(harness.gossipMessages.isEmpty());
        }
        RoutingEngineHarness harness = harness(2, 0, true, 6);
        harness.advanceTime(3_000_000);
        assertFalse(harness.gossipMessages.isEmpty());
    }

    /**
     * Serves requests in batches of twelve; those at {@code s0} fail. Returns how many went there.
     */
    private static long countSentToFailingEndpoint(RoutingEngineHarness harness, int requestCount) {
        long measuredFrom = harness.now;
        for (int i = 0; i < requestCount; i++) {
            harness.request("e" + harness.now + "/" + i, 0);
            if (i % 12 == 11) {
                harness.advanceTime(100_000);
                harness.sentAttempts.stream()
                        .filter(attempt -> !attempt.ended)
                        .toList()
                        .forEach(
                                attempt ->
                                        harness.endAttempt(
                                                attempt,
                                                attempt.endpointId.equals("s0")
                                                        ? AttemptOutcome.ERROR
                                                        : AttemptOutcome.OK));
            }
        }
        return harness.countSentTo("s0", measuredFrom);
    }

    @Test
    void gossipedEjectionIsAppliedAtOnce() {
        // Without gossip each of 14 balancers ejects a failing endpoint only after its own errors.
        // That caused 60 errors per second, a twentieth of all requests.
        RoutingEngineHarness reporter = harness(14, 1, true, 6);
        assertTrue(countSentToFailingEndpoint(reporter, 60) >= 2);
        reporter.advanceTime(130_000);
        RoutingEngineHarness harness = harness(14, 0, true, 6);
        harness.policy.onPeerMessage(
                harness.now,
                1,
                reporter.gossipMessages.get(reporter.gossipMessages.size() - 1),
                harness);
        assertTrue(
                countSentToFailingEndpoint(harness(14, 0, true, 6), 60) >= 1,
                "without the report, s0 must receive requests");
        assertEquals(0, countSentToFailingEndpoint(harness, 60), "s0 must be ejected at once");
        harness.advanceTime(3_000_000);
        long sentCount = countSentToFailingEndpoint(harness, 60);
        assertTrue(sentCount == 1, "after the ejection, one request must test s0: " + sentCount);
    }

    @Test
    void receivedEjectionIsNotForwarded() {
        RoutingEngineHarness reporter = harness(14, 1, true, 6);
        countSentToFailingEndpoint(reporter, 60);
        reporter.advanceTime(130_000);
        RoutingEngineHarness harness = harness(14, 0, true, 6);
        harness.policy.onPeerMessage(
                harness.now,
                1,
                reporter.gossipMessages.get(reporter.gossipMessages.size() - 1),
                harness);
        harness.advanceTime(200_000);
        byte[] payload = harness.gossipMessages.get(harness.gossipMessages.size() - 1);
        assertEquals(List.of(), LoadGossipMessage.decode(payload).orElseThrow().ejectionEntries());
    }

    @Test
    void remoteRateExpiresWithSilentPeers() {
        RoutingEngineHarness harness = harness(14, 0, true, 6);
        assertEquals(0, harness.policy.remoteRequestsPerSecond());
        for (int sender : new int[] {1, 2, 2}) {
            byte[] payload = new LoadGossipMessage(0, 70, List.of(), List.of(), List.of()).encode();
            harness.policy.onPeerMessage(harness.now, sender, payload, harness);
        }
        assertEquals(140, harness.policy.remoteRequestsPerSecond());
        harness.advanceTime(2_000_000);
        assertEquals(0, harness.policy.remoteRequestsPerSecond());
    }

    /** Counts the datagrams and bytes that a balancer sends in 10 s under load, by fleet size. */
    @ParameterizedTest
    @ValueSource(ints = {34, 100, 400, 1_600})
    void gossipInLargeFleetIsBounded(int balancerCount) {
        RoutingEngineHarness harness = harness(balancerCount, balancerCount - 1, true, 300);
        List<Integer> blockMembers =
                IntStream.rangeClosed(2, 17).map(i -> balancerCount - i).boxed().toList();
        for (int i = 0; i < 1_000; i++) {
            harness.request("r" + i, 0);
            harness.advanceTime(10_000);
            if (i % 50 == 0) {
                blockMembers.forEach(
                        sender ->
                                harness.policy.onPeerMessage(
                                        harness.now,
                                        sender,
                                        new LoadGossipMessage(
                                                        0, 70, List.of(), List.of(), List.of())
                                                .encode(),
                                        harness));
            }
        }
        long totalBytes =
                harness.gossipMessages.stream().mapToLong(payload -> payload.length).sum();
        assertTrue(
                harness.gossipMessages.size() <= 10 * 50,
                harness.gossipMessages.size() + " datagrams in 10 s");
        assertTrue(totalBytes <= 10 * 2_700, totalBytes + " bytes in 10 s");
        assertFalse(harness.gossipReceivers.contains(-1), "broadcast");
        assertFalse(harness.gossipReceivers.contains(balancerCount - 1), "sent to itself");
        Set<Integer> loadReportReceivers =
                IntStream.range(0, harness.gossipMessages.size())
                        .filter(i -> harness.gossipMessages.get(i)[0] == 3)
                        .mapToObj(harness.gossipReceivers::get)
                        .collect(Collectors.toSet());
        assertEquals(
                IntStream.rangeClosed(1, 16)
                        .boxed()
                        .flatMap(i -> Stream.of(i - 1, balancerCount - 1 - i))
                        .collect(Collectors.toSet()),
                loadReportReceivers);
    }

    @Test
    void smallFleetBroadcasts() {
        RoutingEngineHarness harness = harness(33, 0, true, 300);
        harness.request("r", 0);
        harness.advanceTime(3_000_000);
        assertEquals(Set.of(-1), Set.copyOf(harness.gossipReceivers));
        assertTrue(harness.gossipMessages.stream().allMatch(payload -> payload[0] == 3));
    }

    @Test
    void oversizedFleetLogsOnceAndGossipsToNeighbors() {
        RoutingEngineHarness harness = harness(1_825, 0, true, 6);
        harness.advanceTime(5_000_000);
        assertEquals(
                1,
                harness.logLines.stream()
                        .filter(
                                line ->
                                        line.endsWith(
                                                " remark fleet too large to aggregate:"
                                                        + " balancers=1825 max_balancers=1824"))
                        .count());
        assertEquals(32, Set.copyOf(harness.gossipReceivers).size());
    }

    @Test
    void entriesBeyondMessageSizeRotate() {
        RoutingEngineHarness harness = harness(100, 0, true, 300);
        for (int i = 0; i < 900; i++) {
            RoutingEngineHarness.SentAttempt sent = harness.request("r" + i, 0);
            if (sent != null) {
                harness.endAttempt(
                        sent,
                        sent.endpointId.endsWith("7")
                                ? AttemptOutcome.OK
                                : AttemptOutcome.CONNECT_FAILED);
            }
            harness.advanceTime(2_000);
        }
        harness.gossipMessages.clear();
        harness.advanceTime(8_000_000);
        Set<Integer> unreachableCodes =
                harness.gossipMessages.stream()
                        .filter(payload -> payload[0] == 3)
                        .flatMap(
                                payload ->
                                        LoadGossipMessage.decode(payload)
                                                .orElseThrow()
                                                .unreachableCodes()
                                                .stream())
                        .collect(Collectors.toSet());
        assertTrue(
                unreachableCodes.size() > 7,
                "no more codes than fit in one report: " + unreachableCodes.size());
    }

    /** Runs 100 balancers whose datagrams are delivered every 50 ms, with 10 % loss. */
    @Test
    void hundredBalancersConvergeOnTotalRate() {
        List<RoutingEngineHarness> fleet =
                IntStream.range(0, 100).mapToObj(rank -> harness(100, rank, true, 20)).toList();
        SplittableRandom random = new SplittableRandom(3);
        runFleet(fleet, 8_000_000, random);
        double totalRate = 0;
        for (int rank = 0; rank < 100; rank++) {
            totalRate += rateOf(rank);
        }
        for (int rank = 0; rank < 100; rank++) {
            double knownFraction =
                    fleet.get(rank).policy.remoteRequestsPerSecond() / (totalRate - rateOf(rank));
            assertTrue(
                    knownFraction > 0.8 && knownFraction < 1.2,
                    knownFraction + " of the true remote rate, at balancer " + rank);
        }
        // Half of the balancers crash. The others detect it when the records of the blocks expire.
        List<RoutingEngineHarness> survivors = fleet.subList(0, 50);
        runFleet(survivors, 7_000_000, random);
        double survivorRate = 0;
        for (int rank = 0; rank < 50; rank++) {
            survivorRate += rateOf(rank);
        }
        for (int rank = 0; rank < 50; rank++) {
            double knownFraction =
                    survivors.get(rank).policy.remoteRequestsPerSecond()
                            / (survivorRate - rateOf(rank));
            assertTrue(
                    knownFraction > 0.8 && knownFraction < 1.2,
                    knownFraction + " of the true remote rate, at balancer " + rank);
        }
    }

    private static int rateOf(int rank) {
        return rank % 3 == 0 ? 40 : 20;
    }

    private static void runFleet(
            List<RoutingEngineHarness> fleet, long durationMicros, SplittableRandom random) {
        for (long elapsedMicros = 0; elapsedMicros < durationMicros; elapsedMicros += 50_000) {
            for (int rank = 0; rank < fleet.size(); rank++) {
                RoutingEngineHarness harness = fleet.get(rank);
                harness.advanceTime(50_000);
                for (int i = 0; i < rateOf(rank) / 20; i++) {
                    harness.endAttempt(
                            harness.request(rank + "/" + harness.now + "/" + i, 0),
                            AttemptOutcome.OK);
                }
            }
            for (int rank = 0; rank < fleet.size(); rank++) {
                RoutingEngineHarness harness = fleet.get(rank);
                for (int i = 0; i < harness.gossipMessages.size(); i++) {
                    int receiver = harness.gossipReceivers.get(i);
                    if (receiver < fleet.size() && random.nextDouble() > 0.1) {
                        RoutingEngineHarness peer = fleet.get(receiver);
                        peer.policy.onPeerMessage(
                                peer.now, rank, harness.gossipMessages.get(i), peer);
                    }
                }
                harness.gossipMessages.clear();
                harness.gossipReceivers.clear();
            }
        }
    }

    @Test
    void broadcastsOfOlderVersionsAreAccepted() {
        RoutingEngineHarness harness = harness(100, 0, true, 6);
        for (int sender : new int[] {50, 51, 99}) {
            byte[] payload = new LoadGossipMessage(0, 70, List.of(), List.of(), List.of()).encode();
            harness.policy.onPeerMessage(harness.now, sender, payload, harness);
        }
        harness.advanceTime(300_000);
        assertEquals(210, harness.policy.remoteRequestsPerSecond(), 1);
        harness.advanceTime(2_000_000);
        assertEquals(0, harness.policy.remoteRequestsPerSecond(), 1);
    }
}
