package loadbalancer.testbed.emulation;

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
import loadbalancer.testbed.network.NetworkLink;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Emulates the datagram network between balancers. Balancer i sends datagrams for balancer j to a
 * socket of the testbed, and j sends those for i to another one. A datagram that arrives at one of
 * the two sockets is sent from the other, delayed, duplicated or dropped by the link of that
 * direction. Confined to the emulation's event loop, except for {@link #open}.
 */
public final class PeerNetworkEmulator {
    private static final int MAX_DATAGRAM_BYTES = 256;
    // A datagram that waits longer than this for limited bandwidth is dropped.
    private static final long MAX_QUEUE_DELAY_MICROS = 500_000;

    private final Emulation emulation;
    private final LoopbackAddresses addresses;
    private final int balancerCount;
    // The addresses at which the balancers listen.
    private final InetSocketAddress[] balancerAddresses;
    // peerSockets[i][j]: the socket that represents balancer j to balancer i.
    private final Channel[][] peerSockets;
    // The socket of each balancer whose datagrams go to all other balancers.
    private final Channel[] broadcastSockets;
    // links[i][j]: the link from balancer i to balancer j.
    private final NetworkLink[][] links;
    private final long[] datagramsSent;
    private final long[] bytesSent;
    private final long[][] datagramsDelivered;

    /**
     * Creates a network without sockets.
     *
     * @param random source of delays, losses and duplicates
     */
    PeerNetworkEmulator(
            Emulation emulation, LoopbackAddresses addresses, UniformRandomProvider random) {
        this.emulation = emulation;
        this.addresses = addresses;
        balancerCount = emulation.scenario().fleet().balancers();
        balancerAddresses = new InetSocketAddress[balancerCount];
        peerSockets = new Channel[balancerCount][balancerCount];
        broadcastSockets = new Channel[balancerCount];
        links = new NetworkLink[balancerCount][balancerCount];
        datagramsSent = new long[balancerCount];
        bytesSent = new long[balancerCount];
        datagramsDelivered = new long[balancerCount][balancerCount];
        for (int sender = 0; sender < balancerCount; sender++) {
            for (int recipient = 0; recipient < balancerCount; recipient++) {
                links[sender][recipient] =
                        NetworkLink.betweenPeers(random, emulation.scenario().network());
            }
        }
    }

    /**
     * Opens all sockets. Called before the run, outside the event loop.
     *
     * @throws IOException if an address cannot be bound
     */
    void open() throws IOException {
        for (int balancer = 0; balancer < balancerCount; balancer++) {
            balancerAddresses[balancer] = addresses.findFreePort(addresses.clientAddress(balancer));
            for (int peer = 0; peer < balancerCount; peer++) {
                if (balancer != peer) {
                    peerSockets[balancer][peer] = bind(balancer, peer);
                }
            }
            broadcastSockets[balancer] = bind(balancer, -1);
        }
    }

    private Channel bind(int balancer, int peer) throws IOException {
        return new Bootstrap()
                .group(emulation.eventLoop())
                .channelFactory(() -> new NioDatagramChannel(InternetProtocolFamily.IPv4))
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(2 * MAX_DATAGRAM_BYTES))
                .handler(
                        new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(
                                    ChannelHandlerContext context, DatagramPacket packet) {
                                onDatagram(balancer, peer, packet);
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext context, Throwable cause) {
                                // The system reports an unreachable port while a balancer does
                                // not run.
                            }
                        })
                .bind(new InetSocketAddress(addresses.peerAddress(balancer), 0))
                .syncUninterruptibly()
                .channel();
    }

    private void onDatagram(int sender, int destination, DatagramPacket packet) {
        if (!packet.sender().equals(balancerAddresses[sender])) {
            return;
        }
        int length = packet.content().readableBytes();
        datagramsSent[sender]++;
        bytesSent[sender] += length;
        if (length > MAX_DATAGRAM_BYTES) {
            emulation
                    .invariants()
                    .recordViolation(
                            "datagrams",
                            emulation.nowMicros(),
                            null,
                            "n" + sender + " sent a datagram of " + length + " bytes");
        }
        for (int recipient = 0; recipient < balancerCount; recipient++) {
            if (recipient != sender && (destination < 0 || destination == recipient)) {
                forward(sender, recipient, packet);
            }
        }
    }

    private void forward(int sender, int recipient, DatagramPacket packet) {
        NetworkLink link = links[sender][recipient];
        long queueDelayMicros =
                link.transmissionDelayMicros(
                        emulation.nowMicros(), packet.content().readableBytes());
        if (link.sampleDatagramLoss() || queueDelayMicros > MAX_QUEUE_DELAY_MICROS) {
            return;
        }
        for (long delayMicros : link.sampleDatagramDelaysMicros()) {
            var copy = packet.content().copy();
            emulation
                    .eventLoop()
                    .schedule(
                            () -> {
                                datagramsDelivered[sender][recipient]++;
                                peerSockets[recipient][sender].writeAndFlush(
                                        new DatagramPacket(copy, balancerAddresses[recipient]));
                            },
                            queueDelayMicros + delayMicros,
                            TimeUnit.MICROSECONDS);
        }
    }

    /** Returns the link from one balancer to another. */
    NetworkLink link(int from, int to) {
        return links[from][to];
    }

    /** Returns the address at which a balancer listens for datagrams. */
    InetSocketAddress balancerAddress(int balancer) {
        return balancerAddresses[balancer];
    }

    /** Returns the addresses of all balancers for the configuration of one, its own included. */
    List<String> peerAddresses(int balancer) {
        List<String> peers = new ArrayList<>();
        for (int peer = 0; peer < balancerCount; peer++) {
            peers.add(
                    LoopbackAddresses.format(
                            peer == balancer
                                    ? balancerAddresses[balancer]
                                    : (InetSocketAddress)
                                            peerSockets[balancer][peer].localAddress()));
        }
        return peers;
    }

    /** Returns the address from which a balancer's datagrams go to all other balancers. */
    String broadcastAddress(int balancer) {
        return LoopbackAddresses.format(
                (InetSocketAddress) broadcastSockets[balancer].localAddress());
    }

    /** Returns the number of datagrams that a balancer sent; a broadcast counts once. */
    public long datagramsSent(int balancer) {
        return datagramsSent[balancer];
    }

    /** Returns the number of bytes in the datagrams that a balancer sent. */
    public long bytesSent(int balancer) {
        return bytesSent[balancer];
    }

    /** Returns the number of datagrams delivered from one balancer to another, with duplicates. */
    public long datagramsDelivered(int from, int to) {
        return datagramsDelivered[from][to];
    }
}
