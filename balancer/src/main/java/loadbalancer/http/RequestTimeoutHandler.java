package loadbalancer.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the time that a client has for its first request, or to complete one that it has begun.
 * Without it, clients that send nothing would hold descriptors until no upstream could be reached.
 * A request head that arrives slowly does not extend the time; a body does, if it is fast enough
 * and does not stall. Stands before the decoder, where received bytes are seen first. Belongs to
 * the event loop.
 */
final class RequestTimeoutHandler extends ChannelInboundHandlerAdapter {
    private static final long REQUEST_TIMEOUT_NANOS = 2_400_000_000L;
    private static final long MIN_BODY_BYTES_PER_SECOND = 40_000;
    private static final long BODY_BYTE_ALLOWANCE_NANOS =
            1_000_000_000L / MIN_BODY_BYTES_PER_SECOND;

    private final ClientConnection connection;
    private final EventLoop loop;
    // Null while no request is awaited.
    private Future<?> timer;
    private long startNanos;
    private long bodyBytesAtStart;
    private long lastReceivedNanos;

    RequestTimeoutHandler(ClientConnection connection, EventLoop loop) {
        this.connection = connection;
        this.loop = loop;
    }

    /** Drops what arrives on a connection that handles no more requests. */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (connection.isClosing()) {
            ReferenceCountUtil.release(message);
            return;
        }
        connection.onBytesReceived();
        context.fireChannelRead(message);
    }

    /** Starts the time, unless it runs already. */
    void start() {
        if (timer == null && connection.isActive()) {
            startNanos = System.nanoTime();
            bodyBytesAtStart = connection.reader().bodyBytes();
            lastReceivedNanos = startNanos;
            schedule(REQUEST_TIMEOUT_NANOS);
        }
    }

    /** Notes that a request's head has been read, and its body begins. */
    void onRequestHead() {
        bodyBytesAtStart = 0;
        lastReceivedNanos = System.nanoTime();
    }

    /** Notes that a part of a body has been read. */
    void onBodyBytes() {
        lastReceivedNanos = System.nanoTime();
    }

    /** Ends the time: a request is complete, or the connection is closed. */
    void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void schedule(long delayNanos) {
        timer = loop.schedule(this::check, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void check() {
        timer = null;
        RequestReader reader = connection.reader();
        if (reader.isPausedByBackPressure()) {
            // The client waits for this balancer.
            start();
            return;
        }
        long receivedBytes = reader.bodyBytes() - bodyBytesAtStart;
        long allowedSinceNanos =
                Math.min(startNanos + receivedBytes * BODY_BYTE_ALLOWANCE_NANOS, lastReceivedNanos);
        long remainingNanos = allowedSinceNanos + REQUEST_TIMEOUT_NANOS - System.nanoTime();
        if (remainingNanos > 0) {
            schedule(remainingNanos);
        } else {
            connection.drop(connection.isReceiving() ? "unfinished request" : "no request");
        }
    }
}
