package junctionhead.lab.stand;

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
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Spreads clients over the balancers of their zone. It takes one in once that says that it is
 * ready, and leaves one that says no; one that refuses connections it notices only after a while.
 */
public final class Front {
    private static final int ASK_MS = 100;
    // One that is in is asked each fifth time
    private static final int RARELY = 5;
    private static final int ANSWER_MOST = 64 << 10;

    private final World world;
    private final InetSocketAddress[] addresses;
    private final boolean[] in;
    private final boolean[] asking;
    private final long[] refusedSince;
    private int turn;
    private int round;

    Front(World world, InetSocketAddress[] addresses) {
        this.world = world;
        this.addresses = addresses;
        in = new boolean[addresses.length];
        asking = new boolean[addresses.length];
        refusedSince = new long[addresses.length];
        Arrays.fill(refusedSince, -1);
    }

    void begin() {
        world.loop().scheduleAtFixedRate(this::ask, 0, ASK_MS, TimeUnit.MILLISECONDS);
    }

    private void ask() {
        round++;
        for (int b = 0; b < in.length; b++) {
            if (!asking[b] && (!in[b] || refusedSince[b] >= 0 || round % RARELY == b % RARELY)) {
                asking[b] = true;
                ask(b);
            }
        }
    }

    private void ask(int b) {
        new Bootstrap()
                .group(world.loop())
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
                                                new HttpObjectAggregator(ANSWER_MOST),
                                                new Answer(b));
                            }
                        })
                .connect(addresses[b])
                .addListener(
                        (io.netty.channel.ChannelFuture done) -> {
                            if (done.isSuccess()) {
                                done.channel()
                                        .closeFuture()
                                        .addListener(closed -> asking[b] = false);
                                done.channel()
                                        .writeAndFlush(
                                                Unpooled.copiedBuffer(
                                                        "GET /-/ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n",
                                                        StandardCharsets.US_ASCII));
                            } else {
                                asking[b] = false;
                                unreachable(b);
                            }
                        });
    }

    private final class Answer extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int of;

        Answer(int of) {
            this.of = of;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            in[of] = answer.status().code() == 200;
            refusedSince[of] = -1;
            context.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // Slow to answer is not a no
            context.close();
        }
    }

    /** A connection to it was refused. */
    void unreachable(int b) {
        long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        refusedSince[b] = refusedSince[b] < 0 ? now : refusedSince[b];
        if (now - refusedSince[b] >= world.scenario().load().frontNoticeMs()) {
            in[b] = false;
        }
    }

    /** Whether it refused connections lately. */
    boolean down(int b) {
        return refusedSince[b] >= 0;
    }

    /** Whether clients are sent there. */
    boolean has(int b) {
        return in[b];
    }

    /** The balancer for a client of that zone, one of another where it has none, or -1. */
    int choose(int zone) {
        int other = -1;
        for (int i = 0; i < in.length; i++) {
            int b = Math.floorMod(turn + 1 + i, in.length);
            if (in[b] && world.scenario().zoneOfBalancer(b) == zone) {
                turn = b;
                return b;
            }
            other = in[b] && other < 0 ? b : other;
        }
        turn = other < 0 ? turn : other;
        return other;
    }

    InetSocketAddress address(int b) {
        return addresses[b];
    }
}
