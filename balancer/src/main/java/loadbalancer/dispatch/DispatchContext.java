package loadbalancer.dispatch;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.config.BootSettings;

/** What the parts of one dispatcher share; {@code log} takes lines for the operators. */
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
