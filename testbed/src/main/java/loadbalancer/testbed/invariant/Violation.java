package loadbalancer.testbed.invariant;

import java.util.Locale;

/**
 * A violated invariant.
 *
 * @param rule name of the invariant, as results and logs have it
 * @param timeMicros time of the run in µs
 * @param requestId id of the client's attempt; null if it concerns no single one
 * @param description what happened
 */
public record Violation(String rule, long timeMicros, String requestId, String description) {
    /** A violation that concerns no single attempt. */
    static Violation ofRun(String rule, long timeMicros, String description) {
        return new Violation(rule, timeMicros, null, description);
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s broken at %.3f s%s: %s",
                rule,
                timeMicros / 1e6,
                requestId == null ? "" : ", request " + requestId,
                description);
    }
}
