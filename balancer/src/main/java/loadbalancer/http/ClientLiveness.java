package loadbalancer.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Whether a client is still connected, as of now rather than as of when the event loop last read
 * its connection. A close stays in the socket's receive buffer until it is read; during a long turn
 * of the loop, or after a stall, other connections are read first, and requests of clients that
 * have left would be forwarded. Belongs to the event loop.
 */
final class ClientLiveness extends ChannelInboundHandlerAdapter {
    // An attempt may begin up to 0.1 s after its client has closed, so a result that is younger
    // than
    // this needs no read of its own; most requests are forwarded right after they were read.
    private static final long FRESHNESS_NANOS = 20_000_000;
    // Each of several reads, where much was sent before the close.
    private static final int MAX_READ_ATTEMPTS = 4;
    private final Channel channel;
    private final int maxReadsPerLoop;
    // Whether this call comes, indirectly, from a read of this connection.
    private boolean reading;
    // Since the last channelReadComplete.
    private int readCount;
    // When reads last emptied the receive buffer.
    private long lastEmptyReadNanos;

    /**
     * @param maxReadsPerLoop after so many reads the loop turns to other connections, whether or
     *     not the receive buffer is empty
     */
    ClientLiveness(Channel channel, int maxReadsPerLoop) {
        this.channel = channel;
        this.maxReadsPerLoop = maxReadsPerLoop;
        this.lastEmptyReadNanos = System.nanoTime() - FRESHNESS_NANOS;
    }

    /**
     * Whether the client has disconnected. What it sent before is read, and handled, within this
     * call.
     */
    boolean isDisconnected() {
        if (!reading && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            for (int i = 0; i < MAX_READ_ATTEMPTS && channel.isActive() && isStale(); i++) {
                socket.read();
            }
        }
        return !channel.isActive();
    }

    private boolean isStale() {
        return System.nanoTime() - lastEmptyReadNanos >= FRESHNESS_NANOS;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        reading = true;
        readCount++;
        context.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        reading = false;
        if (readCount < maxReadsPerLoop) {
            lastEmptyReadNanos = System.nanoTime();
        }
        readCount = 0;
        context.fireChannelReadComplete();
    }
}
