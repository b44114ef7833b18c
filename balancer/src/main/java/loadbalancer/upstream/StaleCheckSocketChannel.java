package loadbalancer.upstream;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Socket channel that can be checked for input that its event loop has not read yet. A request
 * written to a connection that the endpoint has closed would be reset and might have run. A request
 * written after unsolicited bytes have arrived would receive a response that is not its own. Event
 * loop thread only.
 */
final class StaleCheckSocketChannel extends NioSocketChannel {
    /**
     * Returns whether unread bytes, an end of input or a reset have arrived. An unread byte is
     * consumed by the check, so the caller must close the connection if the result is true.
     */
    boolean hasUnreadInput() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException e) {
            // The connection was reset.
            return true;
        }
    }
}
