package loadbalancer.testbed.invariant;

import java.util.Locale;

/**
 * A violation of an invariant.
 *
 * @param rule name of the invariant as written to results and logs
 * @param timeMicros time in µs since the start of the run
 * @param requestId id of the client's attempt; null if the violation concerns no single attempt
 * @param description what happened
 */
public record Violation(String rule, long timeMicros, String requestId, String description) {
    /** Returns a violation that concerns no single attempt. */
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
