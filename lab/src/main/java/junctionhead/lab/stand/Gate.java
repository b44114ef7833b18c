package junctionhead.lab.stand;

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
final class Gate {
    private static final int BACKLOG = 256;
    private static final int RETRY_MS = 20;

    /** What happens to who connects. */
    enum State {
        OPEN,
        SHUT,
        SILENT
    }

    private final World world;
    private final Consumer<SocketChannel> arrivals;
    private InetSocketAddress address;
    private State state = State.SHUT;
    private Channel listener;
    private ServerSocketChannel silent;
    private final List<java.nio.channels.SocketChannel> fillers = new ArrayList<>(2);

    Gate(World world, InetAddress host, Consumer<SocketChannel> arrivals) {
        this.world = world;
        this.arrivals = arrivals;
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
                .group(world.loop())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                arrivals.accept(channel);
                            }
                        });
    }

    /** On the loop. */
    void set(State wanted) {
        if (state == wanted) {
            return;
        }
        state = wanted;
        if (listener != null) {
            Channel old = listener;
            listener = null;
            old.close().addListener(closed -> enter());
        } else {
            endSilence();
            enter();
        }
    }

    private void enter() {
        try {
            if (state == State.OPEN && listener == null) {
                var bound = bootstrap().bind(address);
                listener = bound.channel();
                bound.addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                listener = null;
                                world.at(world.now() + RETRY_MS * 1000L, this::enter);
                            }
                        });
            } else if (state == State.SILENT && silent == null) {
                silent =
                        ServerSocketChannel.open()
                                .setOption(StandardSocketOptions.SO_REUSEADDR, true)
                                .bind(address, 1);
                for (int i = 0; i < 2; i++) {
                    // The system takes one more than the backlog
                    java.nio.channels.SocketChannel filler = java.nio.channels.SocketChannel.open();
                    filler.configureBlocking(false);
                    filler.connect(address);
                    fillers.add(filler);
                }
            }
        } catch (IOException e) {
            endSilence();
            world.at(world.now() + RETRY_MS * 1000L, this::enter);
        }
    }

    private void endSilence() {
        try {
            for (java.nio.channels.SocketChannel filler : fillers) {
                filler.close();
            }
            if (silent != null) {
                silent.close();
            }
        } catch (IOException e) {
            world.rules()
                    .breach("lab", world.now(), null, "a socket of the lab can't be closed: " + e);
        }
        fillers.clear();
        silent = null;
    }

    void close() {
        endSilence();
        if (listener != null) {
            listener.close();
        }
    }
}
