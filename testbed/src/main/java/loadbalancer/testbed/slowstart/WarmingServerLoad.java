package loadbalancer.testbed.slowstart;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Records the requests that one upstream in slow start receives and compares them with its budget.
 * The budget of a sliding window is N requests, a multiple of what the upstream can serve in a
 * window at its current capacity. The bound of a window is N + 2 √N + 2 requests. Times are µs. Not
 * thread-safe.
 */
final class WarmingServerLoad {
    // Factor of √N in the bound, and also its constant term in requests
    private static final int BOUND_SLACK = 2;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final PeakWindow NO_REQUESTS = new PeakWindow(0, 0, 0, 1);

    private final double budgetFactor;
    private final long windowMicros;
    private final List<ReceivedRequest> received = new ArrayList<>();
    // Arrival times of the requests in the current window
    private final Deque<Long> recentMicros = new ArrayDeque<>();
    private PeakWindow peak = NO_REQUESTS;

    private record ReceivedRequest(long timeMicros, double capacityPerSecond) {}

    /**
     * The window with the most requests relative to its bound.
     *
     * @param timeMicros arrival time of its last request in µs
     * @param budget planned number of requests, N
     * @param bound maximum number of requests without overload
     */
    record PeakWindow(int requests, long timeMicros, double budget, double bound) {
        /** Returns the peak of an upstream that has received no requests. */
        static PeakWindow none() {
            return NO_REQUESTS;
        }

        boolean isOverBound() {
            return requests > bound;
        }

        double boundFraction() {
            return requests / bound;
        }
    }

    /**
     * Creates the load of an upstream that has received no requests.
     *
     * @param budgetFactor budget of a window as a multiple of the requests that the upstream can
     *     serve in it
     * @param windowMicros length of the sliding window in µs
     */
    WarmingServerLoad(double budgetFactor, long windowMicros) {
        this.budgetFactor = budgetFactor;
        this.windowMicros = windowMicros;
    }

    /**
     * Records the arrival of a request.
     *
     * @param nowMicros arrival time in µs
     * @param capacityPerSecond requests per second that the upstream can currently serve
     */
    void requestReceived(long nowMicros, double capacityPerSecond) {
        received.add(new ReceivedRequest(nowMicros, capacityPerSecond));
        recentMicros.add(nowMicros);
        while (recentMicros.peekFirst() <= nowMicros - windowMicros) {
            recentMicros.pollFirst();
        }
        double budget = budgetFactor * capacityPerSecond * windowMicros / MICROS_PER_SECOND;
        PeakWindow current =
                new PeakWindow(
                        recentMicros.size(),
                        nowMicros,
                        budget,
                        budget + BOUND_SLACK * Math.sqrt(budget) + BOUND_SLACK);
        peak = current.boundFraction() > peak.boundFraction() ? current : peak;
    }

    /** Returns the window with the most requests relative to its bound so far. */
    PeakWindow peak() {
        return peak;
    }

    /**
     * Returns the received fraction of the budget between two times in µs, or 0 if no request
     * arrived. The budget is computed from the mean capacity at the arrivals.
     */
    double usedBudgetFraction(long fromMicros, long toMicros) {
        List<ReceivedRequest> inRange =
                received.stream()
                        .filter(
                                request ->
                                        request.timeMicros >= fromMicros
                                                && request.timeMicros < toMicros)
                        .toList();
        if (inRange.isEmpty()) {
            return 0;
        }
        double meanCapacityPerSecond =
                inRange.stream()
                        .mapToDouble(ReceivedRequest::capacityPerSecond)
                        .average()
                        .orElseThrow();
        return inRange.size()
                / (budgetFactor
                        * meanCapacityPerSecond
                        * (toMicros - fromMicros)
                        / MICROS_PER_SECOND);
    }
}
