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
import java.util.function.IntPredicate;

/**
 * The datagram paths between balancers on loopback, and the platform's path from one to all.
 * Everybody knows balancer i by one address, i's face: what comes to a face goes on to its
 * balancer, and comes from the sender's face; what comes to {@link #broadcastAddress} goes on to
 * all others. So a fleet takes two sockets a balancer and one. All of it is on one thread.
 */
final class DatagramRelay implements AutoCloseable {
    private static final int MAX_DATAGRAM_BYTES = 256;
    // Bytes that the system may hold for a socket
    private static final int RECEIVE_BUFFER_BYTES = 4 << 20;

    private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
    // Where each listens; known before it is heard
    private final InetSocketAddress[] balancerAddresses;
    private final Map<InetSocketAddress, Integer> balancersByAddress = new HashMap<>();
    private final Channel[] relayChannels;
    private final Channel broadcastAddress;
    private final CostCounters[] countersByBalancer;
    private final SplittableRandom random;
    private IntPredicate partitionSide = b -> true;
    private double lossRate;

    DatagramRelay(int balancerCount, long seed) {
        balancerAddresses = new InetSocketAddress[balancerCount];
        relayChannels = new Channel[balancerCount];
        countersByBalancer = new CostCounters[balancerCount];
        random = new SplittableRandom(seed);
        for (int balancer = 0; balancer < balancerCount; balancer++) {
            relayChannels[balancer] = bindRelay(balancer);
            countersByBalancer[balancer] = new CostCounters();
        }
        broadcastAddress = bindRelay(-1);
    }

    private Channel bindRelay(int destination) {
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
                        // One that is not there makes the system report an unreachable port.
                    }
                });
    }

    /** A socket on a free port of loopback. */
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

    /** A balancer listens there. */
    void register(int balancer, InetSocketAddress address) {
        runOnEventLoop(
                () -> {
                    balancerAddresses[balancer] = address;
                    balancersByAddress.put(address, balancer);
                });
    }

    /** Where others send what is for that balancer. */
    InetSocketAddress relayAddress(int balancer) {
        return (InetSocketAddress) relayChannels[balancer].localAddress();
    }

    /** Where a balancer sends what is for all others. */
    InetSocketAddress broadcastAddress() {
        return (InetSocketAddress) broadcastAddress.localAddress();
    }

    private void relay(int destination, DatagramPacket packet) {
        Integer sender = balancersByAddress.get(packet.sender());
        if (sender == null) {
            return;
        }
        byte[] data = ByteBufUtil.getBytes(packet.content());
        countersByBalancer[sender].sent(
                CostCategory.ofDatagram(data),
                data.length,
                destination < 0 ? relayChannels.length - 1 : 1);
        for (int balancer = 0; balancer < relayChannels.length; balancer++) {
            if (balancer != sender && (destination < 0 || destination == balancer)) {
                forward(sender, balancer, data);
            }
        }
    }

    private void forward(int sender, int receiver, byte[] data) {
        if (balancerAddresses[receiver] != null
                && partitionSide.test(sender) == partitionSide.test(receiver)
                && (lossRate == 0 || random.nextDouble() >= lossRate)) {
            countersByBalancer[receiver].received(CostCategory.ofDatagram(data), data.length);
            relayChannels[sender].writeAndFlush(
                    new DatagramPacket(Unpooled.wrappedBuffer(data), balancerAddresses[receiver]));
        }
    }

    private void runOnEventLoop(Runnable task) {
        eventLoopGroup.next().submit(task).syncUninterruptibly();
    }

    void lossRate(double rate) {
        runOnEventLoop(() -> lossRate = rate);
    }

    void partition(IntPredicate side) {
        runOnEventLoop(() -> partitionSide = side);
    }

    void resetCounters() {
        runOnEventLoop(() -> Arrays.stream(countersByBalancer).forEach(CostCounters::reset));
    }

    /** What passed here, by balancer. */
    CostCounters counters(int balancer) {
        return eventLoopGroup
                .next()
                .submit(() -> countersByBalancer[balancer].copy())
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public void close() {
        eventLoopGroup
                .shutdownGracefully(0, 2, java.util.concurrent.TimeUnit.SECONDS)
                .awaitUninterruptibly(5_000);
    }
}
