package junctionhead;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import junctionhead.Policy.Discovery;
import junctionhead.Policy.Effect;
import junctionhead.Policy.ListKind;
import junctionhead.Policy.Outcome;
import junctionhead.Policy.Scope;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a balancer must not do, or learn too late, where it is one of many before many servers. */
class FleetTest {
    private static final Policy.RequestClass UNSAFE = Harness.kind(Effect.UNSAFE, Scope.ALL);
    private static final List<Policy.Tenant> TENANTS =
            Collections.nCopies(6, new Policy.Tenant(210));

    private static Harness harness(int balancers, int servers) {
        return new Harness(Harness.settings(balancers, true, Discovery.PUSH, TENANTS, UNSAFE), 5)
                .list(ListKind.PERSISTED, Harness.fleet(servers));
    }

    /**
     * Brings requests of all tenants in turn, each served after {@code latency}; returns those
     * refused.
     */
    private static long bring(Harness harness, int perSecond, double seconds, long latency) {
        long before = harness.finals.values().stream().filter("refused"::equals).count();
        for (int i = 0; i < perSecond * seconds; i++) {
            harness.request("r" + harness.now, 0, i % TENANTS.size(), Harness.DEADLINE);
            harness.pass(1_000_000 / perSecond);
            harness.sends.stream()
                    .filter(s -> !s.ended && s.at + latency <= harness.now)
                    .toList()
                    .forEach(s -> harness.end(s, Outcome.OK));
        }
        return harness.finals.values().stream().filter("refused"::equals).count() - before;
    }

    @Test
    void thoseThatStayTakeTheOthersTrafficAsWithinItsShare() {
        // With ten of fourteen killed a balancer got eight times its traffic: 70% of it was refused
        // for 3 s.
        Harness harness = harness(14, 60);
        bring(harness, 60, 8, 300_000);
        bring(harness, 400, 2, 300_000);
        long refused = bring(harness, 400, 2, 300_000);
        assertTrue(refused < 160, refused + " of 800 were refused from 2 s on");
    }

    @Test
    void anEvenPartKeepsTheShareOfToday() {
        Harness harness = harness(14, 60);
        bring(harness, 60, 8, 300_000);
        long refused = bring(harness, 60, 4, 300_000);
        assertTrue(refused <= 24, refused + " of 240 were refused within the share");
    }

    @Test
    void aColdServerGetsItsPartFromABalancerThatHasJustStarted() {
        // Two seconds' answers were taken as ten seconds': new servers idled while the old ones
        // were overrun.
        Harness harness = harness(14, 9);
        List<Policy.Server> cold =
                List.of(
                        new Policy.Server(
                                "cold", Policy.State.UP, harness.now - 8_000_000, 1, 0, 0, 0));
        harness.list(ListKind.PARTIAL, cold);
        bring(harness, 50, 2, 20_000);
        long from = harness.now;
        bring(harness, 50, 2, 20_000);
        long sent = harness.sentTo("cold", from);
        assertTrue(
                sent >= 6 && sent <= 20, "a tenth of 100 would be 10, its part 5 to 11: " + sent);
    }

    /**
     * Of 400 requests, those whose every attempt met one of the servers that {@code lost} names.
     */
    private static long unserved(Harness harness, Predicate<String> lost) {
        long unserved = 0;
        for (int i = 0; i < 400; i++) {
            String id = "u" + harness.now;
            harness.request(id, 0, i % TENANTS.size(), Harness.DEADLINE);
            harness.pass(1_000);
            for (int tries = 0; tries < 5; tries++) {
                harness.sends.stream()
                        .filter(s -> !s.ended && lost.test(s.server))
                        .toList()
                        .forEach(s -> harness.end(s, Outcome.CONNECT_FAILED));
            }
            harness.pass(9_000);
            harness.sends.stream()
                    .filter(s -> !s.ended)
                    .toList()
                    .forEach(s -> harness.end(s, Outcome.OK));
            unserved += "ok".equals(harness.finals.get(id)) ? 0 : 1;
        }
        return unserved;
    }

    @ParameterizedTest
    @CsvSource({"60, 12", "60, 40", "10, 6", "10, 7", "2, 1"})
    void aLostZoneGetsNoTrafficHoweverManyOfTheServersItHolds(int servers, int lost) {
        // With 38 of 60 servers gone all were used, and two balancers had 1,500 failed connects in
        // 2 s.
        Harness harness = harness(14, servers);
        unserved(harness, s -> false);
        unserved(harness, s -> Integer.parseInt(s.substring(1)) < lost);
        long from = harness.now;
        long unserved = unserved(harness, s -> Integer.parseInt(s.substring(1)) < lost);
        long wasted =
                harness.sends.stream()
                        .filter(
                                s ->
                                        s.at >= from
                                                && s.request.startsWith("u")
                                                && Integer.parseInt(s.server.substring(1)) < lost)
                        .count();
        assertTrue(
                wasted < 200 && unserved < 8, wasted + " wasted, " + unserved + " unserved of 400");
    }

    @Test
    void whereNoServerCanBeReachedAllAreTriedAndServiceResumes() {
        Harness harness = harness(14, 10);
        unserved(harness, s -> false);
        unserved(harness, s -> true);
        assertTrue(unserved(harness, s -> false) < 150, "reachable again");
        assertTrue(unserved(harness, s -> false) < 4, "as before");
    }

    @Test
    void aServerThatTurnsAllAwayRestsLongerEachTime() {
        // 740 attempts a second were turned away, each for the price of a handshake at a full
        // server.
        Harness harness = harness(14, 6);
        bring(harness, 100, 2, 100_000);
        long from = harness.now;
        while (harness.now < from + 1_500_000) {
            harness.request("f" + harness.now, 0);
            harness.sends.stream()
                    .filter(s -> !s.ended && s.server.equals("s1"))
                    .toList()
                    .forEach(s -> harness.end(s, Outcome.FULL));
            harness.pass(5_000);
            harness.sends.stream()
                    .filter(s -> !s.ended && s.at + 100_000 <= harness.now)
                    .toList()
                    .forEach(s -> harness.end(s, Outcome.OK));
        }
        long sent = harness.sentTo("s1", from);
        assertTrue(sent >= 3 && sent <= 8, "it is tried now and then: " + sent);
    }

    /** One of fourteen, that hears the others and reaches sixty servers. */
    private static Harness hearing() {
        Policy.Settings base = Harness.settings(14, true, Discovery.PUSH, TENANTS, UNSAFE);
        Policy.Limits limits = new Policy.Limits(5, true, true, true, 250_000, 0, true);
        return new Harness(
                        new Policy.Settings(
                                14,
                                0,
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
                .list(ListKind.PERSISTED, Harness.fleet(60));
    }

    /**
     * Brings 100 requests a second while another balancer tells of {@code others} and of lost
     * servers.
     */
    private static long refusedOf(
            Harness harness, double seconds, int others, int lost, long latency) {
        long refused = 0;
        List<Integer> codes =
                IntStream.range(0, lost)
                        .mapToObj(i -> PeerMessage.code(Hashing.hash("s" + i)))
                        .toList();
        for (int i = 0; i < 2 * seconds; i++) {
            byte[] told = new PeerMessage(0, others, List.of(), List.of(), codes).encode();
            harness.policy.peerMessage(harness.now, 1, told, harness);
            refused += bring(harness, 100, 0.5, latency);
        }
        return refused;
    }

    @Test
    void whatServersInReachCannotCarryIsRefusedBeforeAnswersAreLate() {
        // With two thirds of the servers lost refusal began when the first answers came late,
        // seconds after.
        Harness harness = hearing();
        assertTrue(refusedOf(harness, 4, 1_100, 0, 20_000) < 60, "all in reach");
        harness.pass(1_100_000);
        refusedOf(harness, 0.5, 1_100, 40, 20_000);
        long refused = refusedOf(harness, 1, 1_100, 40, 20_000);
        assertTrue(
                refused > 45 && refused < 75, "56 of 100 are more than can be carried: " + refused);
        harness.pass(2_500_000);
        refusedOf(harness, 0.5, 1_100, 0, 20_000);
        refused = refusedOf(harness, 1, 1_100, 0, 20_000);
        assertTrue(refused < 20, "back in reach: " + refused);
    }

    @Test
    void lateAnswersAloneDoNotTurnAwayWhatTheServersInReachCanCarry() {
        // Balancers just back met late answers, and turned 95% away for four seconds after queues
        // were gone.
        Harness harness = hearing();
        refusedOf(harness, 4, 300, 0, 20_000);
        long refused = refusedOf(harness, 10, 300, 0, 2_000_000);
        assertTrue(
                refused < 40, "a third of what is promised comes: " + refused + " of 1000 refused");
    }

    @Test
    void aServerThatOthersOfTheZoneCannotConnectToIsLeftOutUnlessItAnswersHere() {
        Harness harness = hearing();
        bring(harness, 100, 2, 20_000);
        harness.pass(1_100_000);
        refusedOf(harness, 0.5, 0, 40, 20_000);
        long from = harness.now;
        refusedOf(harness, 2, 0, 40, 20_000);
        long sent =
                harness.sends.stream()
                        .filter(s -> s.at >= from && Integer.parseInt(s.server.substring(1)) < 40)
                        .count();
        assertTrue(sent == 0, sent + " sent to lost ones");
        harness.pass(2_500_000);
        bring(harness, 100, 2, 20_000);
        long since = harness.now;
        bring(harness, 100, 2, 20_000);
        refusedOf(harness, 1, 0, 40, 20_000);
        assertTrue(
                harness.sends.stream()
                        .anyMatch(
                                s -> s.at >= since && Integer.parseInt(s.server.substring(1)) < 40),
                "those that answer stay in use");
    }
}
