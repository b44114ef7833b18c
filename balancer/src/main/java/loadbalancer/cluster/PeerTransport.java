package loadbalancer.cluster;

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
import loadbalancer.admin.EventLog;
import loadbalancer.config.PeerAddresses;

/**
 * Datagrams between this balancer and its peers. Each is sent once and may be lost; what does not
 * fit, comes from nobody known or can't be sent now is dropped and counted.
 */
public final class PeerTransport {
    static final int MAX_MESSAGE_BYTES = 256;
    // While a process that leaves still holds the address
    private static final long BIND_RETRY_MS = 100;

    /** Where a peer's message goes, with the peer's number. */
    public interface Listener {
        void onPeerMessage(int from, byte[] data);

        /** The address is this process's own from now on. */
        default void onAddressBound() {}
    }

    private final EventLoop loop;
    private final PeerAddresses peers;
    // Each datagram is looked up
    private final Map<InetSocketAddress, Integer> peerIndexByAddress = new HashMap<>();
    private final Listener listener;
    private final EventLog events;
    // Null until bound, and where there is no peer
    private Channel channel;
    // That it can't be bound
    private boolean bindFailureLogged;
    private boolean closed;

    public PeerTransport(EventLoop loop, PeerAddresses peers, Listener listener, EventLog events) {
        this.loop = loop;
        this.peers = peers;
        for (int i = peers.addresses().size() - 1; i >= 0; i--) {
            peerIndexByAddress.put(peers.addresses().get(i), i);
        }
        this.listener = listener;
        this.events = events;
    }

    /**
     * Binds; a failure is told once and tried again, as the process that this one takes over from
     * may still hold the address. A balancer can do without messages.
     */
    public Future<Void> start(Consumer<String> log) {
        if (peers.listenAddress() == null || peers.addresses().isEmpty()) {
            return loop.newSucceededFuture(null);
        }
        return new Bootstrap()
                .group(loop)
                .channelFactory(() -> new NioDatagramChannel(InternetProtocolFamily.IPv4))
                // One byte more than a message may have: a longer one is seen to be too long.
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MAX_MESSAGE_BYTES + 1))
                .handler(new DatagramHandler())
                .bind(peers.listenAddress())
                .addListener(
                        bindFuture -> {
                            if (bindFuture.isSuccess() || closed) {
                                return;
                            }
                            if (!bindFailureLogged) {
                                bindFailureLogged = true;
                                log.accept(
                                        "no messages between balancers yet: can't listen on "
                                                + peers.listenAddress()
                                                + ": "
                                                + bindFuture.cause().getMessage());
                            }
                            loop.schedule(
                                    () -> {
                                        if (!closed) {
                                            start(log);
                                        }
                                    },
                                    BIND_RETRY_MS,
                                    TimeUnit.MILLISECONDS);
                        });
    }

    /** Sends to the peer of that number, or to all where it is negative. */
    public void send(int peer, byte[] data) {
        if (channel == null
                || data.length > MAX_MESSAGE_BYTES
                || peer >= peers.addresses().size()) {
            return;
        }
        if (peer >= 0) {
            writeDatagram(peers.addresses().get(peer), data);
        } else if (peers.broadcastAddress() != null) {
            writeDatagram(peers.broadcastAddress(), data);
        } else {
            peers.addresses().stream()
                    .filter(p -> !p.equals(peers.listenAddress()))
                    .forEach(p -> writeDatagram(p, data));
        }
    }

    private void writeDatagram(InetSocketAddress to, byte[] data) {
        if (channel.isWritable()) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(data), to));
        }
    }

    public void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            if (closed) {
                channel.close();
            } else {
                listener.onAddressBound();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            channel = null;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            if (packet.sender().equals(peers.listenAddress())) {
                // To everyone was to this one too
                return;
            }
            Integer from = peerIndexByAddress.get(packet.sender());
            if (from == null || packet.content().readableBytes() > MAX_MESSAGE_BYTES) {
                events.record(
                        EventLog.Kind.STRAY,
                        null,
                        () -> packet.content().readableBytes() + " bytes from " + packet.sender());
                return;
            }
            listener.onPeerMessage(from, ByteBufUtil.getBytes(packet.content()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            events.record(EventLog.Kind.STRAY, null, () -> String.valueOf(cause));
        }
    }
}
