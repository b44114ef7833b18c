package loadbalancer.routing;

import java.util.function.Supplier;
import loadbalancer.routing.api.RoutingActions;

/** The module's lines for the operators, at most one a second. */
final class RateLimitedLog {
    // µs
    private static final long INTERVAL_MICROS = 1_000_000;

    private long nextAtMicros;

    void log(long now, String message, RoutingActions actions) {
        log(now, () -> message, actions);
    }

    /** {@code message} is made up only where it is said. */
    void log(long now, Supplier<String> message, RoutingActions actions) {
        if (now >= nextAtMicros) {
            nextAtMicros = now + INTERVAL_MICROS;
            actions.log(message.get());
        }
    }
}
