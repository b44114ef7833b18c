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
 * The channel handler next to the socket of an emulated party: it delays bytes as the links of its
 * path do at the time, in order and without loss. Confined to the emulation's event loop.
 */
final class NetworkPathHandler extends ChannelDuplexHandler {
    // With more than this in one direction, the socket is no longer read.
    private static final int MAX_BUFFERED_BYTES = 256 << 10;

    private final Emulation emulation;
    private final NetworkPath path;
    private final Lane forwardLane;
    private final Lane reverseLane;
    private ChannelHandlerContext context;
    private long firstByteAtMicros = -1;

    /** Creates the handler of one connection on {@code path}. */
    NetworkPathHandler(Emulation emulation, NetworkPath path) {
        this.emulation = emulation;
        this.path = path;
        this.forwardLane = new Lane(path.forwardLink());
        this.reverseLane = new Lane(path.reverseLink());
    }

    private record DelayedBytes(ByteBuf bytes, ChannelPromise promise, long releaseAtMicros) {}

    /** One direction of this connection, with the bytes that are delayed, oldest first. */
    private final class Lane {
        private final NetworkLink link;
        private final Deque<DelayedBytes> queue = new ArrayDeque<>();
        private long lastReleaseMicros = Long.MIN_VALUE;
        private long bufferedBytes;
        private boolean drainScheduled;

        Lane(NetworkLink link) {
            this.link = link;
        }

        void offer(ByteBuf bytes, ChannelPromise promise) {
            if (queue.isEmpty() && link.isTransparent()) {
                deliver(bytes, promise);
                return;
            }
            lastReleaseMicros =
                    Math.max(
                            lastReleaseMicros,
                            emulation.nowMicros()
                                    + link.tcpDelayMicros(
                                            emulation.nowMicros(), bytes.readableBytes()));
            queue.add(new DelayedBytes(bytes, promise, lastReleaseMicros));
            bufferedBytes += bytes.readableBytes();
            drain();
        }

        void drain() {
            while (!queue.isEmpty()
                    && !link.isCut()
                    && queue.peek().releaseAtMicros <= emulation.nowMicros()) {
                DelayedBytes item = queue.poll();
                bufferedBytes -= item.bytes.readableBytes();
                deliver(item.bytes, item.promise);
            }
            if (!queue.isEmpty() && !link.isCut() && !drainScheduled) {
                drainScheduled = true;
                context.executor()
                        .schedule(
                                () -> {
                                    drainScheduled = false;
                                    drain();
                                },
                                Math.max(1, queue.peek().releaseAtMicros - emulation.nowMicros()),
                                TimeUnit.MICROSECONDS);
            }
            if (this == forwardLane) {
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
            queue.forEach(item -> ReferenceCountUtil.release(item.bytes));
            queue.clear();
        }
    }

    /** When the first byte since the last call of this method arrived, in µs; -1: none has. */
    long takeFirstByteMicros() {
        long timeMicros = firstByteAtMicros;
        firstByteAtMicros = -1;
        return timeMicros;
    }

    /** Called when the links of the path have changed. */
    void onPathChanged() {
        forwardLane.drain();
        reverseLane.drain();
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
        forwardLane.offer((ByteBuf) message, null);
    }

    @Override
    public void write(ChannelHandlerContext ignored, Object message, ChannelPromise promise) {
        reverseLane.offer((ByteBuf) message, promise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        path.connections().remove(this);
        while (!forwardLane.queue.isEmpty()) {
            // Bytes that arrived before the end are delivered before it.
            forwardLane.deliver(forwardLane.queue.poll().bytes, null);
        }
        reverseLane.releaseAll();
        context.fireChannelInactive();
    }
}
