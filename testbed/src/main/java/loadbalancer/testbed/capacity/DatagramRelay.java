package loadbalancer.testbed.capacity;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.InternetProtocolFamily;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;

/**
 * Relays datagrams between balancers on loopback, with loss and partitions. Each balancer has one
 * relay socket, and the other balancers use the address of that socket as the balancer's address. A
 * datagram that arrives there is forwarded to the balancer from the relay socket of its sender. A
 * datagram that arrives at {@link #broadcastAddress} is forwarded to all other balancers. State is
 * confined to one event loop; the methods may be called on any other thread.
 */
final class DatagramRelay implements AutoCloseable {
    private static final int ALL_OTHERS = -1;
    private static final int MAX_DATAGRAM_BYTES = 256;
    private static final int RECEIVE_BUFFER_BYTES = 4 << 20;

    private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
    // The address at which each balancer listens; null until it is registered
    private final InetSocketAddress[] balancerAddresses;
    private final Map<InetSocketAddress, Integer> balancersByAddress = new HashMap<>();
    private final Channel[] relayChannels;
    private final Channel broadcastChannel;
    private final CostCounters[] countersByBalancer;
    private final SplittableRandom random;
    private IntPredicate partitionSide = b -> true;
    private double lossRate;

    /**
     * Opens the relay sockets.
     *
     * @param seed determines which datagrams are lost
     */
    DatagramRelay(int balancerCount, long seed) {
        balancerAddresses = new InetSocketAddress[balancerCount];
        relayChannels = new Channel[balancerCount];
        countersByBalancer = new CostCounters[balancerCount];
        random = new SplittableRandom(seed);
        for (int balancer = 0; balancer < balancerCount; balancer++) {
            relayChannels[balancer] = openRelaySocket(balancer);
            countersByBalancer[balancer] = new CostCounters();
        }
        broadcastChannel = openRelaySocket(ALL_OTHERS);
    }

    private Channel openRelaySocket(int destination) {
        return openSocket(
                eventLoopGroup,
                new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(
                            ChannelHandlerContext context, DatagramPacket packet) {
                        relay(destination, packet);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        // Ignored: the system reports the port of an ended balancer as unreachable.
                    }
                });
    }

    /** Opens a UDP socket on a free port of the loopback address. */
    static Channel openSocket(
            NioEventLoopGroup group, SimpleChannelInboundHandler<DatagramPacket> handler) {
        return new Bootstrap()
                .group(group)
                .channelFactory(() -> new NioDatagramChannel(InternetProtocolFamily.IPv4))
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES + 1))
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .handler(handler)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    /** Registers the address at which a balancer listens. */
    void register(int balancer, InetSocketAddress address) {
        runOnEventLoop(
                () -> {
                    balancerAddresses[balancer] = address;
                    balancersByAddress.put(address, balancer);
                });
    }

    /** Returns the address to which others send datagrams for that balancer. */
    InetSocketAddress relayAddress(int balancer) {
        return (InetSocketAddress) relayChannels[balancer].localAddress();
    }

    /** Returns the address to which a balancer sends datagrams for all others. */
    InetSocketAddress broadcastAddress() {
        return (InetSocketAddress) broadcastChannel.localAddress();
    }

    private void relay(int destination, DatagramPacket packet) {
        Integer sender = balancersByAddress.get(packet.sender());
        if (sender == null) {
            return;
        }
        byte[] data = ByteBufUtil.getBytes(packet.content());
        countersByBalancer[sender].countSent(
                CostCategory.ofDatagram(data),
                data.length,
                destination == ALL_OTHERS ? relayChannels.length - 1 : 1);
        for (int balancer = 0; balancer < relayChannels.length; balancer++) {
            if (balancer != sender && (destination == ALL_OTHERS || destination == balancer)) {
                forward(sender, balancer, data);
            }
        }
    }

    private void forward(int sender, int receiver, byte[] data) {
        if (balancerAddresses[receiver] != null
                && partitionSide.test(sender) == partitionSide.test(receiver)
                && (lossRate == 0 || random.nextDouble() >= lossRate)) {
            countersByBalancer[receiver].countReceived(CostCategory.ofDatagram(data), data.length);
            relayChannels[sender].writeAndFlush(
                    new DatagramPacket(Unpooled.wrappedBuffer(data), balancerAddresses[receiver]));
        }
    }

    private void runOnEventLoop(Runnable task) {
        eventLoopGroup.next().submit(task).syncUninterruptibly();
    }

    /** Sets the fraction of datagrams that are lost from now on, from 0 to 1. */
    void setLossRate(double rate) {
        runOnEventLoop(() -> lossRate = rate);
    }

    /** Restricts forwarding, from now on, to datagrams between balancers on the same side. */
    void partition(IntPredicate side) {
        runOnEventLoop(() -> partitionSide = side);
    }

    /** Sets the counters of all balancers to 0. */
    void resetCounters() {
        runOnEventLoop(() -> Arrays.stream(countersByBalancer).forEach(CostCounters::reset));
    }

    /** Returns a copy of the counters of a balancer's datagrams through this relay. */
    CostCounters counters(int balancer) {
        return eventLoopGroup
                .next()
                .submit(() -> countersByBalancer[balancer].copy())
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public void close() {
        eventLoopGroup.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
    }
}
