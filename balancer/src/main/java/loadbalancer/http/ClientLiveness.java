package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.IntSupplier;

/**
 * Detects whether a client is still connected now, rather than when the event loop last read its
 * connection. A close remains in the socket's receive buffer until everything before it has been
 * read. During a long event loop iteration, or after a stall, other connections are read first, and
 * without this check the requests of disconnected clients would be forwarded. Confined to the event
 * loop.
 */
final class ClientLiveness extends ChannelInboundHandlerAdapter {
    /** What is known about a client. */
    enum State {
        /** The client was connected a moment ago. */
        CONNECTED,
        /** The client has closed its connection. */
        DISCONNECTED,
        /** More is unread than one check may read, and a close may be behind it. */
        UNKNOWN
    }

    // A younger result is reused, since an attempt may begin up to 0.1 s after its client has
    // closed. Most requests are forwarded right after they were read, so they need no extra read.
    private static final long FRESHNESS_NANOS = 20_000_000;
    private static final long MAX_ATTEMPT_DELAY_NANOS = 100_000_000;
    // Each attempt consists of several reads if much data was sent before the close.
    private static final int MAX_READ_ATTEMPTS = 4;
    private final Channel channel;
    private final int maxReadsPerLoop;
    private final IntSupplier unreadBytes;
    private final Runnable onEmpty;
    // Whether a read of this connection is on the call stack.
    private boolean reading;
    // The number of messages read since the last channelReadComplete.
    private int readCount;
    private long readBytes;
    // The bytes that had arrived at the last check, read or not.
    private long arrivedBytes;
    private long lastCheckNanos;
    // The latest time at which the client is known to have been connected: reads had emptied the
    // receive buffer without a close, or bytes arrived later.
    private long lastConnectedNanos;

    /**
     * Creates a handler for one channel.
     *
     * @param maxReadsPerLoop the number of reads after which the event loop proceeds to other
     *     connections, whether or not the receive buffer is empty
     * @param unreadBytes returns the number of bytes in the receive buffer; 0 if that is not known
     * @param onEmpty runs each time the receive buffer has been read until it was empty
     */
    ClientLiveness(
            Channel channel, int maxReadsPerLoop, IntSupplier unreadBytes, Runnable onEmpty) {
        this.channel = channel;
        this.maxReadsPerLoop = maxReadsPerLoop;
        this.unreadBytes = unreadBytes;
        this.onEmpty = onEmpty;
        this.lastCheckNanos = System.nanoTime() - FRESHNESS_NANOS;
        this.lastConnectedNanos = lastCheckNanos;
    }

    /**
     * Returns whether the client has disconnected, as far as one check finds out. Data that it sent
     * before is read and handled within this call.
     */
    boolean isDisconnected() {
        return check() == State.DISCONNECTED;
    }

    /**
     * Checks whether the client is connected. Data that it sent before is read and handled within
     * this call, up to a limit.
     */
    State check() {
        if (!reading && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            for (int i = 0; i < MAX_READ_ATTEMPTS && channel.isActive() && isStale(); i++) {
                socket.read();
            }
        }
        if (!channel.isActive()) {
            return State.DISCONNECTED;
        }
        return isStale() && unreadBytes.getAsInt() > 0 ? State.UNKNOWN : State.CONNECTED;
    }

    /**
     * Returns whether the client may have disconnected too long ago for an attempt to begin, with
     * its close behind bytes that are not read. Reads nothing.
     */
    boolean isCloseHidden() {
        noteArrivals();
        return unreadBytes.getAsInt() > 0
                && System.nanoTime() - lastConnectedNanos > MAX_ATTEMPT_DELAY_NANOS;
    }

    private boolean isStale() {
        noteArrivals();
        return System.nanoTime() - lastConnectedNanos >= FRESHNESS_NANOS;
    }

    // What arrived after the last check was sent by a client that was connected then.
    private void noteArrivals() {
        long newArrivedBytes = readBytes + unreadBytes.getAsInt();
        if (newArrivedBytes > arrivedBytes) {
            arrivedBytes = newArrivedBytes;
            lastConnectedNanos = Math.max(lastConnectedNanos, lastCheckNanos);
        }
        lastCheckNanos = System.nanoTime();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        reading = true;
        readCount++;
        if (message instanceof ByteBuf bytes) {
            readBytes += bytes.readableBytes();
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        reading = false;
        // The last read finds nothing if it has not ended early, as when reading is paused.
        boolean foundNothing = channel.unsafe().recvBufAllocHandle().lastBytesRead() <= 0;
        if (foundNothing && readCount < maxReadsPerLoop) {
            lastConnectedNanos = System.nanoTime();
            onEmpty.run();
        }
        readCount = 0;
        context.fireChannelReadComplete();
    }
}
