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
 * The administration interface: a TCP server that reads one command line from each connection,
 * answers it and closes the connection. It has its own thread, so that it answers however busy the
 * balancer is. Its handlers and the set of connections are confined to that thread; {@link #listen}
 * and {@link #close} may be called from any thread.
 */
public final class AdminServer {
    /** Maximum number of open connections; one more closes the oldest. */
    static final int MAX_CONNECTIONS = 12;

    /** Maximum length of a command line. */
    static final int MAX_LINE_BYTES = 128;

    /** Time from accept until the client must have read the response. */
    static final long CONNECTION_TIMEOUT_MS = 3_000;

    private static final int BACKLOG = 64;

    private final AdminOperations operations;
    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, new DefaultThreadFactory("admin", true));
    // Ordered from oldest to newest.
    private final Set<Channel> connections = new LinkedHashSet<>();

    /**
     * Creates a server that does not listen yet; {@code operations} is called on the server's
     * thread.
     */
    public AdminServer(AdminOperations operations) {
        this.operations = operations;
    }

    /**
     * Binds to {@code address} and waits until it is bound.
     *
     * @return the bound address, with the port chosen by the system if the port in {@code address}
     *     is 0
     * @throws IOException if the address can't be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        EventLoop loop = group.next();
        ChannelInitializer<Channel> connectionInitializer =
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        addConnection(channel);
                    }
                };
        Channel listener =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(MAX_LINE_BYTES))
                        .childHandler(connectionInitializer)
                        .bind(address)
                        .awaitUninterruptibly()
                        .channel();
        if (!listener.isActive()) {
            throw new IOException("can't listen on " + address);
        }
        return (InetSocketAddress) listener.localAddress();
    }

    /** Begins to close the listener and all connections, and returns without waiting. */
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void addConnection(Channel channel) {
        closeOldestIfFull();
        connections.add(channel);
        Future<?> timeout =
                channel.eventLoop()
                        .schedule(
                                () -> channel.close(),
                                CONNECTION_TIMEOUT_MS,
                                TimeUnit.MILLISECONDS);
        channel.closeFuture()
                .addListener(
                        closed -> {
                            timeout.cancel(false);
                            connections.remove(channel);
                        });
        channel.pipeline()
                .addLast(
                        new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true),
                        new ConnectionHandler());
    }

    private void closeOldestIfFull() {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
    }

    // Returns the response to a command, including its line ends.
    private String execute(String command) {
        return switch (command) {
            case "ready" -> operations.stats().ready() ? "200 ready\n" : "400 not ready\n";
            case "show-stat" -> "200 figures\n" + operations.stats().toStatsdText() + "EOF\n";
            case "drain" -> {
                operations.drain();
                yield "200 draining\n";
            }
            case "resume" -> {
                operations.resume();
                yield "200 back to work\n";
            }
            default -> "400 not a call: ready, show-stat, drain or resume\n";
        };
    }

    /** Answers the first line of a connection and ignores all further input. */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean replied;

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            if (!replied) {
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
