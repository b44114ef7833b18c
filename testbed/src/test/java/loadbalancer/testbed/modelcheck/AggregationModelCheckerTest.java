package loadbalancer.testbed.modelcheck;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.routing.gossip.BlockPartition;
import loadbalancer.testbed.modelcheck.AggregationModelChecker.InjectedBug;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class AggregationModelCheckerTest {
    private static final BlockPartition THREE_PAIRS = new BlockPartition(6, 2);

    @Test
    void exploredStatesKeepInvariants() {
        CheckResult result =
                new AggregationModelChecker(THREE_PAIRS, InjectedBug.NONE)
                        .explore(500_000, 5, 1_000, 1);
        assertEquals("", result.violation(), String.join("\n", result.trace()));
        assertEquals(500_000.0, (double) result.statesExplored(), 40);
        assertTrue(result.convergenceChecks() > 400);
    }

    @Test
    void randomWalksKeepInvariants() {
        CheckResult result =
                new AggregationModelChecker(THREE_PAIRS, InjectedBug.NONE)
                        .randomWalk(500_000, 12, 300, 500, 2);
        assertEquals("", result.violation(), String.join("\n", result.trace()));
        assertTrue(result.convergenceChecks() > 800);
    }

    @ParameterizedTest
    @EnumSource(value = InjectedBug.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void injectedBugIsFoundWithTrace(InjectedBug injectedBug) {
        CheckResult result =
                new AggregationModelChecker(THREE_PAIRS, injectedBug)
                        .randomWalk(300_000, 12, 300, 50, 1);
        assertFalse(result.violation().isEmpty(), result.toString());
        assertTrue(result.trace().size() > 3, result.trace().toString());
    }
}
