package junctionhead;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import junctionhead.Policy.Discovery;
import junctionhead.Policy.Effect;
import junctionhead.Policy.ListKind;
import junctionhead.Policy.Outcome;
import junctionhead.Policy.Scope;
import org.junit.jupiter.api.Test;

/** What a balancer must not do, or learn too late, where it is one of many before many servers. */
class FleetTest {
    private static final Policy.RequestClass UNSAFE = Harness.kind(Effect.UNSAFE, Scope.ALL);
    private static final List<Policy.Tenant> TENANTS = Collections.nCopies(6, new Policy.Tenant(210));

    private static Harness harness(int balancers, int servers) {
        return new Harness(Harness.settings(balancers, true, Discovery.PUSH, TENANTS, UNSAFE), 5)
            .list(ListKind.PERSISTED, Harness.fleet(servers));
    }

    /** Brings requests of all tenants in turn, each served after {@code latency}; returns those refused. */
    private static long bring(Harness harness, int perSecond, double seconds, long latency) {
        long before = harness.finals.values().stream().filter("refused"::equals).count();
        for (int i = 0; i < perSecond * seconds; i++) {
            harness.request("r" + harness.now, 0, i % TENANTS.size(), Harness.DEADLINE);
            harness.pass(1_000_000 / perSecond);
            harness.sends.stream().filter(s -> !s.ended && s.at + latency <= harness.now).toList()
                .forEach(s -> harness.end(s, Outcome.OK));
        }
        return harness.finals.values().stream().filter("refused"::equals).count() - before;
    }

    @Test
    void thoseThatStayTakeTheOthersTrafficAsWithinItsShare() {
        // With ten of fourteen killed a balancer got eight times its traffic: 70% of it was refused for 3 s.
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
        // Two seconds' answers were taken as ten seconds': new servers idled while the old ones were overrun.
        Harness harness = harness(14, 9);
        List<Policy.Server> cold = List.of(new Policy.Server("cold", Policy.State.UP,
            harness.now - 8_000_000, 1, 0, 0, 0));
        harness.list(ListKind.PARTIAL, cold);
        bring(harness, 50, 2, 20_000);
        long from = harness.now;
        bring(harness, 50, 2, 20_000);
        long sent = harness.sentTo("cold", from);
        assertTrue(sent >= 6 && sent <= 20, "a tenth of 100 would be 10, its part 5 to 11: " + sent);
    }
}
