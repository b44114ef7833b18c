package loadbalancer.testbed.emulation;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import loadbalancer.testbed.network.NetworkLink;

/**
 * Delays the bytes of one connection by the current delays of its path's links, in order and
 * without loss. It is the first handler of an emulated party's channel. Confined to the emulation's
 * event loop.
 */
final class NetworkPathHandler extends ChannelDuplexHandler {
    // The socket is not read while this many bytes from the balancer are buffered.
    private static final int MAX_BUFFERED_BYTES = 256 << 10;

    private final Emulation emulation;
    private final NetworkPath path;
    private final DelayQueue forwardQueue;
    private final DelayQueue reverseQueue;
    private ChannelHandlerContext context;
    private long firstByteAtMicros = -1;

    /** Creates the handler of one connection on {@code path}. */
    NetworkPathHandler(Emulation emulation, NetworkPath path) {
        this.emulation = emulation;
        this.path = path;
        this.forwardQueue = new DelayQueue(path.forwardLink());
        this.reverseQueue = new DelayQueue(path.reverseLink());
    }

    private record DelayedBytes(ByteBuf bytes, ChannelPromise promise, long releaseAtMicros) {}

    /** Queues the delayed bytes of one direction of this connection, oldest first. */
    private final class DelayQueue {
        private final NetworkLink link;
        private final Deque<DelayedBytes> delayed = new ArrayDeque<>();
        private long lastReleaseMicros = Long.MIN_VALUE;
        private long bufferedBytes;
        private boolean drainScheduled;

        DelayQueue(NetworkLink link) {
            this.link = link;
        }

        void offer(ByteBuf bytes, ChannelPromise promise) {
            if (delayed.isEmpty() && link.isTransparent()) {
                deliver(bytes, promise);
                return;
            }
            lastReleaseMicros =
                    Math.max(
                            lastReleaseMicros,
                            emulation.nowMicros()
                                    + link.sampleTcpDelayMicros(
                                            emulation.nowMicros(), bytes.readableBytes()));
            delayed.add(new DelayedBytes(bytes, promise, lastReleaseMicros));
            bufferedBytes += bytes.readableBytes();
            drain();
        }

        void drain() {
            while (!delayed.isEmpty()
                    && !link.isCut()
                    && delayed.peek().releaseAtMicros <= emulation.nowMicros()) {
                DelayedBytes item = delayed.poll();
                bufferedBytes -= item.bytes.readableBytes();
                deliver(item.bytes, item.promise);
            }
            if (!delayed.isEmpty() && !link.isCut() && !drainScheduled) {
                drainScheduled = true;
                context.executor()
                        .schedule(
                                () -> {
                                    drainScheduled = false;
                                    drain();
                                },
                                Math.max(1, delayed.peek().releaseAtMicros - emulation.nowMicros()),
                                TimeUnit.MICROSECONDS);
            }
            if (this == forwardQueue) {
                boolean readable = bufferedBytes < MAX_BUFFERED_BYTES && !link.isCut();
                if (context.channel().config().isAutoRead() != readable) {
                    context.channel().config().setAutoRead(readable);
                }
            }
        }

        void deliver(ByteBuf bytes, ChannelPromise promise) {
            if (promise != null) {
                context.writeAndFlush(bytes, promise);
                return;
            }
            if (firstByteAtMicros < 0) {
                firstByteAtMicros = emulation.nowMicros();
            }
            context.fireChannelRead(bytes);
        }

        void releaseAll() {
            delayed.forEach(item -> ReferenceCountUtil.release(item.bytes));
            delayed.clear();
        }
    }

    /**
     * Returns when the first byte since the last call of this method was delivered, in µs since the
     * start of the run, or -1 if there was none.
     */
    long takeFirstByteMicros() {
        long timeMicros = firstByteAtMicros;
        firstByteAtMicros = -1;
        return timeMicros;
    }

    /** Handles a change of the path's links: delivers the bytes that may pass now. */
    void onPathChanged() {
        forwardQueue.drain();
        reverseQueue.drain();
    }

    /** Closes the connection with a TCP reset. */
    void resetConnection() {
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        context.channel().close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        path.connections().add(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        forwardQueue.offer((ByteBuf) message, null);
    }

    @Override
    public void write(ChannelHandlerContext ignored, Object message, ChannelPromise promise) {
        reverseQueue.offer((ByteBuf) message, promise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        path.connections().remove(this);
        while (!forwardQueue.delayed.isEmpty()) {
            // Bytes that arrived before the connection ended are delivered before the end.
            forwardQueue.deliver(forwardQueue.delayed.poll().bytes, null);
        }
        reverseQueue.releaseAll();
        context.fireChannelInactive();
    }
}
