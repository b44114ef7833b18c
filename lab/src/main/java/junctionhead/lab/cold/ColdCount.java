package junctionhead.lab.cold;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * What one cold server got, beside its budget. The settings allow it N requests in a window, a
 * multiple of what it can do at its present warmth; it falls at more than N + 2 √N + 2. Times are
 * µs.
 */
final class ColdCount {
    // Roots of N for chance, and requests more
    private static final int SLACK = 2;

    private final double factor;
    private final long window;
    private final List<Got> all = new ArrayList<>();
    // Within the window
    private final Deque<Long> recent = new ArrayDeque<>();
    private Peak peak = new Peak(0, 0, 0, 1);

    private record Got(long at, double perSecond) {}

    /** The fullest window: what it got, N, and the most that it bears, at that time. */
    record Peak(int got, long at, double budget, double bound) {
        boolean over() {
            return got > bound;
        }

        double part() {
            return got / bound;
        }
    }

    /** {@code factor} times what the server can do in {@code window} is its budget. */
    ColdCount(double factor, long window) {
        this.factor = factor;
        this.window = window;
    }

    /** A request came to it, which now can do so many a second. */
    void got(long now, double perSecond) {
        all.add(new Got(now, perSecond));
        recent.add(now);
        while (recent.peekFirst() <= now - window) {
            recent.pollFirst();
        }
        double budget = factor * perSecond * window / 1e6;
        Peak here =
                new Peak(recent.size(), now, budget, budget + SLACK * Math.sqrt(budget) + SLACK);
        peak = here.part() > peak.part() ? here : peak;
    }

    Peak peak() {
        return peak;
    }

    /** The part of its budget that it got between two times, by its mean capacity then. */
    double used(long from, long to) {
        List<Got> then = all.stream().filter(g -> g.at >= from && g.at < to).toList();
        double perSecond = then.stream().mapToDouble(Got::perSecond).average().orElse(0);
        return then.isEmpty() ? 0 : then.size() / (factor * perSecond * (to - from) / 1e6);
    }
}
