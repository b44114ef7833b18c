package junctionhead.lab.stand;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.InternetProtocolFamily;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import junctionhead.lab.model.Way;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The datagram paths between balancers. Balancer i knows balancer j by a socket of the lab, and j
 * knows i by another: what comes in at the one goes out from the other, late, twice, or not at all,
 * as each of the two directions is now.
 */
public final class Mesh {
    private static final int LONGEST = 256;
    // µs that a thin path holds datagrams back
    private static final long WAIT_MOST = 500_000;

    private final World world;
    private final Addresses addresses;
    private final int count;
    // Where each balancer listens
    private final InetSocketAddress[] homes;
    // [i][j]: j, as i sees it
    private final Channel[][] sockets;
    private final Channel[] everyone;
    // [i][j]: from i to j
    private final Way[][] ways;
    private final long[] sent;
    private final long[] bytes;
    private final long[][] delivered;

    Mesh(World world, Addresses addresses, UniformRandomProvider random) {
        this.world = world;
        this.addresses = addresses;
        count = world.scenario().fleet().balancers();
        homes = new InetSocketAddress[count];
        sockets = new Channel[count][count];
        everyone = new Channel[count];
        ways = new Way[count][count];
        sent = new long[count];
        bytes = new long[count];
        delivered = new long[count][count];
        List<Double> delay = world.scenario().network().peerDelayMs();
        double loss = world.scenario().network().peerLoss();
        for (int i = 0; i < count; i++) {
            for (int j = 0; j < count; j++) {
                ways[i][j] = new Way(random, Math.round(delay.get(0) * 1e3));
                ways[i][j].set(
                        new Way.Trouble(
                                false,
                                loss,
                                0,
                                Math.round((delay.get(1) - delay.get(0)) * 1e3),
                                0,
                                0,
                                0),
                        true);
            }
        }
    }

    void open() throws IOException {
        for (int i = 0; i < count; i++) {
            homes[i] = addresses.free(addresses.own(i));
            for (int j = 0; j < count; j++) {
                if (i != j) {
                    sockets[i][j] = bind(i, j);
                }
            }
            everyone[i] = bind(i, -1);
        }
    }

    private Channel bind(int of, int to) throws IOException {
        return new Bootstrap()
                .group(world.loop())
                .channelFactory(() -> new NioDatagramChannel(InternetProtocolFamily.IPv4))
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(2 * LONGEST))
                .handler(
                        new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(
                                    ChannelHandlerContext context, DatagramPacket packet) {
                                arrived(of, to, packet);
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext context, Throwable cause) {
                                // A balancer that is not there makes the system report an
                                // unreachable port.
                            }
                        })
                .bind(new InetSocketAddress(addresses.peers(of), 0))
                .syncUninterruptibly()
                .channel();
    }

    private void arrived(int from, int to, DatagramPacket packet) {
        if (!packet.sender().equals(homes[from])) {
            return;
        }
        int length = packet.content().readableBytes();
        sent[from]++;
        bytes[from] += length;
        if (length > LONGEST) {
            world.rules()
                    .breach(
                            "datagrams",
                            world.now(),
                            null,
                            "n" + from + " sent " + length + " bytes");
        }
        for (int j = 0; j < count; j++) {
            if (j != from && (to < 0 || to == j)) {
                pass(from, j, packet);
            }
        }
    }

    private void pass(int from, int to, DatagramPacket packet) {
        Way way = ways[from][to];
        long wait = way.transmission(world.now(), packet.content().readableBytes());
        if (way.loses() || wait > WAIT_MOST) {
            return;
        }
        for (long delay : way.copies()) {
            var copy = packet.content().copy();
            world.loop()
                    .schedule(
                            () -> {
                                delivered[from][to]++;
                                sockets[to][from].writeAndFlush(
                                        new DatagramPacket(copy, homes[to]));
                            },
                            wait + delay,
                            TimeUnit.MICROSECONDS);
        }
    }

    Way way(int from, int to) {
        return ways[from][to];
    }

    InetSocketAddress home(int balancer) {
        return homes[balancer];
    }

    /** All balancers as one of them is told of them, its own address included. */
    List<String> peers(int of) {
        List<String> peers = new ArrayList<>();
        for (int j = 0; j < count; j++) {
            peers.add(
                    Addresses.text(
                            j == of
                                    ? homes[of]
                                    : (InetSocketAddress) sockets[of][j].localAddress()));
        }
        return peers;
    }

    String everyone(int of) {
        return Addresses.text((InetSocketAddress) everyone[of].localAddress());
    }

    /** Datagrams that a balancer sent; one to everyone counts once. */
    public long sent(int balancer) {
        return sent[balancer];
    }

    /** Their bytes. */
    public long bytes(int balancer) {
        return bytes[balancer];
    }

    /** Datagrams that went from one to another, repeats included. */
    public long delivered(int from, int to) {
        return delivered[from][to];
    }
}
