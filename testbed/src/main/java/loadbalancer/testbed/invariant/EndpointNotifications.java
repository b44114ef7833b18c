package loadbalancer.testbed.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Records when discovery notified each balancer of starting, draining and removed upstreams. Times
 * are in µs since the start of the run. Confined to the thread that executes the run.
 */
final class EndpointNotifications {
    // For each balancer, maps the upstream's number to the time of the notification.
    private final List<Map<Integer, Long>> drainNotifiedMicros = new ArrayList<>();
    private final List<Map<Integer, Long>> upNotifiedMicros = new ArrayList<>();

    /** Creates a record without notifications. */
    EndpointNotifications(int balancerCount) {
        for (int i = 0; i < balancerCount; i++) {
            drainNotifiedMicros.add(new HashMap<>());
            upNotifiedMicros.add(new HashMap<>());
        }
    }

    /** Records a notification that the upstream is up, or that it is draining or removed. */
    void record(int balancer, int server, boolean up, long nowMicros) {
        if (up) {
            drainNotifiedMicros.get(balancer).remove(server);
            upNotifiedMicros.get(balancer).put(server, nowMicros);
        } else {
            drainNotifiedMicros.get(balancer).putIfAbsent(server, nowMicros);
        }
    }

    /** Returns whether the balancer was notified of the upstream's start at that time or later. */
    boolean isStartNotified(int balancer, int server, long startedAtMicros) {
        return upNotifiedMicros.get(balancer).getOrDefault(server, Long.MIN_VALUE)
                >= startedAtMicros;
    }

    /**
     * Returns when the balancer was first notified that the upstream is draining or removed, or
     * empty if the balancer knows it as up.
     */
    OptionalLong drainNotifiedMicros(int balancer, int server) {
        Long notifiedMicros = drainNotifiedMicros.get(balancer).get(server);
        return notifiedMicros == null ? OptionalLong.empty() : OptionalLong.of(notifiedMicros);
    }
}
