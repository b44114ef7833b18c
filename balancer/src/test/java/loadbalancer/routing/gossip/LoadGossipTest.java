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

/** Exchange of load reports between routing engines, over {@link RoutingEngineHarness}. */
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

    /** Last report of balancer 1, which has many attempts in flight at the first two endpoints. */
    private static byte[] busyPeerMessage() {
        RoutingEngineHarness peer = harness(14, 1, true, 2);
        for (int i = 0; i < 12; i++) {
            peer.request("busy" + i, 0);
        }
        peer.advanceTime(1_300_000);
        return peer.gossipMessages.get(peer.gossipMessages.size() - 1);
    }

    /** How many of forty requests, served one after another, go to the first two endpoints. */
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
        // By the own queues alone, requests met 5.7 attempts of all balancers: the mean of all
        // endpoints.
        RoutingEngineHarness harness = harness(14, 0, true, 6);
        harness.policy.onPeerMessage(harness.now, 1, busyPeerMessage(), harness);
        assertTrue(countSentToFirstTwo(harness) == 0, "requests at busy endpoints");
    }

    @Test
    void reportedLoadExpiresAndIsReplaced() {
        RoutingEngineHarness harness = harness(14, 0, true, 6);
        harness.policy.onPeerMessage(harness.now, 1, busyPeerMessage(), harness);
        harness.advanceTime(2_000_000);
        assertTrue(countSentToFirstTwo(harness) >= 6, "an expired report has no effect");
        harness.policy.onPeerMessage(harness.now, 1, busyPeerMessage(), harness);
        harness.policy.onPeerMessage(harness.now, 1, new byte[] {3, 0, 0, 0, 0, 0}, harness);
        assertTrue(countSentToFirstTwo(harness) >= 6, "the last report replaces the one before");
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
        for (int fromBalancer : new int[] {-1, 0, 14, Integer.MAX_VALUE}) {
            harness.policy.onPeerMessage(harness.now, fromBalancer, busyMessage, harness);
        }
        assertEquals(
                1,
                harness.logLines.stream()
                        .filter(line -> line.contains("gossip message ignored: from="))
                        .count());
        assertTrue(countSentToFirstTwo(harness) >= 6, "a malformed report has an effect");
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
    void nothingIsSentWhereForbiddenOrAlone() {
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

    /** Serves requests, twelve at a time; those at {@code s0} fail. Returns how many went there. */
    private static long countSentToFailing(RoutingEngineHarness harness, int requestCount) {
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
        // Without gossip each of fourteen needs errors of its own: 60 errors a second, a twentieth
        // of all requests.
        RoutingEngineHarness reporter = harness(14, 1, true, 6);
        assertTrue(countSentToFailing(reporter, 60) >= 2);
        reporter.advanceTime(130_000);
        RoutingEngineHarness harness = harness(14, 0, true, 6);
        harness.policy.onPeerMessage(
                harness.now,
                1,
                reporter.gossipMessages.get(reporter.gossipMessages.size() - 1),
                harness);
        assertTrue(
                countSentToFailing(harness(14, 0, true, 6), 60) >= 1,
                "without the report it would receive requests");
        assertEquals(0, countSentToFailing(harness, 60), "it is ejected at once");
        harness.advanceTime(3_000_000);
        long sentCount = countSentToFailing(harness, 60);
        assertTrue(sentCount == 1, "then one request tests it: " + sentCount);
    }

    @Test
    void receivedEjectionIsNotForwarded() {
        RoutingEngineHarness reporter = harness(14, 1, true, 6);
        countSentToFailing(reporter, 60);
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
        for (int fromBalancer : new int[] {1, 2, 2}) {
            byte[] payload = new LoadGossipMessage(0, 70, List.of(), List.of(), List.of()).encode();
            harness.policy.onPeerMessage(harness.now, fromBalancer, payload, harness);
        }
        assertEquals(140, harness.policy.remoteRequestsPerSecond());
        harness.advanceTime(2_000_000);
        assertEquals(0, harness.policy.remoteRequestsPerSecond());
    }

    /** Counted work: what a balancer sends in 10 s under load, at any size of the fleet. */
    @ParameterizedTest
    @ValueSource(ints = {34, 100, 400, 1_600})
    void largeFleetGossipStaysWithinItsBudget(int balancerCount) {
        RoutingEngineHarness harness = harness(balancerCount, balancerCount - 1, true, 300);
        List<Integer> blockMembers =
                IntStream.rangeClosed(2, 17).map(i -> balancerCount - i).boxed().toList();
        for (int i = 0; i < 1_000; i++) {
            harness.request("r" + i, 0);
            harness.advanceTime(10_000);
            if (i % 50 == 0) {
                blockMembers.forEach(
                        fromBalancer ->
                                harness.policy.onPeerMessage(
                                        harness.now,
                                        fromBalancer,
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
                "no more than one report holds: " + unreachableCodes.size());
    }

    /** A fleet of a hundred, datagrams delivered every 50 ms, one in ten lost. */
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
        // Half of them crash: the others know it once the records of their blocks have expired.
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
    void broadcastsOfOldVersionsAreAccepted() {
        RoutingEngineHarness harness = harness(100, 0, true, 6);
        for (int fromBalancer : new int[] {50, 51, 99}) {
            byte[] payload = new LoadGossipMessage(0, 70, List.of(), List.of(), List.of()).encode();
            harness.policy.onPeerMessage(harness.now, fromBalancer, payload, harness);
        }
        harness.advanceTime(300_000);
        assertEquals(210, harness.policy.remoteRequestsPerSecond(), 1);
        harness.advanceTime(2_000_000);
        assertEquals(0, harness.policy.remoteRequestsPerSecond(), 1);
    }
}
