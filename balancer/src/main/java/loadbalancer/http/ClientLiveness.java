package loadbalancer.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Tells whether a client is there, as of now and not as of when the loop last came to its
 * connection. Guards against attempts that begin for clients that have left: an end stands in the
 * system's buffer until it is read, and in a long turn of the loop, or after it stood still, others
 * are read before it.
 */
final class ClientLiveness extends ChannelInboundHandlerAdapter {
    // An attempt may begin for 0.1 s after its client's end: what was found that lately need not be
    // looked
    // for again, and as a rule a request is sent on right after it was read.
    private static final long FRESHNESS_NS = 20_000_000;
    // Of several reads each, where much stands before an end
    private static final int MAX_READ_ATTEMPTS = 4;
    private final Channel channel;
    private final int maxReadsPerLoop;
    // This connection is being read further up the stack
    private boolean reading;
    // Of this look
    private int readCount;
    // When a read last found nothing more
    private long lastEmptyReadNanos;

    /**
     * {@code maxReadsPerLoop}: after so many the loop turns to other connections, whether more is
     * there or not.
     */
    ClientLiveness(Channel channel, int maxReadsPerLoop) {
        this.channel = channel;
        this.maxReadsPerLoop = maxReadsPerLoop;
        this.lastEmptyReadNanos = System.nanoTime() - FRESHNESS_NS;
    }

    /** Whether the client has left; what it has sent before is read, and handled, first. */
    boolean isDisconnected() {
        if (!reading && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            for (int i = 0; i < MAX_READ_ATTEMPTS && channel.isActive() && isStale(); i++) {
                socket.read();
            }
        }
        return !channel.isActive();
    }

    private boolean isStale() {
        return System.nanoTime() - lastEmptyReadNanos >= FRESHNESS_NS;
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
