package loadbalancer.routing.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Tracks the listed endpoints that may not be in the steady state because they are warming up, have
 * recent attempts, are ejected or are unreachable. All others are warm, idle and healthy, so that
 * periodic scans of the fleet can skip them. An endpoint is added by the event that ends its steady
 * state, and removed when a scan finds it steady again. Confined to the thread of the routing
 * policy.
 */
final class ActiveEndpoints {
    // The decayed count of successes older than this is negligible.
    private static final long QUIET_PERIOD_MICROS = 12 * (long) TrafficCounters.DECAY_MICROS;

    private final List<EndpointState> endpoints = new ArrayList<>();

    /** Returns the active endpoints in list order; the caller must not modify the list. */
    List<EndpointState> endpoints() {
        return endpoints;
    }

    /** Adds an endpoint if it is listed and not yet active. */
    void add(EndpointState endpoint) {
        if (!endpoint.isActive() && endpoint.isListed()) {
            endpoint.setActive(true);
            endpoints.add(ListOrder.indexOf(endpoints, endpoint), endpoint);
        }
    }

    /** Removes an endpoint that is no longer listed, if it is active. */
    void remove(EndpointState endpoint) {
        if (endpoint.isActive()) {
            endpoint.setActive(false);
            endpoints.remove(ListOrder.indexOf(endpoints, endpoint));
        }
    }

    /** Removes the endpoints that are steady and warm. */
    void removeSteady(Predicate<EndpointState> isWarm, long now) {
        long quietSinceMicros = now - QUIET_PERIOD_MICROS;
        endpoints.removeIf(
                endpoint -> {
                    boolean staysActive =
                            !endpoint.isSteady(quietSinceMicros, now) || !isWarm.test(endpoint);
                    endpoint.setActive(staysActive);
                    return !staysActive;
                });
    }
}
