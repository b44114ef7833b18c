package junctionhead;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import junctionhead.Policy.Discovery;
import junctionhead.Policy.Effect;
import junctionhead.Policy.ListKind;
import junctionhead.Policy.Outcome;
import junctionhead.Policy.Scope;
import junctionhead.Policy.State;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A cold server's budget holds for the sum of all balancers. */
class WarmingTest {
    private static final Policy.RequestClass SAFE = Harness.kind(Effect.SAFE, Scope.ALL);
    private static final int WARM = 4;

    private static Harness balancer(int balancers, int rank) {
        return new Harness(Harness.settings(balancers, true, Discovery.PUSH, List.of(), SAFE), rank)
                .list(ListKind.PERSISTED, Harness.fleet(WARM));
    }

    private static Harness withCold(Harness harness) {
        return harness.list(
                ListKind.PARTIAL,
                List.of(new Policy.Server("cold", State.UP, harness.now, 1, 0, 0, 0)));
    }

    /**
     * Brings requests to all balancers in turn, each served at once; returns how many went to
     * "cold".
     */
    private static int bring(List<Harness> fleet, int perSecond, int seconds, int[] others) {
        int cold = 0;
        long start = fleet.get(0).now;
        for (int i = 0; i < seconds * perSecond; i++) {
            Harness harness = fleet.get(i % fleet.size());
            harness.pass(start + (long) (i * 1e6 / perSecond) - harness.now);
            Harness.Sent sent = harness.request("r" + harness.now + "/" + i, 0);
            cold += sent.server.equals("cold") ? 1 : 0;
            others[0] += sent.server.equals("cold") ? 0 : 1;
            harness.end(sent, Outcome.OK);
        }
        fleet.forEach(harness -> harness.pass(start + seconds * 1_000_000L - harness.now));
        return cold;
    }

    /** Each balancer saved one request in a quiet time: a burst had a cold server get them all. */
    @ParameterizedTest
    @ValueSource(ints = {20, 100, 1_000})
    void aBurstAfterAQuietTimeKeepsItAtAnyNumberOfBalancers(int balancers) {
        List<Harness> fleet =
                IntStream.range(0, balancers).mapToObj(i -> balancer(balancers, i)).toList();
        int perSecond = 200;
        bring(fleet, perSecond, 10, new int[1]);
        fleet.forEach(WarmingTest::withCold);
        int quiet = 6;
        int cold = 0;
        for (Harness harness : fleet) {
            harness.pass(quiet * 1_000_000L);
            for (int i = 0; i < 6; i++) {
                Harness.Sent sent = harness.request("b" + i, 0);
                cold += sent != null && sent.server.equals("cold") ? 1 : 0;
            }
        }
        // What the settings allow it in the window of 1 s: 2.5 times its part of what a warm one
        // carries.
        double budget = 2.5 * (0.2 + 0.8 * quiet / 20) * perSecond / WARM;
        double most = budget + 2 * Math.sqrt(budget) + 2;
        assertTrue(cold <= most, cold + " at once where " + most + " are allowed in all of 1 s");
    }

    /**
     * Under steady load the budget is used: a third at the least of what a warm one's part comes
     * to.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 30, 100})
    void underSteadyLoadItIsUsedAtAnyNumberOfBalancers(int balancers) {
        int perSecond = 500;
        List<Harness> fleet =
                IntStream.range(0, balancers)
                        .mapToObj(i -> withCold(balancer(balancers, i)))
                        .toList();
        bring(fleet, perSecond, 4, new int[1]);
        int[] warm = new int[1];
        int cold = bring(fleet, perSecond, 4, warm);
        double part = 0.2 + 0.8 * 6 / 20;
        double fair = part * warm[0] / WARM;
        assertTrue(cold >= fair / 3, cold + " where a warm one's part would be " + fair);
        assertTrue(cold <= 2.5 * fair, cold + " where a warm one's part would be " + fair);
    }
}
