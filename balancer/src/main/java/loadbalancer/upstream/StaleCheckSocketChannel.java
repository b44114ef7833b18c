package loadbalancer.upstream;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A socket channel that can be checked for input which its event loop has not read yet. A request
 * written to a connection that has reached its end would be reset although it might have run; one
 * written behind unsolicited bytes would be given a response that is not its own.
 */
final class StaleCheckSocketChannel extends NioSocketChannel {
    /**
     * Whether bytes, an end of input or a reset have arrived that are not read yet. A byte that is
     * found is consumed, so the connection must be closed then. Event loop thread only.
     */
    boolean hasUnreadInput() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException e) {
            // The connection was reset
            return true;
        }
    }
}
