package junctionhead.lab.rules;

/** A broken rule: which, when (µs of the run), by which request if by one, and what happened. */
public record Breach(String rule, long at, String request, String what) {
    @Override
    public String toString() {
        return String.format(
                java.util.Locale.ROOT,
                "%s broken at %.3f s%s: %s",
                rule,
                at / 1e6,
                request == null ? "" : ", request " + request,
                what);
    }
}
