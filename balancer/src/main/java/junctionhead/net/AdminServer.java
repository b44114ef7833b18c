package junctionhead.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The operators' door: one line to a connection, answered at once by a thread of its own, however
 * busy the balancer is. It reads what the balancer last published, and hands on what operators ask
 * for.
 */
final class AdminServer {
    /** Callers at one time; one more takes the place of the earliest. */
    static final int CALLERS_MOST = 12;

    static final int LINE_MOST = 128;
    // For a line to be whole, and for its answer to be taken
    private static final long CALL_MS = 3_000;
    private static final int BACKLOG = 64;

    /** What the door leads to; called on the door's thread. */
    interface Desk {
        Stats stats();

        void drain();

        void resume();
    }

    private final Desk desk;
    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, new DefaultThreadFactory("admin", true));
    // The earliest first
    private final Set<Channel> callers = new LinkedHashSet<>();

    AdminServer(Desk desk) {
        this.desk = desk;
    }

    /** Listens; returns the address in use. */
    InetSocketAddress listen(InetSocketAddress at) throws IOException {
        EventLoop loop = group.next();
        Channel listener =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(LINE_MOST))
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        admit(channel);
                                    }
                                })
                        .bind(at)
                        .awaitUninterruptibly()
                        .channel();
        if (!listener.isActive()) {
            throw new IOException("can't listen on " + at);
        }
        return (InetSocketAddress) listener.localAddress();
    }

    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void admit(Channel channel) {
        if (callers.size() >= CALLERS_MOST) {
            callers.iterator().next().close();
        }
        callers.add(channel);
        Future<?> timer =
                channel.eventLoop().schedule(() -> channel.close(), CALL_MS, TimeUnit.MILLISECONDS);
        channel.closeFuture()
                .addListener(
                        closed -> {
                            timer.cancel(false);
                            callers.remove(channel);
                        });
        channel.pipeline().addLast(new LineBasedFrameDecoder(LINE_MOST, true, true), new Caller());
    }

    private String answer(String call) {
        switch (call) {
            case "ready":
                return desk.stats().ready() ? "200 ready\n" : "400 not ready\n";
            case "show-stat":
                return "200 figures\n" + desk.stats().text() + "EOF\n";
            case "drain":
                desk.drain();
                return "200 draining\n";
            case "resume":
                desk.resume();
                return "200 back to work\n";
            default:
                return "400 not a call: ready, show-stat, drain or resume\n";
        }
    }

    /** One connection. */
    private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            if (!answered) {
                // One line to a connection: what follows is passed over
                say(context, answer(line.toString(StandardCharsets.UTF_8).strip()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof IOException) {
                context.close();
            } else {
                say(context, "400 that line is too long\n");
            }
        }

        private void say(ChannelHandlerContext context, String text) {
            if (!answered) {
                answered = true;
                context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                        .addListener(ChannelFutureListener.CLOSE);
            }
        }
    }
}
