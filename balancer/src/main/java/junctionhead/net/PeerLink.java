package junctionhead.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.InternetProtocolFamily;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Datagrams between this balancer and its peers. Each is sent once and may be lost; what does not
 * fit, comes from nobody known or can't be sent now is dropped and counted.
 */
final class PeerLink {
    static final int MESSAGE_MOST = 256;
    // While a process that leaves still holds the address
    private static final long AGAIN_MS = 100;

    /** Where a peer's message goes, with the peer's number. */
    interface Listener {
        void heard(int from, byte[] data);

        /** The address is this process's own from now on. */
        default void bound() {}
    }

    private final EventLoop loop;
    private final Config.Peers peers;
    // Each datagram is looked up
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final Listener listener;
    private final Events events;
    // Null until bound, and where there is no peer
    private Channel channel;
    // That it can't be bound
    private boolean told;
    private boolean closed;

    PeerLink(EventLoop loop, Config.Peers peers, Listener listener, Events events) {
        this.loop = loop;
        this.peers = peers;
        for (int i = peers.all().size() - 1; i >= 0; i--) {
            numbers.put(peers.all().get(i), i);
        }
        this.listener = listener;
        this.events = events;
    }

    /**
     * Binds; a failure is told once and tried again, as the process that this one takes over from
     * may still hold the address. A balancer can do without messages.
     */
    Future<Void> start(Consumer<String> log) {
        if (peers.listen() == null || peers.all().isEmpty()) {
            return loop.newSucceededFuture(null);
        }
        return new Bootstrap()
                .group(loop)
                .channelFactory(() -> new NioDatagramChannel(InternetProtocolFamily.IPv4))
                // One byte more than a message may have: a longer one is seen to be too long.
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MESSAGE_MOST + 1))
                .handler(new Arrivals())
                .bind(peers.listen())
                .addListener(
                        bound -> {
                            if (bound.isSuccess() || closed) {
                                return;
                            }
                            if (!told) {
                                told = true;
                                log.accept(
                                        "no messages between balancers yet: can't listen on "
                                                + peers.listen()
                                                + ": "
                                                + bound.cause().getMessage());
                            }
                            loop.schedule(
                                    () -> {
                                        if (!closed) {
                                            start(log);
                                        }
                                    },
                                    AGAIN_MS,
                                    TimeUnit.MILLISECONDS);
                        });
    }

    /** Sends to the peer of that number, or to all where it is negative. */
    void tell(int peer, byte[] data) {
        if (channel == null || data.length > MESSAGE_MOST || peer >= peers.all().size()) {
            return;
        }
        if (peer >= 0) {
            send(peers.all().get(peer), data);
        } else if (peers.everyone() != null) {
            send(peers.everyone(), data);
        } else {
            peers.all().stream().filter(p -> !p.equals(peers.listen())).forEach(p -> send(p, data));
        }
    }

    private void send(InetSocketAddress to, byte[] data) {
        if (channel.isWritable()) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(data), to));
        }
    }

    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    private final class Arrivals extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            if (closed) {
                channel.close();
            } else {
                listener.bound();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            channel = null;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            if (packet.sender().equals(peers.listen())) {
                // To everyone was to this one too
                return;
            }
            Integer from = numbers.get(packet.sender());
            if (from == null || packet.content().readableBytes() > MESSAGE_MOST) {
                events.tell(
                        Events.Kind.STRAY,
                        null,
                        () -> packet.content().readableBytes() + " bytes from " + packet.sender());
                return;
            }
            listener.heard(from, ByteBufUtil.getBytes(packet.content()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            events.tell(Events.Kind.STRAY, null, () -> String.valueOf(cause));
        }
    }
}
