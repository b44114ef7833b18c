package loadbalancer.routing.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The listed servers that may be out of the ordinary: cold, sent to of late, at rest, out of reach.
 * All others are warm, idle and without a fault, so that looks at all servers need these only. One
 * is added by what happens to it, before that can matter, and dropped when a look finds it ordinary
 * again.
 */
final class ActiveEndpoints {
    // µs, after which answers count for nothing
    private static final long QUIET_PERIOD_MICROS = 12 * (long) TrafficCounters.DECAY_MICROS;

    // In the order of the list
    private final List<EndpointState> endpoints = new ArrayList<>();

    /** Those watched, in the order of the list; the caller leaves them as they are. */
    List<EndpointState> endpoints() {
        return endpoints;
    }

    void add(EndpointState endpoint) {
        if (!endpoint.isActive && endpoint.countedDescriptor != null) {
            endpoint.isActive = true;
            endpoints.add(EndpointRegistry.insertionIndex(endpoints, endpoint), endpoint);
        }
    }

    void remove(EndpointState endpoint) {
        if (endpoint.isActive) {
            endpoint.isActive = false;
            endpoints.remove(EndpointRegistry.insertionIndex(endpoints, endpoint));
        }
    }

    /** Drops those that are ordinary. */
    void removeSteady(Predicate<EndpointState> isWarm, long now) {
        endpoints.removeIf(
                endpoint -> {
                    endpoint.isActive =
                            !endpoint.isSteady(now - QUIET_PERIOD_MICROS, now)
                                    || !isWarm.test(endpoint);
                    return !endpoint.isActive;
                });
    }
}
