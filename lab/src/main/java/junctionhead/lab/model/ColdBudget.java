package junctionhead.lab.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The rule on cold servers, as the operators have it for many balancers: with N requests of mean
 * work as the budget of a window (a multiple of what the server can do at that moment), N + 3 √N +
 * 3 of them from all balancers together push it over. A breach counts only if two thirds of that
 * work came from balancers that had been told of its start. Times are µs.
 */
public final class ColdBudget {
    // Roots of N for chance, and as many requests more
    private static final int SLACK = 3;
    private static final double TOLD_PART = 2.0 / 3;

    private final double factor;
    private final long window;
    private final double mean;
    // Within the window; as long as the budget allows
    private final Deque<Sent> sent = new ArrayDeque<>();
    private double all;
    private double told;
    private double worst;
    private boolean broken;

    private record Sent(long at, long work, boolean told) {}

    /**
     * {@code factor} times its capacity over {@code window} µs is allowed; a request's mean work is
     * {@code mean}.
     */
    public ColdBudget(double factor, long window, double mean) {
        this.factor = factor;
        this.window = window;
        this.mean = mean;
    }

    /**
     * Work has been sent to the server while it is cold.
     *
     * @param capacity what it can do now, in seconds of work a second
     * @param toldOfStart whether the sender had been told of its start
     * @return true where this breaks the rule, once
     */
    public boolean sent(long now, long work, double capacity, boolean toldOfStart) {
        if (broken) {
            return false;
        }
        sent.add(new Sent(now, work, toldOfStart));
        all += work;
        told += toldOfStart ? work : 0;
        while (sent.peekFirst().at < now - window) {
            Sent old = sent.pollFirst();
            all -= old.work;
            told -= old.told ? old.work : 0;
        }
        double budget = factor * capacity * window;
        worst = Math.max(worst, all / budget);
        double allowed = budget / mean;
        broken =
                all > mean * (allowed + SLACK * Math.sqrt(allowed) + SLACK)
                        && told >= TOLD_PART * all;
        return broken;
    }

    /** The largest part of the budget that was used, 1: all of it. */
    public double worst() {
        return worst;
    }
}
