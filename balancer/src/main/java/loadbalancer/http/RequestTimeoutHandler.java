package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Limits the time that a client has to send its first request, or to complete a request that it has
 * begun. Without the limit, clients that send nothing would hold file descriptors until no upstream
 * could be reached. A slow request head does not extend the time; a body does if it is fast enough
 * and does not stall. Placed before the decoder to see bytes as they are received. Confined to the
 * event loop.
 */
final class RequestTimeoutHandler extends ChannelInboundHandlerAdapter {
    private static final long REQUEST_TIMEOUT_NANOS = 2_400_000_000L;
    private static final long MIN_BODY_BYTES_PER_SECOND = 40_000;
    private static final long NANOS_PER_BODY_BYTE = 1_000_000_000L / MIN_BODY_BYTES_PER_SECOND;

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

    /** Reports received bytes to the connection, or drops them if it handles no more requests. */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (connection.isClosing()) {
            ReferenceCountUtil.release(message);
            return;
        }
        connection.onBytesReceived(((ByteBuf) message).readableBytes());
        context.fireChannelRead(message);
        connection.onBytesDecoded();
    }

    /** Starts the timeout, unless it is already running. */
    void start() {
        if (timer == null && connection.isActive()) {
            startNanos = System.nanoTime();
            bodyBytesAtStart = connection.reader().bodyBytes();
            lastReceivedNanos = startNanos;
            schedule(REQUEST_TIMEOUT_NANOS);
        }
    }

    /** Records that a request's head has been read and its body begins. */
    void onRequestHead() {
        bodyBytesAtStart = 0;
        lastReceivedNanos = System.nanoTime();
    }

    /** Records that a part of a body has been read. */
    void onBodyBytes() {
        lastReceivedNanos = System.nanoTime();
    }

    /** Cancels the timeout because a request is complete or the connection is closed. */
    void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void schedule(long delayNanos) {
        Runnable guardedCheck = connection.exceptionGuard().wrap(this::check);
        timer = loop.schedule(guardedCheck, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void check() {
        timer = null;
        RequestReader reader = connection.reader();
        if (reader.isPausedByBackPressure()) {
            // The client can't send: reading is paused until an upstream takes more of the body.
            start();
            return;
        }
        long receivedBytes = reader.bodyBytes() - bodyBytesAtStart;
        long extendedStartNanos =
                Math.min(startNanos + receivedBytes * NANOS_PER_BODY_BYTE, lastReceivedNanos);
        long remainingNanos = extendedStartNanos + REQUEST_TIMEOUT_NANOS - System.nanoTime();
        if (remainingNanos > 0) {
            schedule(remainingNanos);
        } else {
            connection.drop(connection.isReceiving() ? "unfinished request" : "no request");
        }
    }
}
