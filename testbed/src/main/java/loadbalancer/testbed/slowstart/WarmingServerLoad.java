package loadbalancer.testbed.slowstart;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * What one cold server got, beside its budget. The settings allow it N requests in a window, a
 * multiple of what it can do at its present warmth; it falls at more than N + 2 √N + 2. Times are
 * µs.
 */
final class WarmingServerLoad {
    // Roots of N for chance, and requests more
    private static final int BOUND_SLACK = 2;

    private final double budgetFactor;
    private final long windowMicros;
    private final List<ReceivedRequest> received = new ArrayList<>();
    // Within the window
    private final Deque<Long> recentMicros = new ArrayDeque<>();
    private PeakWindow peak = new PeakWindow(0, 0, 0, 1);

    private record ReceivedRequest(long timeMicros, double capacityPerSecond) {}

    /** The fullest window: what it got, N, and the most that it bears, at that time. */
    record PeakWindow(int requests, long timeMicros, double budget, double bound) {
        boolean isOverBound() {
            return requests > bound;
        }

        double boundFraction() {
            return requests / bound;
        }
    }

    /** {@code budgetFactor} times what the server can do in {@code windowMicros} is its budget. */
    WarmingServerLoad(double budgetFactor, long windowMicros) {
        this.budgetFactor = budgetFactor;
        this.windowMicros = windowMicros;
    }

    /** A request came to it, which now can do so many a second. */
    void requestReceived(long nowMicros, double capacityPerSecond) {
        received.add(new ReceivedRequest(nowMicros, capacityPerSecond));
        recentMicros.add(nowMicros);
        while (recentMicros.peekFirst() <= nowMicros - windowMicros) {
            recentMicros.pollFirst();
        }
        double budget = budgetFactor * capacityPerSecond * windowMicros / 1e6;
        PeakWindow current =
                new PeakWindow(
                        recentMicros.size(),
                        nowMicros,
                        budget,
                        budget + BOUND_SLACK * Math.sqrt(budget) + BOUND_SLACK);
        peak = current.boundFraction() > peak.boundFraction() ? current : peak;
    }

    PeakWindow peak() {
        return peak;
    }

    /** The part of its budget that it got between two times, by its mean capacity then. */
    double usedBudgetFraction(long fromMicros, long toMicros) {
        List<ReceivedRequest> inRange =
                received.stream()
                        .filter(
                                request ->
                                        request.timeMicros >= fromMicros
                                                && request.timeMicros < toMicros)
                        .toList();
        double meanCapacityPerSecond =
                inRange.stream()
                        .mapToDouble(ReceivedRequest::capacityPerSecond)
                        .average()
                        .orElse(0);
        return inRange.isEmpty()
                ? 0
                : inRange.size()
                        / (budgetFactor * meanCapacityPerSecond * (toMicros - fromMicros) / 1e6);
    }
}
