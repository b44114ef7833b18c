package loadbalancer.upstream;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A connection that tells what has come to it before its loop reads it. Guards against a request
 * that is written behind the end of its connection, or behind bytes that nobody asked for: it would
 * be reset and might have run, or would get an answer that is not its own.
 */
final class StaleCheckSocketChannel extends NioSocketChannel {
    /**
     * Whether bytes, an end or a reset have come and are not read yet. A byte that is found is
     * taken, so that its connection is of no use any more; called on the loop's thread only.
     */
    boolean hasUnreadInput() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException e) {
            // A reset
            return true;
        }
    }
}
