package loadbalancer.testbed.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * What discovery has notified each balancer of, in µs of the run. Confined to the thread that plays
 * the run.
 */
final class EndpointNotifications {
    // By balancer: time of the notification by number of the upstream
    private final List<Map<Integer, Long>> drainNotifiedMicros = new ArrayList<>();
    private final List<Map<Integer, Long>> upNotifiedMicros = new ArrayList<>();

    /** Creates it without notifications. */
    EndpointNotifications(int balancerCount) {
        for (int i = 0; i < balancerCount; i++) {
            drainNotifiedMicros.add(new HashMap<>());
            upNotifiedMicros.add(new HashMap<>());
        }
    }

    /** The balancer is notified that the upstream is up, or that it drains or is gone. */
    void record(int balancer, int server, boolean up, long nowMicros) {
        if (up) {
            drainNotifiedMicros.get(balancer).remove(server);
            upNotifiedMicros.get(balancer).put(server, nowMicros);
        } else {
            drainNotifiedMicros.get(balancer).putIfAbsent(server, nowMicros);
        }
    }

    /** Whether the balancer was notified of the upstream's start at that time or later. */
    boolean isStartNotified(int balancer, int server, long startedAtMicros) {
        return upNotifiedMicros.get(balancer).getOrDefault(server, Long.MIN_VALUE)
                >= startedAtMicros;
    }

    /**
     * When the balancer was first notified that the upstream drains or is gone; empty: it is up.
     */
    OptionalLong drainNotifiedMicros(int balancer, int server) {
        Long notifiedMicros = drainNotifiedMicros.get(balancer).get(server);
        return notifiedMicros == null ? OptionalLong.empty() : OptionalLong.of(notifiedMicros);
    }
}
