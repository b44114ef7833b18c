package loadbalancer.testbed.endpointmodel;

import java.util.ArrayDeque;
import java.util.Deque;
import loadbalancer.testbed.scenario.Scenario;

/**
 * The platform's rule on the load of an upstream in slow start. The budget of a window is a
 * multiple of the upstream's present capacity over it. Let N be the budget in requests of mean
 * work: the rule is broken once the work that all balancers sent within the window exceeds N + 3 √N
 * + 3 such requests, if two thirds of it came from balancers that had been notified of the start.
 * Times are µs. Not thread-safe.
 */
public final class SlowStartBudget {
    // Square roots of N, and requests beyond those
    private static final int SLACK_FACTOR = 3;
    private static final double MIN_NOTIFIED_FRACTION = 2.0 / 3;

    private final double overloadFactor;
    private final long windowMicros;
    private final double meanWorkMicros;
    // Within the window; bounded by the budget, as nothing is added once it is exceeded
    private final Deque<SentWork> sent = new ArrayDeque<>();
    private double totalWorkMicros;
    private double notifiedWorkMicros;
    private double peakUtilization;
    private boolean exceeded;

    private record SentWork(long sentAtMicros, long workMicros, boolean notified) {}

    /**
     * Creates a budget.
     *
     * @param overloadFactor budget of a window as a multiple of the capacity over it
     * @param windowMicros length of the window
     * @param meanWorkMicros mean work of a request
     */
    public SlowStartBudget(double overloadFactor, long windowMicros, double meanWorkMicros) {
        this.overloadFactor = overloadFactor;
        this.windowMicros = windowMicros;
        this.meanWorkMicros = meanWorkMicros;
    }

    /** Creates the budget of one start with the scenario's settings. */
    public static SlowStartBudget of(Scenario scenario) {
        return new SlowStartBudget(
                scenario.upstreams().overloadFactor(),
                Math.round(scenario.upstreams().overloadWindowS() * 1e6),
                scenario.meanWorkMicros());
    }

    /**
     * Records work that was sent to the upstream in slow start.
     *
     * @param capacity its present capacity in seconds of work per second
     * @param notifiedOfStart whether the sender had been notified of its start
     * @return whether this breaks the rule; true once
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
        double limitRequests =
                allowedRequests + SLACK_FACTOR * Math.sqrt(allowedRequests) + SLACK_FACTOR;
        exceeded =
                totalWorkMicros > meanWorkMicros * limitRequests
                        && notifiedWorkMicros >= MIN_NOTIFIED_FRACTION * totalWorkMicros;
        return exceeded;
    }

    /** The largest part of the budget that was used; 1: all of it. */
    public double peakUtilization() {
        return peakUtilization;
    }
}
