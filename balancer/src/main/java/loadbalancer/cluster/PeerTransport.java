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
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.admin.EventLog;
import loadbalancer.config.PeerAddresses;

/**
 * Exchanges datagrams between this balancer and its peers over UDP. Each datagram is sent once and
 * may be lost. An outgoing datagram that is too long or can't be sent immediately is dropped. A
 * received datagram that is too long or comes from an unknown sender is dropped and counted. Event
 * loop only, except for the constructor and {@link #start}.
 */
public final class PeerTransport {
    /** Stands for all peers in place of a peer's number. Any negative number means the same. */
    public static final int ALL_PEERS = -1;

    static final int MAX_MESSAGE_BYTES = 256;
    // An earlier process of this balancer may still have the address bound.
    private static final long BIND_RETRY_MS = 100;

    /** Receives datagrams, on the event loop. */
    public interface Listener {
        /** Handles a datagram from the peer with number {@code from}. */
        void onPeerMessage(int from, byte[] data);

        /** Handles that this process has bound its address. */
        default void onAddressBound() {}
    }

    private final EventLoop loop;
    private final PeerAddresses peers;
    private final Map<InetSocketAddress, Integer> peerIndexByAddress = new HashMap<>();
    private final Listener listener;
    private final EventLog events;
    // Null while no address is bound.
    private Channel channel;
    private boolean bindFailureLogged;
    private boolean closed;

    /** Creates a transport, which sends and receives nothing before {@link #start}. */
    public PeerTransport(EventLoop loop, PeerAddresses peers, Listener listener, EventLog events) {
        this.loop = loop;
        this.peers = peers;
        for (int peer = peers.addresses().size() - 1; peer >= 0; peer--) {
            peerIndexByAddress.put(peers.addresses().get(peer), peer);
        }
        this.listener = listener;
        this.events = events;
    }

    /**
     * Binds the listen address. A failure is logged once, and the bind is retried until {@link
     * #close}. Binds nothing if there is no listen address or no peer.
     *
     * @return future that completes with the first attempt
     */
    public Future<Void> start(Consumer<String> log) {
        Optional<InetSocketAddress> listenAddress = peers.listenAddress();
        if (listenAddress.isEmpty() || peers.addresses().isEmpty()) {
            return loop.newSucceededFuture(null);
        }
        return bind(listenAddress.get(), log);
    }

    private Future<Void> bind(InetSocketAddress listenAddress, Consumer<String> log) {
        // One byte more than the longest message, so that longer datagrams are recognized.
        FixedRecvByteBufAllocator receiveBuffers =
                new FixedRecvByteBufAllocator(MAX_MESSAGE_BYTES + 1);
        return new Bootstrap()
                .group(loop)
                .channelFactory(() -> new NioDatagramChannel(InternetProtocolFamily.IPv4))
                .option(ChannelOption.RCVBUF_ALLOCATOR, receiveBuffers)
                .handler(new DatagramHandler())
                .bind(listenAddress)
                .addListener(
                        bindFuture -> {
                            if (!bindFuture.isSuccess() && !closed) {
                                onBindFailure(listenAddress, bindFuture.cause(), log);
                            }
                        });
    }

    private void onBindFailure(
            InetSocketAddress listenAddress, Throwable cause, Consumer<String> log) {
        if (!bindFailureLogged) {
            bindFailureLogged = true;
            log.accept(
                    "peer socket bind failed: address="
                            + listenAddress
                            + " reason="
                            + cause.getMessage());
        }
        loop.schedule(
                () -> {
                    if (!closed) {
                        bind(listenAddress, log);
                    }
                },
                BIND_RETRY_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Sends a datagram to the peer with number {@code peer}, or to {@link #ALL_PEERS}. */
    public void send(int peer, byte[] data) {
        if (channel == null
                || data.length > MAX_MESSAGE_BYTES
                || peer >= peers.addresses().size()) {
            return;
        }
        if (peer >= 0) {
            writeDatagram(peers.addresses().get(peer), data);
        } else if (peers.broadcastAddress().isPresent()) {
            writeDatagram(peers.broadcastAddress().get(), data);
        } else {
            peers.addresses().stream()
                    .filter(address -> !peers.isOwnAddress(address))
                    .forEach(address -> writeDatagram(address, data));
        }
    }

    private void writeDatagram(InetSocketAddress to, byte[] data) {
        if (channel.isWritable()) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(data), to));
        }
    }

    /** Closes the socket and stops retrying the bind. */
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
            InetSocketAddress sender = packet.sender();
            if (peers.isOwnAddress(sender)) {
                // This balancer has received its own broadcast.
                return;
            }
            Integer from = peerIndexByAddress.get(sender);
            int length = packet.content().readableBytes();
            if (from == null || length > MAX_MESSAGE_BYTES) {
                events.record(EventLog.Kind.STRAY, null, () -> length + " bytes from " + sender);
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
