package loadbalancer.testbed.emulation;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Listens at the address at which one balancer reaches an emulated party. Depending on its state,
 * it accepts connections, refuses them or leaves connection attempts unanswered. Confined to the
 * emulation's event loop, except for {@link #open}.
 */
final class ControllableListener {
    private static final int LISTEN_BACKLOG = 256;
    private static final int SILENT_BACKLOG = 1;
    private static final long RETRY_INTERVAL_MICROS = 20_000;

    /** Selects what happens to connection attempts. */
    enum State {
        /** Connections are accepted. */
        OPEN,
        /** The system refuses connections, since no socket listens. */
        REFUSING,
        /** Connection attempts get no answer: the backlog is full, and the system drops packets. */
        SILENT
    }

    private final Emulation emulation;
    private final Consumer<SocketChannel> acceptHandler;
    private InetSocketAddress address;
    private State state = State.REFUSING;
    private Channel listener;
    private ServerSocketChannel silentSocket;
    private final List<java.nio.channels.SocketChannel> backlogFillers = new ArrayList<>();

    /**
     * Creates a listener that is not bound.
     *
     * @param acceptHandler initializes the channel of each accepted connection
     */
    ControllableListener(
            Emulation emulation, InetAddress host, Consumer<SocketChannel> acceptHandler) {
        this.emulation = emulation;
        this.acceptHandler = acceptHandler;
        this.address = new InetSocketAddress(host, 0);
    }

    /**
     * Binds the listener to a free port, which it keeps, and accepts connections. Called before the
     * run, outside the event loop.
     *
     * @throws IOException if the address cannot be bound
     */
    void open() throws IOException {
        try {
            listener = bootstrap().bind(address).sync().channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
        address = (InetSocketAddress) listener.localAddress();
        state = State.OPEN;
    }

    /** Returns the address; its port is 0 before {@link #open}. */
    InetSocketAddress address() {
        return address;
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(emulation.eventLoop())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                acceptHandler.accept(channel);
                            }
                        });
    }

    /** Changes the state. Connections are refused until the address has been bound again. */
    void setState(State newState) {
        if (state == newState) {
            return;
        }
        state = newState;
        if (listener != null) {
            Channel old = listener;
            listener = null;
            old.close().addListener(closed -> applyState());
        } else {
            closeSilentSocket();
            applyState();
        }
    }

    private void applyState() {
        try {
            if (state == State.OPEN && listener == null) {
                var bound = bootstrap().bind(address);
                listener = bound.channel();
                bound.addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                listener = null;
                                scheduleRetry();
                            }
                        });
            } else if (state == State.SILENT && silentSocket == null) {
                silentSocket =
                        ServerSocketChannel.open()
                                .setOption(StandardSocketOptions.SO_REUSEADDR, true)
                                .bind(address, SILENT_BACKLOG);
                // The system accepts one connection more than the backlog.
                for (int i = 0; i <= SILENT_BACKLOG; i++) {
                    java.nio.channels.SocketChannel filler = java.nio.channels.SocketChannel.open();
                    filler.configureBlocking(false);
                    filler.connect(address);
                    backlogFillers.add(filler);
                }
            }
        } catch (IOException e) {
            closeSilentSocket();
            scheduleRetry();
        }
    }

    private void scheduleRetry() {
        emulation.schedule(emulation.nowMicros() + RETRY_INTERVAL_MICROS, this::applyState);
    }

    private void closeSilentSocket() {
        try {
            for (java.nio.channels.SocketChannel filler : backlogFillers) {
                filler.close();
            }
            if (silentSocket != null) {
                silentSocket.close();
            }
        } catch (IOException e) {
            emulation
                    .invariants()
                    .recordViolation(
                            "testbed",
                            emulation.nowMicros(),
                            null,
                            "cannot close a socket of a silent listener: " + e);
        }
        backlogFillers.clear();
        silentSocket = null;
    }

    /** Closes the listening socket. */
    void close() {
        closeSilentSocket();
        if (listener != null) {
            listener.close();
        }
    }
}
