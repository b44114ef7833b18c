package loadbalancer.testbed.slowstart;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The requests that one upstream in slow start receives, compared with its budget. The budget of a
 * sliding window is N requests, a multiple of what the upstream can serve in a window with its
 * present capacity; its bound is N + 2 √N + 2. Times are µs. Not thread-safe.
 */
final class WarmingServerLoad {
    // Square roots of N, and requests beyond those
    private static final int BOUND_SLACK = 2;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final PeakWindow NO_REQUESTS = new PeakWindow(0, 0, 0, 1);

    private final double budgetFactor;
    private final long windowMicros;
    private final List<ReceivedRequest> received = new ArrayList<>();
    // Arrival times of the requests in the present window
    private final Deque<Long> recentMicros = new ArrayDeque<>();
    private PeakWindow peak = NO_REQUESTS;

    private record ReceivedRequest(long timeMicros, double capacityPerSecond) {}

    /**
     * The window with the most requests in proportion to its bound.
     *
     * @param timeMicros when its last request arrived
     * @param budget requests that are planned for it, N
     * @param bound requests that it bears at most
     */
    record PeakWindow(int requests, long timeMicros, double budget, double bound) {
        /** The peak of an upstream that got no requests. */
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
     * Creates the load of an upstream that has got no requests.
     *
     * @param budgetFactor budget of a window as a multiple of the requests that the upstream can
     *     serve in it
     */
    WarmingServerLoad(double budgetFactor, long windowMicros) {
        this.budgetFactor = budgetFactor;
        this.windowMicros = windowMicros;
    }

    /** A request arrives at the upstream, which can serve {@code capacityPerSecond} now. */
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

    /** The fullest window so far. */
    PeakWindow peak() {
        return peak;
    }

    /**
     * The fraction of its budget that it received between two times, by its mean capacity then; 0
     * without requests.
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
