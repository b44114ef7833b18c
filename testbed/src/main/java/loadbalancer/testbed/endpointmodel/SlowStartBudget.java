package loadbalancer.testbed.endpointmodel;

import java.util.ArrayDeque;
import java.util.Deque;
import loadbalancer.testbed.scenario.Scenario;

/**
 * Checks the platform's limit on the load of an upstream in slow start. The budget of a sliding
 * window is a multiple of the work that the upstream can do in it at its current capacity. Let N be
 * the budget in requests of mean work. The limit is violated when the work that all balancers sent
 * within the window exceeds N + 3 √N + 3 such requests and at least two thirds of it came from
 * balancers that had been notified of the start. Times are µs. Not thread-safe.
 */
public final class SlowStartBudget {
    // Factor of √N in the limit, and also its constant term in requests
    private static final int SLACK_FACTOR = 3;
    private static final double MIN_NOTIFIED_FRACTION = 2.0 / 3;

    private final double overloadFactor;
    private final long windowMicros;
    private final double meanWorkMicros;
    // Work sent within the window. Nothing is added after a violation, which bounds the size.
    private final Deque<SentWork> sent = new ArrayDeque<>();
    private double totalWorkMicros;
    private double notifiedWorkMicros;
    private double peakUtilization;
    private boolean exceeded;

    private record SentWork(long sentAtMicros, long workMicros, boolean notified) {}

    /**
     * Creates a budget.
     *
     * @param overloadFactor budget of a window as a multiple of the work the upstream can do in it
     * @param windowMicros length of the window in µs
     * @param meanWorkMicros mean work of a request in µs at speed 1
     */
    public SlowStartBudget(double overloadFactor, long windowMicros, double meanWorkMicros) {
        this.overloadFactor = overloadFactor;
        this.windowMicros = windowMicros;
        this.meanWorkMicros = meanWorkMicros;
    }

    /** Creates the budget for one start of an upstream, with the scenario's settings. */
    public static SlowStartBudget of(Scenario scenario) {
        return new SlowStartBudget(
                scenario.upstreams().overloadFactor(),
                Math.round(scenario.upstreams().overloadWindowS() * 1e6),
                scenario.meanWorkMicros());
    }

    /**
     * Records work that a balancer sent to the upstream in slow start.
     *
     * @param nowMicros time of sending in µs
     * @param workMicros work in µs at speed 1
     * @param capacity current capacity of the upstream in seconds of work per second
     * @param notifiedOfStart whether the balancer had been notified of the upstream's start
     * @return true if this work violates the limit, reported for the first violation only
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

    /** Returns the largest fraction of the budget that was used in a window. */
    public double peakUtilization() {
        return peakUtilization;
    }
}
