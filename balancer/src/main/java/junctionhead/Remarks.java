package junctionhead;

import java.util.function.Supplier;

/** The module's lines for the operators, at most one a second. */
final class Remarks {
    // µs
    private static final long EVERY = 1_000_000;

    private long next;

    void say(long now, String line, Policy.Actions out) {
        say(now, () -> line, out);
    }

    /** {@code line} is made up only where it is said. */
    void say(long now, Supplier<String> line, Policy.Actions out) {
        if (now >= next) {
            next = now + EVERY;
            out.remark(line.get());
        }
    }
}
