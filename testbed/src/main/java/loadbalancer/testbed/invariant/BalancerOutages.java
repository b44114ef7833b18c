package loadbalancer.testbed.invariant;

import java.util.ArrayList;
import java.util.List;

/**
 * Records the intervals in which balancers were killed or paused. Times are in µs since the start
 * of the run. Confined to the thread that executes the run.
 */
final class BalancerOutages {
    // The outages of each balancer in chronological order.
    private final List<List<Outage>> outages = new ArrayList<>();

    /** An outage; {@code endMicros} is {@link Long#MAX_VALUE} until it ends. */
    private record Outage(long startMicros, long endMicros) {
        boolean overlaps(long fromMicros, long toMicros) {
            return startMicros <= toMicros && endMicros >= fromMicros;
        }
    }

    /** Creates a record without outages. */
    BalancerOutages(int balancerCount) {
        for (int i = 0; i < balancerCount; i++) {
            outages.add(new ArrayList<>());
        }
    }

    /** Records that the balancer is killed or paused. */
    void start(int balancer, long nowMicros) {
        outages.get(balancer).add(new Outage(nowMicros, Long.MAX_VALUE));
    }

    /** Records that the balancer runs again. */
    void end(int balancer, long nowMicros) {
        List<Outage> balancerOutages = outages.get(balancer);
        if (!balancerOutages.isEmpty()) {
            int last = balancerOutages.size() - 1;
            long startMicros = balancerOutages.get(last).startMicros;
            balancerOutages.set(last, new Outage(startMicros, nowMicros));
        }
    }

    /** Returns whether the balancer was down or paused at any time in the interval. */
    boolean overlap(int balancer, long fromMicros, long toMicros) {
        return outages.get(balancer).stream()
                .anyMatch(outage -> outage.overlaps(fromMicros, toMicros));
    }
}
