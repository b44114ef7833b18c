package loadbalancer.http;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection in two steps: shuts its output down first, and closes it once the client
 * closes it or a timeout expires. Closing a socket with unread input would reset the connection,
 * and the client could lose the response.
 */
final class LingeringClose {
    private LingeringClose() {}

    /**
     * Starts closing a channel; does nothing if its output is already shut down. Called on the
     * event loop.
     *
     * @param maxLingerMs the time in ms after which the channel is closed in any case
     */
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
        // Reading may be paused, but the client's close must be detected.
        channel.config().setAutoRead(true);
        duplex.shutdownOutput();
    }
}
