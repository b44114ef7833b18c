package loadbalancer.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import loadbalancer.proxy.PeerMemory;
import loadbalancer.proxy.PeerReadAllocator;

/**
 * Owns the listening socket with its accept backlog, and the in-process listener of a warm-up.
 * Confined to the event loop, except for the two {@code listen} methods, which block another thread
 * until the socket is bound.
 */
final class ClientListener {
    /** Reads per connection and event loop iteration: the longest buffered request and its end. */
    static final int MAX_READS_PER_LOOP = 4;

    private static final int ACCEPT_BACKLOG = 1024;
    private static final long BACKLOG_POLL_INTERVAL_MS = 2;
    private static final int MAX_BACKLOG_POLLS = 50;
    // Differs from every connection count, so that there is always a second poll.
    private static final long NO_PREVIOUS_COUNT = -1;

    private static final ByteBufAllocator HEAP_ALLOCATOR = new UnpooledByteBufAllocator(false);

    private final EventLoop loop;
    private final PeerMemory memory;
    private final ChannelInitializer<Channel> connectionInitializer;
    private Channel serverChannel;
    // Null unless a warm-up listens in this process.
    private Channel inProcessChannel;
    private boolean accepting;

    /**
     * Creates a listener without a socket.
     *
     * @param memory the limit on the memory of all clients and upstreams together
     * @param onAccepted sets up the pipeline of each accepted channel, on the event loop
     */
    ClientListener(EventLoop loop, PeerMemory memory, Consumer<Channel> onAccepted) {
        this.loop = loop;
        this.memory = memory;
        this.connectionInitializer =
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        onAccepted.accept(channel);
                    }
                };
    }

    /**
     * Binds to an address and starts accepting. Must not be called on the event loop.
     *
     * @return the address in use
     * @throws IOException if the address can't be bound, or the thread is interrupted
     */
    InetSocketAddress listen(InetSocketAddress address) throws IOException {
        accepting = true;
        return awaitBound(
                serverBootstrap(new ClientServerChannel())
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .bind(address));
    }

    /**
     * Uses a socket that is already listening; accepts nothing before {@link #startAccepting}. Must
     * not be called on the event loop.
     *
     * @return the address in use
     * @throws IOException if the thread is interrupted
     */
    InetSocketAddress listen(ServerSocketChannel inheritedSocket) throws IOException {
        return awaitBound(
                serverBootstrap(new ClientServerChannel(inheritedSocket))
                        .option(ChannelOption.AUTO_READ, false)
                        .register());
    }

    private ServerBootstrap serverBootstrap(NioServerSocketChannel newServerChannel) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(() -> newServerChannel)
                // Set before the socket listens: a connection can be accepted before bind returns
                // to the starting thread, and enforcing the connection limit uses serverChannel.
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                serverChannel = channel;
                            }
                        })
                .childOption(ChannelOption.ALLOCATOR, HEAP_ALLOCATOR)
                // Reads until the receive buffer is empty, so that a client's close is detected
                // together with the data sent before it.
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new PeerReadAllocator(memory, MAX_READS_PER_LOOP, true))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(connectionInitializer);
    }

    private static InetSocketAddress awaitBound(ChannelFuture bindFuture) throws IOException {
        try {
            if (Thread.interrupted()) {
                // sync() checks for an interrupt only while the bind is pending.
                throw new InterruptedException();
            }
            return (InetSocketAddress) bindFuture.sync().channel().localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    /**
     * Accepts connections from within this process. {@code onListening} runs on the event loop once
     * it listens.
     */
    void listenInProcess(LocalAddress address, Runnable onListening) {
        ChannelFuture bindFuture =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(LocalServerChannel.class)
                        .childHandler(connectionInitializer)
                        .bind(address);
        inProcessChannel = bindFuture.channel();
        bindFuture.addListener(bound -> onListening.run());
    }

    /** Closes the in-process listener, if there is one; its connections stay open. */
    void closeInProcess() {
        if (inProcessChannel != null) {
            inProcessChannel.close();
        }
    }

    boolean isOpen() {
        return serverChannel.isOpen();
    }

    /** Returns whether connections are accepted as long as there is capacity. */
    boolean isAccepting() {
        return accepting;
    }

    /** Allows connections to be accepted, from the next call of {@link #setHasCapacity} on. */
    void startAccepting() {
        accepting = true;
    }

    /**
     * Stops accepting and leaves new connections to the process that shares the socket. The socket
     * stays open: it is descriptor 0 of the process, and closing it would end the log as well.
     */
    void stopAccepting() {
        accepting = false;
        serverChannel.config().setAutoRead(false);
    }

    /** Resumes accepting, or leaves new connections in the backlog if there is no capacity. */
    void setHasCapacity(boolean hasCapacity) {
        serverChannel.config().setAutoRead(hasCapacity && accepting);
    }

    /**
     * Closes the socket once its backlog is empty. Closing it earlier would reset the connections
     * in the backlog, and the requests already sent on them would be lost.
     *
     * @param acceptedCount returns the number of connections ever accepted
     * @param onClosed runs on the event loop, after the requests that have already arrived on the
     *     last accepted connections have been read
     */
    void closeWhenBacklogEmpty(LongSupplier acceptedCount, Runnable onClosed) {
        accepting = false;
        pollBacklog(NO_PREVIOUS_COUNT, MAX_BACKLOG_POLLS, acceptedCount, onClosed);
    }

    private void pollBacklog(
            long previousCount, int remainingPolls, LongSupplier acceptedCount, Runnable onClosed) {
        if (serverChannel != null
                && serverChannel.isOpen()
                && previousCount != acceptedCount.getAsLong()
                && remainingPolls > 0) {
            // The connection limit is ignored: no connections follow those in the backlog.
            serverChannel.config().setAutoRead(true);
            long currentCount = acceptedCount.getAsLong();
            loop.schedule(
                    () -> pollBacklog(currentCount, remainingPolls - 1, acceptedCount, onClosed),
                    BACKLOG_POLL_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
            return;
        }
        if (serverChannel != null) {
            serverChannel.close();
        }
        loop.schedule(onClosed, BACKLOG_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
}
