package loadbalancer.routing;

import java.util.Locale;
import loadbalancer.routing.admission.LoadShedder;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.util.EventRateLimiter;

/**
 * The log of a routing policy: one line of all kinds together in a second at most; the others are
 * dropped. A line is composed only if it is logged.
 *
 * <p>Not thread-safe: belongs to the thread of its {@link RoutingEngine}.
 */
final class PolicyLog {
    private static final int MAX_LINES_PER_WINDOW = 1;
    private static final long WINDOW_MICROS = 1_000_000;
    private static final long MICROS_PER_MILLISECOND = 1_000;

    private final EventRateLimiter limiter =
            EventRateLimiter.withWindowsFromFirstEvent(MAX_LINES_PER_WINDOW, WINDOW_MICROS);

    /** A request is shed. */
    void loadShed(LoadShedder loadShedder, long now, RoutingActions actions) {
        if (limiter.tryAcquire(now)) {
            actions.log(
                    String.format(
                            Locale.ROOT,
                            "shedding load: level=%.2f overload=%.2f",
                            loadShedder.level(),
                            loadShedder.overloadRatio()));
        }
    }

    /** An endpoint is ejected as a whole. */
    void endpointEjected(
            EndpointState endpoint, long ejectionMicros, long now, RoutingActions actions) {
        if (limiter.tryAcquire(now)) {
            actions.log(ejectionLine(endpoint, ejectionMicros));
        }
    }

    /** One request class of an endpoint is ejected. */
    void classEjected(
            EndpointState endpoint,
            int classIndex,
            long ejectionMicros,
            long now,
            RoutingActions actions) {
        if (limiter.tryAcquire(now)) {
            actions.log(ejectionLine(endpoint, ejectionMicros) + classField(classIndex));
        }
    }

    private static String ejectionLine(EndpointState endpoint, long ejectionMicros) {
        return "endpoint ejected: endpoint="
                + endpoint.descriptor().id()
                + " duration_ms="
                + ejectionMicros / MICROS_PER_MILLISECOND
                + " reason=failures";
    }

    /** An endpoint has recovered from its ejection. */
    void endpointRecovered(EndpointState endpoint, long now, RoutingActions actions) {
        if (limiter.tryAcquire(now)) {
            actions.log(recoveryLine(endpoint));
        }
    }

    /** One request class of an endpoint has recovered from its ejection. */
    void classRecovered(EndpointState endpoint, int classIndex, long now, RoutingActions actions) {
        if (limiter.tryAcquire(now)) {
            actions.log(recoveryLine(endpoint) + classField(classIndex));
        }
    }

    private static String recoveryLine(EndpointState endpoint) {
        return "endpoint recovered: endpoint=" + endpoint.descriptor().id();
    }

    private static String classField(int classIndex) {
        return " class=" + classIndex;
    }

    /** Discovery has failed several times in a row, and is tried again. */
    void discoveryFailed(int consecutiveFailures, long now, RoutingActions actions) {
        if (limiter.tryAcquire(now)) {
            actions.log("discovery failed: consecutive_failures=" + consecutiveFailures);
        }
    }

    /** A message of another balancer can't be decoded. */
    void gossipMessageIgnored(int fromBalancer, long now, RoutingActions actions) {
        if (limiter.tryAcquire(now)) {
            actions.log("gossip message ignored: from=" + fromBalancer + " reason=undecodable");
        }
    }

    /** Logs a line that was composed elsewhere. */
    void write(String line, long now, RoutingActions actions) {
        if (limiter.tryAcquire(now)) {
            actions.log(line);
        }
    }
}
