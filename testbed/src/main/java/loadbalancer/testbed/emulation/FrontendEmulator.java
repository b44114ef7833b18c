package loadbalancer.testbed.emulation;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
 * Spreads clients over the balancers of their zone. It takes one in once that says that it is
 * ready, and leaves one that says no; one that refuses connections it notices only after a while.
 */
public final class FrontendEmulator {
    private static final int READINESS_POLL_INTERVAL_MS = 100;
    // One that is in is asked each fifth time
    private static final int READY_POLL_DIVISOR = 5;
    private static final int MAX_RESPONSE_BYTES = 64 << 10;

    private final Emulation emulation;
    private final InetSocketAddress[] addresses;
    private final FrontendRotation rotation;
    private final boolean[] pollInFlight;
    private int pollRound;

    FrontendEmulator(Emulation emulation, InetSocketAddress[] addresses) {
        this.emulation = emulation;
        this.addresses = addresses;
        rotation =
                new FrontendRotation(
                        emulation.scenario(), false, FrontendRotation.FallbackPosition.ADVANCES);
        pollInFlight = new boolean[addresses.length];
    }

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
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new ReadTimeoutHandler(1),
                                                new HttpResponseDecoder(),
                                                new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                                new ReadinessHandler(balancer));
                            }
                        })
                .connect(addresses[balancer])
                .addListener(
                        (io.netty.channel.ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                connected
                                        .channel()
                                        .closeFuture()
                                        .addListener(ignored -> pollInFlight[balancer] = false);
                                connected
                                        .channel()
                                        .writeAndFlush(
                                                Unpooled.copiedBuffer(
                                                        "GET /-/ready HTTP/1.1\r\n"
                                                                + "Host: front\r\n"
                                                                + "Connection: close\r\n\r\n",
                                                        StandardCharsets.US_ASCII));
                            } else {
                                pollInFlight[balancer] = false;
                                onUnreachable(balancer);
                            }
                        });
    }

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
            // Slow to answer is not a no
            context.close();
        }
    }

    /** A connection to the balancer was refused. */
    void onUnreachable(int balancer) {
        rotation.onUnreachable(balancer, TimeUnit.NANOSECONDS.toMicros(System.nanoTime()));
    }

    /** Which balancers clients are sent to. */
    FrontendRotation rotation() {
        return rotation;
    }

    InetSocketAddress address(int balancer) {
        return addresses[balancer];
    }
}
