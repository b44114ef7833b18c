package loadbalancer.testbed.invariant;

import static loadbalancer.testbed.invariant.EndedRun.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Tests the check that at most one balancer holds a resource. */
class MutualExclusionInvariantTest {
    private final MutualExclusionInvariant mutualExclusion =
            new MutualExclusionInvariant(
                    "duty", Pattern.compile("holds (\\w+)"), Pattern.compile("leaves (\\w+)"));

    @Test
    void twoHoldersOfOneKeyAreFound() {
        mutualExclusion.onLogLine(0, 1 * SECOND_MICROS, "holds a");
        mutualExclusion.onLogLine(1, 2 * SECOND_MICROS, "holds b");
        mutualExclusion.onLogLine(1, 3 * SECOND_MICROS, "holds a");
        assertEquals(
                List.of("duty a is held by balancers [0, 1]"),
                EndedRun.of(mutualExclusion).violations());
        assertEquals(3.0, EndedRun.of(mutualExclusion).metrics().get("taken_duty"));
    }

    @Test
    void releasedOrDeadHolderHoldsNothing() {
        mutualExclusion.onLogLine(0, 1 * SECOND_MICROS, "holds a");
        mutualExclusion.onLogLine(0, 2 * SECOND_MICROS, "leaves a");
        mutualExclusion.onLogLine(1, 3 * SECOND_MICROS, "holds a");
        mutualExclusion.onProcessStopped(1, 4 * SECOND_MICROS, false);
        mutualExclusion.onLogLine(2, 5 * SECOND_MICROS, "holds a");
        assertEquals(List.of(), EndedRun.of(mutualExclusion).violations());
        mutualExclusion.onPauseChanged(2, 6 * SECOND_MICROS, true);
        mutualExclusion.onLogLine(0, 7 * SECOND_MICROS, "holds a");
        assertEquals(
                List.of("duty a is held by balancers [0, 2]"),
                EndedRun.of(mutualExclusion).violations());
    }
}
