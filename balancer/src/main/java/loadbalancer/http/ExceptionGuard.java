package loadbalancer.http;

import io.netty.channel.Channel;
import java.util.function.Supplier;
import loadbalancer.admin.EventLog;
import loadbalancer.util.Exceptions;

/**
 * Runs the steps of one client connection that the event loop starts. Netty drops the exceptions of
 * such steps; here they close the connection, which ends its request and frees what it holds.
 * Confined to the event loop.
 */
final class ExceptionGuard {
    private final Channel channel;
    private final EventLog events;
    private final Supplier<String> requestId;

    /**
     * Creates a guard.
     *
     * @param requestId supplies the Req-Id of the request in progress, or null, for the log
     */
    ExceptionGuard(Channel channel, EventLog events, Supplier<String> requestId) {
        this.channel = channel;
        this.events = events;
        this.requestId = requestId;
    }

    /** Returns a step that closes the connection if {@code step} throws. */
    Runnable wrap(Runnable step) {
        return () -> run(step);
    }

    /** Runs a step, and closes the connection if it throws. */
    void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            Exceptions.runAll(() -> log(e), channel::close);
        }
    }

    /** Logs an unexpected exception. */
    void log(Throwable exception) {
        events.record(
                EventLog.Kind.DROPPED,
                requestId.get(),
                () -> "unexpected exception " + Exceptions.describe(exception));
    }
}
