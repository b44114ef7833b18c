package loadbalancer.admin;

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
public final class AdminServer {
    /** Callers at one time; one more takes the place of the earliest. */
    static final int MAX_CONNECTIONS = 12;

    static final int MAX_LINE_BYTES = 128;
    // For a line to be whole, and for its answer to be taken
    private static final long CONNECTION_TIMEOUT_MS = 3_000;
    private static final int BACKLOG = 64;

    private final AdminOperations operations;
    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, new DefaultThreadFactory("admin", true));
    // The earliest first
    private final Set<Channel> connections = new LinkedHashSet<>();

    public AdminServer(AdminOperations operations) {
        this.operations = operations;
    }

    /** Listens; returns the address in use. */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        EventLoop loop = group.next();
        Channel listener =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(MAX_LINE_BYTES))
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        addConnection(channel);
                                    }
                                })
                        .bind(address)
                        .awaitUninterruptibly()
                        .channel();
        if (!listener.isActive()) {
            throw new IOException("can't listen on " + address);
        }
        return (InetSocketAddress) listener.localAddress();
    }

    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void addConnection(Channel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
        connections.add(channel);
        Future<?> timer =
                channel.eventLoop()
                        .schedule(
                                () -> channel.close(),
                                CONNECTION_TIMEOUT_MS,
                                TimeUnit.MILLISECONDS);
        channel.closeFuture()
                .addListener(
                        closed -> {
                            timer.cancel(false);
                            connections.remove(channel);
                        });
        channel.pipeline()
                .addLast(
                        new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true),
                        new ConnectionHandler());
    }

    private String execute(String command) {
        switch (command) {
            case "ready":
                return operations.stats().ready() ? "200 ready\n" : "400 not ready\n";
            case "show-stat":
                return "200 figures\n" + operations.stats().toStatsdText() + "EOF\n";
            case "drain":
                operations.drain();
                return "200 draining\n";
            case "resume":
                operations.resume();
                return "200 back to work\n";
            default:
                return "400 not a call: ready, show-stat, drain or resume\n";
        }
    }

    /** One connection. */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean replied;

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            if (!replied) {
                // One line to a connection: what follows is passed over
                reply(context, execute(line.toString(StandardCharsets.UTF_8).strip()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof IOException) {
                context.close();
            } else {
                reply(context, "400 that line is too long\n");
            }
        }

        private void reply(ChannelHandlerContext context, String text) {
            if (!replied) {
                replied = true;
                context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                        .addListener(ChannelFutureListener.CLOSE);
            }
        }
    }
}
