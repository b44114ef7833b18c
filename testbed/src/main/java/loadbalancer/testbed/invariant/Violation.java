package loadbalancer.testbed.invariant;

/** A broken rule: which, when (µs of the run), by which request if by one, and what happened. */
public record Violation(String rule, long timeMicros, String requestId, String description) {
    @Override
    public String toString() {
        return String.format(
                java.util.Locale.ROOT,
                "%s broken at %.3f s%s: %s",
                rule,
                timeMicros / 1e6,
                requestId == null ? "" : ", request " + requestId,
                description);
    }
}
