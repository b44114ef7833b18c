package loadbalancer.routing.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The listed endpoints that may not be in the steady state: warming up, with recent attempts,
 * ejected or unreachable. All others are warm, idle and healthy, so periodic scans of the fleet
 * need only these. An endpoint is added by the event that ends its steady state, and removed when a
 * scan finds it steady again. Confined to the thread of the routing policy.
 */
final class ActiveEndpoints {
    // Older successes have decayed to nothing
    private static final long QUIET_PERIOD_MICROS = 12 * (long) TrafficCounters.DECAY_MICROS;

    private final List<EndpointState> endpoints = new ArrayList<>();

    /** The active endpoints in list order; not to be modified by the caller. */
    List<EndpointState> endpoints() {
        return endpoints;
    }

    /** Adds an endpoint, if it is listed and not yet active. */
    void add(EndpointState endpoint) {
        if (!endpoint.isActive() && endpoint.isListed()) {
            endpoint.setActive(true);
            endpoints.add(ListOrder.indexOf(endpoints, endpoint), endpoint);
        }
    }

    /** Removes an endpoint that is no longer listed. */
    void remove(EndpointState endpoint) {
        if (endpoint.isActive()) {
            endpoint.setActive(false);
            endpoints.remove(ListOrder.indexOf(endpoints, endpoint));
        }
    }

    /** Removes those that are steady and warm. */
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
