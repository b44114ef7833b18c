package loadbalancer.dispatch;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.config.BootSettings;

/**
 * Holds the services that the classes of one dispatcher share. {@code log} takes lines for the
 * operators. Event loop thread only.
 */
record DispatchContext(
        EventLoop loop,
        BootSettings boot,
        MonotonicClock clock,
        Consumer<String> log,
        EventLog events,
        Metrics metrics) {
    long nowMicros() {
        return clock.nowMicros();
    }
}
