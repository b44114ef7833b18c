package loadbalancer.routing;

import java.util.Locale;
import loadbalancer.routing.admission.LoadShedder;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.util.EventRateLimiter;

/**
 * Writes the log lines of a routing policy: at most one line per second, over all kinds of lines.
 * Further lines are dropped without being formatted.
 *
 * <p>Not thread-safe: used only on the thread of its {@link RoutingEngine}.
 */
final class PolicyLog {
    private static final int MAX_LINES_PER_WINDOW = 1;
    private static final long WINDOW_MICROS = 1_000_000;
    private static final long MICROS_PER_MILLISECOND = 1_000;

    private final EventRateLimiter limiter =
            EventRateLimiter.withWindowsFromFirstEvent(MAX_LINES_PER_WINDOW, WINDOW_MICROS);

    /** Logs that a request was shed, with the level and the overload ratio. */
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

    /** Logs that an endpoint was ejected as a whole. */
    void endpointEjected(
            EndpointState endpoint, long ejectionMicros, long now, RoutingActions actions) {
        if (limiter.tryAcquire(now)) {
            actions.log(ejectionLine(endpoint, ejectionMicros));
        }
    }

    /** Logs that one request class of an endpoint was ejected. */
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

    /** Logs that an endpoint has recovered from its ejection. */
    void endpointRecovered(EndpointState endpoint, long now, RoutingActions actions) {
        if (limiter.tryAcquire(now)) {
            actions.log(recoveryLine(endpoint));
        }
    }

    /** Logs that one request class of an endpoint has recovered from its ejection. */
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

    /** Logs that discovery has failed, and how many times in a row. */
    void discoveryFailed(int consecutiveFailures, long now, RoutingActions actions) {
        if (limiter.tryAcquire(now)) {
            actions.log("discovery failed: consecutive_failures=" + consecutiveFailures);
        }
    }

    /** Logs that a gossip message of another balancer could not be decoded. */
    void gossipMessageIgnored(int fromBalancer, long now, RoutingActions actions) {
        if (limiter.tryAcquire(now)) {
            actions.log("gossip message ignored: from=" + fromBalancer + " reason=undecodable");
        }
    }

    /** Logs a line that was formatted by the caller. */
    void write(String line, long now, RoutingActions actions) {
        if (limiter.tryAcquire(now)) {
            actions.log(line);
        }
    }
}
