package loadbalancer.testbed.invariant;

import java.util.ArrayList;
import java.util.List;

/**
 * When balancers were killed or paused, in µs of the run. Confined to the thread that plays the
 * run.
 */
final class BalancerOutages {
    // By balancer, in order of time
    private final List<List<Outage>> outages = new ArrayList<>();

    /** An interval; {@code endMicros} is {@link Long#MAX_VALUE} while it lasts. */
    private record Outage(long startMicros, long endMicros) {
        boolean overlaps(long fromMicros, long toMicros) {
            return startMicros <= toMicros && endMicros >= fromMicros;
        }
    }

    /** Creates it without outages. */
    BalancerOutages(int balancerCount) {
        for (int i = 0; i < balancerCount; i++) {
            outages.add(new ArrayList<>());
        }
    }

    /** The balancer is killed or paused. */
    void start(int balancer, long nowMicros) {
        outages.get(balancer).add(new Outage(nowMicros, Long.MAX_VALUE));
    }

    /** The balancer runs again. */
    void end(int balancer, long nowMicros) {
        List<Outage> balancerOutages = outages.get(balancer);
        if (!balancerOutages.isEmpty()) {
            int last = balancerOutages.size() - 1;
            long startMicros = balancerOutages.get(last).startMicros;
            balancerOutages.set(last, new Outage(startMicros, nowMicros));
        }
    }

    /** Whether the balancer was down or paused at any time between the two. */
    boolean overlap(int balancer, long fromMicros, long toMicros) {
        return outages.get(balancer).stream()
                .anyMatch(outage -> outage.overlaps(fromMicros, toMicros));
    }
}
