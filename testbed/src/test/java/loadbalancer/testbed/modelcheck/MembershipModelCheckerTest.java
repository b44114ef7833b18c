package loadbalancer.testbed.modelcheck;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.membership.MembershipTiming;
import loadbalancer.testbed.modelcheck.MembershipModelChecker.InjectedBug;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class MembershipModelCheckerTest {
    private static final MembershipTiming SHORT_TIMING =
            new MembershipTiming(100_000, 40_000, 120_000, 40_000, 200_000, 1, 1, 86_400_000_000L);

    @Test
    void exploredStatesKeepInvariants() {
        CheckResult result =
                new MembershipModelChecker(3, SHORT_TIMING, InjectedBug.NONE)
                        .explore(1_000_000, 4, 2_000, 1);
        assertEquals("", result.violation(), String.join("\n", result.trace()));
        assertEquals(1_000_000.0, (double) result.statesExplored(), 20);
        assertTrue(result.convergenceChecks() > 400);
    }

    @ParameterizedTest
    @EnumSource(value = InjectedBug.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void injectedBugIsFoundWithTrace(InjectedBug injectedBug) {
        CheckResult result =
                new MembershipModelChecker(3, SHORT_TIMING, injectedBug).explore(300_000, 3, 50, 1);
        assertFalse(result.violation().isEmpty(), result.toString());
        assertTrue(result.trace().size() > 3, result.trace().toString());
    }
}
