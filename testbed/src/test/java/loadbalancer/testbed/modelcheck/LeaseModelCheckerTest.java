package loadbalancer.testbed.modelcheck;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.lease.LeaseTiming;
import loadbalancer.testbed.modelcheck.LeaseModelChecker.InjectedBug;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class LeaseModelCheckerTest {
    private static final LeaseTiming SHORT_TIMING =
            new LeaseTiming(200_000, 60_000, 20_000, 80_000, 1, 3);

    @ParameterizedTest
    @CsvSource({"3, 1500000, 10", "5, 300000, 10"})
    void exploredStatesKeepInvariants(int members, long stateCount, int maxFaults) {
        LeaseTiming timing =
                new LeaseTiming(
                        SHORT_TIMING.leaseMicros(),
                        SHORT_TIMING.renewIntervalMicros(),
                        SHORT_TIMING.minBackoffMicros(),
                        SHORT_TIMING.handoverDelayMicros(),
                        1,
                        members);
        CheckResult result =
                new LeaseModelChecker(members, timing, InjectedBug.NONE)
                        .explore(stateCount, 250, maxFaults, 2_000, 1);
        assertEquals("", result.violation(), String.join("\n", result.trace()));
        assertTrue(result.statesExplored() >= stateCount, result.toString());
        assertTrue(result.convergenceChecks() >= stateCount / 3_000, result.toString());
    }

    @ParameterizedTest
    @EnumSource(value = InjectedBug.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void injectedBugIsFoundWithTrace(InjectedBug injectedBug) {
        CheckResult result = null;
        for (int seed = 1; seed <= 4 && (result == null || result.violation().isEmpty()); seed++) {
            result =
                    new LeaseModelChecker(3, SHORT_TIMING, injectedBug)
                            .explore(2_000_000, 400, 10, 2_000, seed);
        }
        assertFalse(result.violation().isEmpty(), result.toString());
        assertTrue(result.trace().size() > 3, result.trace().toString());
    }
}
