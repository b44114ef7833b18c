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
 * The address of one party as one balancer reaches it. Open, it takes connections; shut, the system
 * refuses them; silent, they neither come up nor end: its backlog is full, and the system drops
 * what comes.
 */
final class ControllableListener {
    private static final int LISTEN_BACKLOG = 256;
    private static final int RETRY_INTERVAL_MS = 20;

    /** What happens to who connects. */
    enum State {
        OPEN,
        REFUSING,
        SILENT
    }

    private final Emulation emulation;
    private final Consumer<SocketChannel> acceptHandler;
    private InetSocketAddress address;
    private State state = State.REFUSING;
    private Channel listener;
    private ServerSocketChannel silentSocket;
    private final List<java.nio.channels.SocketChannel> backlogFillers = new ArrayList<>(2);

    ControllableListener(
            Emulation emulation, InetAddress host, Consumer<SocketChannel> acceptHandler) {
        this.emulation = emulation;
        this.acceptHandler = acceptHandler;
        this.address = new InetSocketAddress(host, 0);
    }

    /** Finds its port; stays open. Called before the run, off the loop. */
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

    /** On the loop. */
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
                                emulation.schedule(
                                        emulation.nowMicros() + RETRY_INTERVAL_MS * 1000L,
                                        this::applyState);
                            }
                        });
            } else if (state == State.SILENT && silentSocket == null) {
                silentSocket =
                        ServerSocketChannel.open()
                                .setOption(StandardSocketOptions.SO_REUSEADDR, true)
                                .bind(address, 1);
                for (int i = 0; i < 2; i++) {
                    // The system takes one more than the backlog
                    java.nio.channels.SocketChannel filler = java.nio.channels.SocketChannel.open();
                    filler.configureBlocking(false);
                    filler.connect(address);
                    backlogFillers.add(filler);
                }
            }
        } catch (IOException e) {
            closeSilentSocket();
            emulation.schedule(emulation.nowMicros() + RETRY_INTERVAL_MS * 1000L, this::applyState);
        }
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
                            "a socket of the testbed can't be closed: " + e);
        }
        backlogFillers.clear();
        silentSocket = null;
    }

    void close() {
        closeSilentSocket();
        if (listener != null) {
            listener.close();
        }
    }
}
