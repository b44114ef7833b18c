package junctionhead;

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
import junctionhead.Policy.Discovery;
import junctionhead.Policy.Effect;
import junctionhead.Policy.ListKind;
import junctionhead.Policy.Outcome;
import junctionhead.Policy.Scope;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What balancers tell one another, and that nothing depends on it. */
class PeersTest {
    private static final Policy.RequestClass UNSAFE = Harness.kind(Effect.UNSAFE, Scope.ALL);

    private static Harness harness(int balancers, int rank, boolean mayTell, int servers) {
        Policy.Settings base = Harness.settings(balancers, true, Discovery.PUSH, List.of(), UNSAFE);
        Policy.Limits limits = new Policy.Limits(5, true, true, true, 250_000, 0, mayTell);
        return new Harness(
                        new Policy.Settings(
                                balancers,
                                rank,
                                0,
                                base.classes(),
                                base.tenants(),
                                base.overShareWorth(),
                                base.goal(),
                                base.prices(),
                                base.worthByWork(),
                                base.discovery(),
                                base.reports(),
                                base.warmKeys(),
                                limits,
                                base.bounds(),
                                base.tick()),
                        5)
                .list(ListKind.PERSISTED, Harness.fleet(servers));
    }

    /** The last message of balancer 1, which has many attempts out at the first two servers. */
    private static byte[] busy() {
        Harness other = harness(14, 1, true, 2);
        for (int i = 0; i < 12; i++) {
            other.request("busy" + i, 0);
        }
        other.pass(1_300_000);
        return other.told.get(other.told.size() - 1);
    }

    /** How many of forty requests, served one by one, go to the first two servers. */
    private static long toTheFirstTwo(Harness harness) {
        int before = harness.sends.size();
        for (int i = 0; i < 40; i++) {
            Harness.Sent sent = harness.request("r" + harness.now + "/" + i, 0);
            harness.pass(5_000);
            harness.end(sent, Outcome.OK);
        }
        return harness.sends.stream()
                .skip(before)
                .filter(s -> s.server.compareTo("s2") < 0)
                .count();
    }

    @Test
    void theQueuesThatOthersTellOfAreAvoided() {
        // Own queues said nothing: sends met 5.7 attempts of all balancers, the mean of all
        // servers.
        Harness harness = harness(14, 0, true, 6);
        harness.policy.peerMessage(harness.now, 1, busy(), harness);
        assertTrue(toTheFirstTwo(harness) == 0, "busy servers are avoided");
    }

    @Test
    void whatWasToldIsForgottenInSilenceAndReplacedByNews() {
        Harness harness = harness(14, 0, true, 6);
        harness.policy.peerMessage(harness.now, 1, busy(), harness);
        harness.pass(2_000_000);
        assertTrue(toTheFirstTwo(harness) >= 6, "a balancer that is gone holds nothing");
        harness.policy.peerMessage(harness.now, 1, busy(), harness);
        harness.policy.peerMessage(harness.now, 1, new byte[] {3, 0, 0, 0, 0, 0}, harness);
        assertTrue(toTheFirstTwo(harness) >= 6, "the last message counts");
    }

    @Test
    void whatIsNoMessageIsPassedOver() {
        Harness harness = harness(14, 0, true, 6);
        byte[] busy = busy();
        byte[] other = busy.clone();
        other[0] = 9;
        for (byte[] data :
                List.of(
                        new byte[0],
                        new byte[1],
                        new byte[300],
                        other,
                        Arrays.copyOf(busy, busy.length - 1),
                        new byte[] {3, 0, 0, 0, (byte) 255, 0, 0, 0})) {
            harness.policy.peerMessage(harness.now, 1, data, harness);
        }
        for (int from : new int[] {-1, 0, 14, Integer.MAX_VALUE}) {
            harness.policy.peerMessage(harness.now, from, busy, harness);
        }
        assertEquals(
                1, harness.log.stream().filter(l -> l.contains("passed over a message")).count());
        assertTrue(toTheFirstTwo(harness) >= 6, "nothing was learnt");
    }

    @Test
    void aMessageHasAtMostItsBytesHoweverManyServersThereAre() {
        Harness harness = harness(14, 0, true, 300);
        for (int i = 0; i < 600; i++) {
            harness.request("r" + i, 0);
        }
        harness.pass(1_300_000);
        assertTrue(harness.told.stream().anyMatch(data -> data.length > 150));
        assertTrue(harness.told.stream().allMatch(data -> data.length <= 256));
    }

    @Test
    void nothingIsToldWhereItMayNotOrNobodyIsThere() {
        for (Harness harness : List.of(harness(14, 0, false, 6), harness(1, 0, true, 6))) {
            harness.request("r", 0);
            harness.pass(3_000_000);
            assertTrue(harness.told.isEmpty());
        }
        Harness harness = harness(2, 0, true, 6);
        harness.pass(3_000_000);
        assertFalse(harness.told.isEmpty());
    }

    /**
     * Serves requests, twelve at a time, those at {@code s0} failing; returns how many went there.
     */
    private static long failing(Harness harness, int requests) {
        long from = harness.now;
        for (int i = 0; i < requests; i++) {
            harness.request("e" + harness.now + "/" + i, 0);
            if (i % 12 == 11) {
                harness.pass(100_000);
                harness.sends.stream()
                        .filter(s -> !s.ended)
                        .toList()
                        .forEach(
                                s ->
                                        harness.end(
                                                s,
                                                s.server.equals("s0")
                                                        ? Outcome.ERROR
                                                        : Outcome.OK));
            }
        }
        return harness.sentTo("s0", from);
    }

    @Test
    void oneBalancersDiscoveryOfAFailingClassSparesTheOthers() {
        // Each of fourteen found out by failures of its own: 60 errors a second, a twentieth of all
        // requests.
        Harness finder = harness(14, 1, true, 6);
        assertTrue(failing(finder, 60) >= 2);
        finder.pass(130_000);
        Harness harness = harness(14, 0, true, 6);
        harness.policy.peerMessage(
                harness.now, 1, finder.told.get(finder.told.size() - 1), harness);
        assertTrue(failing(harness(14, 0, true, 6), 60) >= 1, "untold it would be sent to");
        assertEquals(0, failing(harness, 60), "it rests at once");
        harness.pass(3_000_000);
        long tried = failing(harness, 60);
        assertTrue(tried == 1, "then it is tried for itself: " + tried);
    }

    @Test
    void whatWasOnlyHeardIsNotToldOn() {
        Harness finder = harness(14, 1, true, 6);
        failing(finder, 60);
        finder.pass(130_000);
        Harness harness = harness(14, 0, true, 6);
        harness.policy.peerMessage(
                harness.now, 1, finder.told.get(finder.told.size() - 1), harness);
        harness.pass(200_000);
        byte[] told = harness.told.get(harness.told.size() - 1);
        assertEquals(List.of(), PeerMessage.decode(told).rests());
    }

    @Test
    void whatOthersGetIsKnownWhileTheyAreHeard() {
        Harness harness = harness(14, 0, true, 6);
        assertEquals(0, harness.policy.othersRate());
        for (int from : new int[] {1, 2, 2}) {
            byte[] told = new PeerMessage(0, 70, List.of(), List.of(), List.of()).encode();
            harness.policy.peerMessage(harness.now, from, told, harness);
        }
        assertEquals(140, harness.policy.othersRate());
        harness.pass(2_000_000);
        assertEquals(0, harness.policy.othersRate());
    }

    /**
     * Counted work: what a balancer tells of itself, in 10 s under load, whatever the fleet's size.
     */
    @ParameterizedTest
    @ValueSource(ints = {34, 100, 400, 1_600})
    void aLargeFleetsBalancerTellsNoMoreThanItsPart(int balancers) {
        Harness harness = harness(balancers, balancers - 1, true, 300);
        List<Integer> mates = IntStream.rangeClosed(2, 17).map(i -> balancers - i).boxed().toList();
        for (int i = 0; i < 1_000; i++) {
            harness.request("r" + i, 0);
            harness.pass(10_000);
            if (i % 50 == 0) {
                mates.forEach(
                        from ->
                                harness.policy.peerMessage(
                                        harness.now,
                                        from,
                                        new PeerMessage(0, 70, List.of(), List.of(), List.of())
                                                .encode(),
                                        harness));
            }
        }
        long bytes = harness.told.stream().mapToLong(data -> data.length).sum();
        assertTrue(harness.told.size() <= 10 * 50, harness.told.size() + " datagrams in 10 s");
        assertTrue(bytes <= 10 * 2_700, bytes + " bytes in 10 s");
        assertFalse(harness.toldTo.contains(-1), "not to all");
        assertFalse(harness.toldTo.contains(balancers - 1), "not to itself");
        Set<Integer> byWord =
                IntStream.range(0, harness.told.size())
                        .filter(i -> harness.told.get(i)[0] == 3)
                        .mapToObj(harness.toldTo::get)
                        .collect(Collectors.toSet());
        assertEquals(
                IntStream.rangeClosed(1, 16)
                        .boxed()
                        .flatMap(i -> Stream.of(i - 1, balancers - 1 - i))
                        .collect(Collectors.toSet()),
                byWord);
    }

    @Test
    void aSmallFleetsBalancerTellsAll() {
        Harness harness = harness(33, 0, true, 300);
        harness.request("r", 0);
        harness.pass(3_000_000);
        assertEquals(Set.of(-1), Set.copyOf(harness.toldTo));
        assertTrue(harness.told.stream().allMatch(data -> data[0] == 3));
    }

    @Test
    void aFleetPastTheLimitIsToldSoOnceAndGoesOnWithNeighbours() {
        Harness harness = harness(1_825, 0, true, 6);
        harness.pass(5_000_000);
        assertEquals(
                1,
                harness.log.stream().filter(l -> l.contains("fleet reach 1824 balancers")).count());
        assertEquals(32, Set.copyOf(harness.toldTo).size());
    }

    @Test
    void whatDoesNotFitHasItsTurn() {
        Harness harness = harness(100, 0, true, 300);
        for (int i = 0; i < 900; i++) {
            Harness.Sent sent = harness.request("r" + i, 0);
            if (sent != null) {
                harness.end(sent, sent.server.endsWith("7") ? Outcome.OK : Outcome.CONNECT_FAILED);
            }
            harness.pass(2_000);
        }
        harness.told.clear();
        harness.pass(8_000_000);
        Set<Integer> lost =
                harness.told.stream()
                        .filter(data -> data[0] == 3)
                        .flatMap(data -> PeerMessage.decode(data).lost().stream())
                        .collect(Collectors.toSet());
        assertTrue(lost.size() > 7, "more than one message holds: " + lost.size());
    }

    /** A fleet of a hundred, the told datagrams handed over every 50 ms, one in ten lost. */
    @Test
    void whatAHundredGetIsKnownToEach() {
        List<Harness> fleet =
                IntStream.range(0, 100).mapToObj(rank -> harness(100, rank, true, 20)).toList();
        SplittableRandom random = new SplittableRandom(3);
        run(fleet, 8_000_000, random);
        double all = 0;
        for (int rank = 0; rank < 100; rank++) {
            all += rate(rank);
        }
        for (int rank = 0; rank < 100; rank++) {
            double known = fleet.get(rank).policy.othersRate() / (all - rate(rank));
            assertTrue(known > 0.8 && known < 1.2, known + " of what the others get, at " + rank);
        }
        // Half of them die: the others know it within the time for which a block's record counts.
        List<Harness> left = fleet.subList(0, 50);
        run(left, 7_000_000, random);
        double theirs = 0;
        for (int rank = 0; rank < 50; rank++) {
            theirs += rate(rank);
        }
        for (int rank = 0; rank < 50; rank++) {
            double known = left.get(rank).policy.othersRate() / (theirs - rate(rank));
            assertTrue(known > 0.8 && known < 1.2, known + " of what the others get, at " + rank);
        }
    }

    private static int rate(int rank) {
        return rank % 3 == 0 ? 40 : 20;
    }

    private static void run(List<Harness> fleet, long time, SplittableRandom random) {
        for (long passed = 0; passed < time; passed += 50_000) {
            for (int rank = 0; rank < fleet.size(); rank++) {
                Harness harness = fleet.get(rank);
                harness.pass(50_000);
                for (int i = 0; i < rate(rank) / 20; i++) {
                    harness.end(harness.request(rank + "/" + harness.now + "/" + i, 0), Outcome.OK);
                }
            }
            for (int rank = 0; rank < fleet.size(); rank++) {
                Harness harness = fleet.get(rank);
                for (int i = 0; i < harness.told.size(); i++) {
                    int to = harness.toldTo.get(i);
                    if (to < fleet.size() && random.nextDouble() > 0.1) {
                        Harness other = fleet.get(to);
                        other.policy.peerMessage(other.now, rank, harness.told.get(i), other);
                    }
                }
                harness.told.clear();
                harness.toldTo.clear();
            }
        }
    }

    @Test
    void oldersProgramsThatTellAllAreHeardInALargeFleet() {
        Harness harness = harness(100, 0, true, 6);
        for (int from : new int[] {50, 51, 99}) {
            byte[] told = new PeerMessage(0, 70, List.of(), List.of(), List.of()).encode();
            harness.policy.peerMessage(harness.now, from, told, harness);
        }
        harness.pass(300_000);
        assertEquals(210, harness.policy.othersRate(), 1);
        harness.pass(2_000_000);
        assertEquals(0, harness.policy.othersRate(), 1);
    }
}
