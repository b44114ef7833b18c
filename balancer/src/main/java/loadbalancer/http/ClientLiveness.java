package loadbalancer.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Detects whether a client is still connected now, rather than when the event loop last read its
 * connection. A close remains in the socket's receive buffer until it is read. During a long event
 * loop iteration, or after a stall, other connections are read first, and without this check the
 * requests of disconnected clients would be forwarded. Confined to the event loop.
 */
final class ClientLiveness extends ChannelInboundHandlerAdapter {
    // A younger result is reused, since an attempt may begin up to 0.1 s after its client has
    // closed. Most requests are forwarded right after they were read, so they need no extra read.
    private static final long FRESHNESS_NANOS = 20_000_000;
    // Each attempt consists of several reads if much data was sent before the close.
    private static final int MAX_READ_ATTEMPTS = 4;
    private final Channel channel;
    private final int maxReadsPerLoop;
    private final Runnable onEmpty;
    // Whether a read of this connection is on the call stack.
    private boolean reading;
    // The number of messages read since the last channelReadComplete.
    private int readCount;
    // The time at which reads last emptied the receive buffer.
    private long lastEmptyReadNanos;

    /**
     * Creates a handler for one channel.
     *
     * @param maxReadsPerLoop the number of reads after which the event loop proceeds to other
     *     connections, whether or not the receive buffer is empty
     * @param onEmpty runs each time the receive buffer has been read until it was empty
     */
    ClientLiveness(Channel channel, int maxReadsPerLoop, Runnable onEmpty) {
        this.channel = channel;
        this.onEmpty = onEmpty;
        this.maxReadsPerLoop = maxReadsPerLoop;
        this.lastEmptyReadNanos = System.nanoTime() - FRESHNESS_NANOS;
    }

    /**
     * Returns whether the client has disconnected. Data that it sent before is read and handled
     * within this call.
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
        // The last read finds nothing if it has not ended early, as when reading is paused.
        boolean foundNothing = channel.unsafe().recvBufAllocHandle().lastBytesRead() <= 0;
        if (foundNothing && readCount < maxReadsPerLoop) {
            lastEmptyReadNanos = System.nanoTime();
            onEmpty.run();
        }
        readCount = 0;
        context.fireChannelReadComplete();
    }
}
