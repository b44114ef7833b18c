package loadbalancer.routing;

import java.util.function.Supplier;
import loadbalancer.routing.api.RoutingActions;

/**
 * The log events of a routing policy, at most one a second; the others are dropped.
 *
 * <p>Not thread-safe: belongs to the thread of its {@link RoutingEngine}.
 */
final class RateLimitedLog {
    private static final long INTERVAL_MICROS = 1_000_000;

    private long nextAtMicros;

    /**
     * Logs an event, unless one was logged less than a second ago.
     *
     * @param now µs
     */
    void log(long now, String message, RoutingActions actions) {
        log(now, () -> message, actions);
    }

    /**
     * As {@link #log(long, String, RoutingActions)}.
     *
     * @param message called only if the event is logged
     */
    void log(long now, Supplier<String> message, RoutingActions actions) {
        if (now >= nextAtMicros) {
            nextAtMicros = now + INTERVAL_MICROS;
            actions.log(message.get());
        }
    }
}
