package loadbalancer.http;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection in two steps: its output at once, the rest at the client's close or after a
 * bound. A socket that is closed with input unread is reset, and the client may lose the response.
 */
final class LingeringClose {
    private LingeringClose() {}

    /** Runs on the event loop; does nothing where the output has been shut down before. */
    static void start(Channel channel, long maxLingerMs) {
        if (!channel.isActive() || !(channel instanceof DuplexChannel duplex)) {
            channel.close();
            return;
        }
        if (duplex.isOutputShutdown()) {
            return;
        }
        Future<?> closeTask =
                channel.eventLoop()
                        .schedule(() -> channel.close(), maxLingerMs, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> closeTask.cancel(false));
        // Reading may be paused, and the client's close must be seen.
        channel.config().setAutoRead(true);
        duplex.shutdownOutput();
    }
}
