package junctionhead.lab.stand;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import junctionhead.lab.model.Way;

/**
 * Next to the socket of a stand-in: lets bytes pass as the path does now, in order, and never loses
 * any.
 */
final class PathHandler extends ChannelDuplexHandler {
    // Bytes; past that nothing more is read
    private static final int HELD_MOST = 256 << 10;

    private final World world;
    private final Path path;
    private final Lane in;
    private final Lane out;
    private ChannelHandlerContext context;
    private long firstByteAt = -1;

    PathHandler(World world, Path path) {
        this.world = world;
        this.path = path;
        this.in = new Lane(path.there());
        this.out = new Lane(path.back());
    }

    private record Item(ByteBuf bytes, ChannelPromise promise, long at) {}

    /** One direction of this connection: what waits, oldest first. */
    private final class Lane {
        private final Way way;
        private final Deque<Item> waiting = new ArrayDeque<>();
        private long last = Long.MIN_VALUE;
        private long held;
        private boolean scheduled;

        Lane(Way way) {
            this.way = way;
        }

        void offer(ByteBuf bytes, ChannelPromise promise) {
            if (waiting.isEmpty() && way.plain()) {
                pass(bytes, promise);
                return;
            }
            last = Math.max(last, world.now() + way.delayOf(world.now(), bytes.readableBytes()));
            waiting.add(new Item(bytes, promise, last));
            held += bytes.readableBytes();
            drain();
        }

        void drain() {
            while (!waiting.isEmpty() && !way.cut() && waiting.peek().at <= world.now()) {
                Item item = waiting.poll();
                held -= item.bytes.readableBytes();
                pass(item.bytes, item.promise);
            }
            if (!waiting.isEmpty() && !way.cut() && !scheduled) {
                scheduled = true;
                context.executor()
                        .schedule(
                                () -> {
                                    scheduled = false;
                                    drain();
                                },
                                Math.max(1, waiting.peek().at - world.now()),
                                TimeUnit.MICROSECONDS);
            }
            if (this == in) {
                boolean wanted = held < HELD_MOST && !way.cut();
                if (context.channel().config().isAutoRead() != wanted) {
                    context.channel().config().setAutoRead(wanted);
                }
            }
        }

        void pass(ByteBuf bytes, ChannelPromise promise) {
            if (promise != null) {
                context.writeAndFlush(bytes, promise);
                return;
            }
            if (firstByteAt < 0) {
                firstByteAt = world.now();
            }
            context.fireChannelRead(bytes);
        }

        void drop() {
            waiting.forEach(item -> ReferenceCountUtil.release(item.bytes));
            waiting.clear();
        }
    }

    /** When the first byte since the last call came; -1: none has. */
    long takeFirstByte() {
        long at = firstByteAt;
        firstByteAt = -1;
        return at;
    }

    /** The path has changed. */
    void look() {
        in.drain();
        out.drain();
    }

    void reset() {
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
        in.offer((ByteBuf) message, null);
    }

    @Override
    public void write(ChannelHandlerContext ignored, Object message, ChannelPromise promise) {
        out.offer((ByteBuf) message, promise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        path.connections().remove(this);
        while (!in.waiting.isEmpty()) {
            // What came before the end comes before it here
            in.pass(in.waiting.poll().bytes, null);
        }
        out.drop();
        context.fireChannelInactive();
    }
}
