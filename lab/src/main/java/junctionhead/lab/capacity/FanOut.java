package junctionhead.lab.capacity;

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
 * balancer, and comes from the sender's face; what comes to {@link #everyone} goes on to all
 * others. So a fleet takes two sockets a balancer and one. All of it is on one thread.
 */
final class FanOut implements AutoCloseable {
    private static final int LONGEST = 256;
    // Bytes that the system may hold for a socket
    private static final int BUFFER = 4 << 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    // Where each listens; known before it is heard
    private final InetSocketAddress[] homes;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final Channel[] faces;
    private final Channel everyone;
    private final Ledger[] ledgers;
    private final SplittableRandom random;
    private IntPredicate side = b -> true;
    private double loss;

    FanOut(int balancers, long seed) {
        homes = new InetSocketAddress[balancers];
        faces = new Channel[balancers];
        ledgers = new Ledger[balancers];
        random = new SplittableRandom(seed);
        for (int b = 0; b < balancers; b++) {
            faces[b] = bind(b);
            ledgers[b] = new Ledger();
        }
        everyone = bind(-1);
    }

    private Channel bind(int to) {
        return socket(
                group,
                new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(
                            ChannelHandlerContext context, DatagramPacket packet) {
                        arrived(to, packet);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        // One that is not there makes the system report an unreachable port.
                    }
                });
    }

    /** A socket on a free port of loopback. */
    static Channel socket(
            NioEventLoopGroup group, SimpleChannelInboundHandler<DatagramPacket> handler) {
        return new Bootstrap()
                .group(group)
                .channelFactory(() -> new NioDatagramChannel(InternetProtocolFamily.IPv4))
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(LONGEST + 1))
                .option(ChannelOption.SO_RCVBUF, BUFFER)
                .handler(handler)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    /** A balancer listens there. */
    void home(int balancer, InetSocketAddress at) {
        onThread(
                () -> {
                    homes[balancer] = at;
                    numbers.put(at, balancer);
                });
    }

    /** Where others send what is for that balancer. */
    InetSocketAddress face(int balancer) {
        return (InetSocketAddress) faces[balancer].localAddress();
    }

    /** Where a balancer sends what is for all others. */
    InetSocketAddress everyone() {
        return (InetSocketAddress) everyone.localAddress();
    }

    private void arrived(int to, DatagramPacket packet) {
        Integer from = numbers.get(packet.sender());
        if (from == null) {
            return;
        }
        byte[] data = ByteBufUtil.getBytes(packet.content());
        ledgers[from].sent(Kind.of(data), data.length, to < 0 ? faces.length - 1 : 1);
        for (int b = 0; b < faces.length; b++) {
            if (b != from && (to < 0 || to == b)) {
                pass(from, b, data);
            }
        }
    }

    private void pass(int from, int to, byte[] data) {
        if (homes[to] != null
                && side.test(from) == side.test(to)
                && (loss == 0 || random.nextDouble() >= loss)) {
            ledgers[to].received(Kind.of(data), data.length);
            faces[from].writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(data), homes[to]));
        }
    }

    private void onThread(Runnable what) {
        group.next().submit(what).syncUninterruptibly();
    }

    void loss(double part) {
        onThread(() -> loss = part);
    }

    void cut(IntPredicate sides) {
        onThread(() -> side = sides);
    }

    void clear() {
        onThread(() -> Arrays.stream(ledgers).forEach(Ledger::clear));
    }

    /** What passed here, by balancer. */
    Ledger ledger(int balancer) {
        return group.next().submit(() -> ledgers[balancer].copy()).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 2, java.util.concurrent.TimeUnit.SECONDS)
                .awaitUninterruptibly(5_000);
    }
}
