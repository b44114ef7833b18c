package loadbalancer.testbed.emulation;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loadbalancer.testbed.client.FrontendRotation;

/**
 * Emulates the frontend that distributes clients over the ready balancers of their zone. It polls
 * the balancers' readiness. A balancer that refuses connections leaves the rotation only after a
 * delay that the scenario sets. Confined to the emulation's event loop.
 */
public final class FrontendEmulator {
    private static final int READINESS_POLL_INTERVAL_MS = 100;
    // A reachable balancer in rotation is polled only once in this number of intervals.
    private static final int READY_POLL_DIVISOR = 5;
    private static final int MAX_RESPONSE_BYTES = 64 << 10;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int READ_TIMEOUT_SECONDS = 1;
    private static final String READINESS_REQUEST =
            "GET /-/ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n";

    private final Emulation emulation;
    private final InetSocketAddress[] addresses;
    private final FrontendRotation rotation;
    private final boolean[] pollInFlight;
    private int pollRound;

    /**
     * Creates a frontend with no balancer in rotation.
     *
     * @param addresses the balancers' addresses for clients, indexed by balancer
     */
    FrontendEmulator(Emulation emulation, InetSocketAddress[] addresses) {
        this.emulation = emulation;
        this.addresses = addresses;
        rotation =
                new FrontendRotation(
                        emulation.scenario(), false, FrontendRotation.FallbackPosition.ADVANCES);
        pollInFlight = new boolean[addresses.length];
    }

    /** Starts polling the readiness of all balancers. */
    void start() {
        emulation
                .eventLoop()
                .scheduleAtFixedRate(
                        this::pollReadiness, 0, READINESS_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void pollReadiness() {
        pollRound++;
        for (int balancer = 0; balancer < addresses.length; balancer++) {
            boolean steady = rotation.isInRotation(balancer) && !rotation.isUnreachable(balancer);
            boolean due =
                    !steady || pollRound % READY_POLL_DIVISOR == balancer % READY_POLL_DIVISOR;
            if (!pollInFlight[balancer] && due) {
                pollInFlight[balancer] = true;
                pollReadiness(balancer);
            }
        }
    }

    private void pollReadiness(int balancer) {
        new Bootstrap()
                .group(emulation.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new ReadTimeoutHandler(READ_TIMEOUT_SECONDS),
                                                new HttpResponseDecoder(),
                                                new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                                new ReadinessHandler(balancer));
                            }
                        })
                .connect(addresses[balancer])
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                connected
                                        .channel()
                                        .closeFuture()
                                        .addListener(ignored -> pollInFlight[balancer] = false);
                                connected
                                        .channel()
                                        .writeAndFlush(
                                                Unpooled.copiedBuffer(
                                                        READINESS_REQUEST,
                                                        StandardCharsets.US_ASCII));
                            } else {
                                pollInFlight[balancer] = false;
                                onUnreachable(balancer);
                            }
                        });
    }

    /** Handles the response to one readiness poll. */
    private final class ReadinessHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int balancer;

        ReadinessHandler(int balancer) {
            this.balancer = balancer;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            rotation.onReadiness(balancer, response.status().equals(HttpResponseStatus.OK));
            context.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A poll that times out or fails leaves the rotation as it is.
            context.close();
        }
    }

    /** Handles a failed connection to the balancer. */
    void onUnreachable(int balancer) {
        rotation.onUnreachable(balancer, TimeUnit.NANOSECONDS.toMicros(System.nanoTime()));
    }

    /** Returns the rotation of balancers that clients are sent to. */
    FrontendRotation rotation() {
        return rotation;
    }

    /** Returns a balancer's address for clients. */
    InetSocketAddress address(int balancer) {
        return addresses[balancer];
    }
}
