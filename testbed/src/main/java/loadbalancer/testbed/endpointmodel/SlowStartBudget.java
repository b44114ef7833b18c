package loadbalancer.testbed.endpointmodel;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The rule on cold servers, as the operators have it for many balancers: with N requests of mean
 * work as the budget of a window (a multiple of what the server can do at that moment), N + 3 √N +
 * 3 of them from all balancers together push it over. A breach counts only if two thirds of that
 * work came from balancers that had been told of its start. Times are µs.
 */
public final class SlowStartBudget {
    // Roots of N for chance, and as many requests more
    private static final int SLACK_FACTOR = 3;
    private static final double MIN_NOTIFIED_FRACTION = 2.0 / 3;

    private final double overloadFactor;
    private final long windowMicros;
    private final double meanWorkMicros;
    // Within the window; as long as the budget allows
    private final Deque<SentWork> sent = new ArrayDeque<>();
    private double totalWorkMicros;
    private double notifiedWorkMicros;
    private double peakUtilization;
    private boolean exceeded;

    private record SentWork(long sentAtMicros, long workMicros, boolean notified) {}

    /**
     * {@code overloadFactor} times its capacity over {@code windowMicros} µs is allowed; a
     * request's mean work is {@code meanWorkMicros}.
     */
    public SlowStartBudget(double overloadFactor, long windowMicros, double meanWorkMicros) {
        this.overloadFactor = overloadFactor;
        this.windowMicros = windowMicros;
        this.meanWorkMicros = meanWorkMicros;
    }

    /**
     * Work has been sent to the server while it is cold.
     *
     * @param capacity what it can do now, in seconds of work a second
     * @param notifiedOfStart whether the sender had been told of its start
     * @return true where this breaks the rule, once
     */
    public boolean sent(long nowMicros, long workMicros, double capacity, boolean notifiedOfStart) {
        if (exceeded) {
            return false;
        }
        sent.add(new SentWork(nowMicros, workMicros, notifiedOfStart));
        totalWorkMicros += workMicros;
        notifiedWorkMicros += notifiedOfStart ? workMicros : 0;
        while (sent.peekFirst().sentAtMicros < nowMicros - windowMicros) {
            SentWork expired = sent.pollFirst();
            totalWorkMicros -= expired.workMicros;
            notifiedWorkMicros -= expired.notified ? expired.workMicros : 0;
        }
        double budgetMicros = overloadFactor * capacity * windowMicros;
        peakUtilization = Math.max(peakUtilization, totalWorkMicros / budgetMicros);
        double allowedRequests = budgetMicros / meanWorkMicros;
        exceeded =
                totalWorkMicros
                                > meanWorkMicros
                                        * (allowedRequests
                                                + SLACK_FACTOR * Math.sqrt(allowedRequests)
                                                + SLACK_FACTOR)
                        && notifiedWorkMicros >= MIN_NOTIFIED_FRACTION * totalWorkMicros;
        return exceeded;
    }

    /** The largest part of the budget that was used, 1: all of it. */
    public double peakUtilization() {
        return peakUtilization;
    }
}
