package junctionhead.lab.cost;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import junctionhead.lab.stand.Addresses;
import junctionhead.lab.stand.Json;

/**
 * What one measured process talks to: discovery with a list of any length, and the one upstream
 * that all entries of it lead to, which answers at once. Both live on a loop of their own.
 */
final class CostStand implements AutoCloseable {
    // Between empty lines of a watch
    private static final long BEAT_S = 2;
    private static final int REQUEST_MOST = 4 << 10;

    private final CostCase size;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final Set<Channel> watches = new LinkedHashSet<>();
    private final boolean[] draining;
    private final InetSocketAddress upstream;
    private final InetSocketAddress discovery;
    private long rev = 1;
    // Whose entry changes next
    private int next;

    CostStand(CostCase size, InetAddress at) throws IOException {
        this.size = size;
        draining = new boolean[size.servers()];
        upstream = listen(at, true);
        discovery = listen(at, false);
        group.next()
                .scheduleWithFixedDelay(
                        () -> watches.forEach(w -> write(w, "\n")),
                        BEAT_S,
                        BEAT_S,
                        TimeUnit.SECONDS);
    }

    private InetSocketAddress listen(InetAddress at, boolean work) throws IOException {
        try {
            return (InetSocketAddress)
                    new ServerBootstrap()
                            .group(group)
                            .channel(NioServerSocketChannel.class)
                            .childOption(ChannelOption.TCP_NODELAY, true)
                            .childHandler(
                                    new ChannelInitializer<SocketChannel>() {
                                        @Override
                                        protected void initChannel(SocketChannel channel) {
                                            channel.pipeline()
                                                    .addLast(
                                                            new HttpServerCodec(),
                                                            new HttpObjectAggregator(REQUEST_MOST),
                                                            work ? new Work() : new Asked());
                                        }
                                    })
                            .bind(at, 0)
                            .sync()
                            .channel()
                            .localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    InetSocketAddress upstream() {
        return upstream;
    }

    InetSocketAddress discovery() {
        return discovery;
    }

    /** The whole list in discovery's form. */
    Map<String, Object> known() {
        return message(true, IntStream.range(0, size.servers()).boxed().toList());
    }

    private Map<String, Object> message(boolean all, List<Integer> numbers) {
        String endpoint = Addresses.text(upstream);
        return Map.of(
                "rev",
                rev,
                "all",
                all,
                "targets",
                numbers.stream()
                        .map(
                                n ->
                                        size.entry(
                                                n,
                                                draining[n] ? "terminating" : "in_service",
                                                endpoint,
                                                0))
                        .toList());
    }

    /**
     * Tells of so many entries that have changed, in one line: some begin to drain, some are back.
     */
    void change(int count) {
        group.next()
                .execute(
                        () -> {
                            List<Integer> changed = new ArrayList<>();
                            for (int i = 0; i < count; i++) {
                                // by turns one that drains and the one before it that is back: the
                                // list stays as long
                                int n = next++ / 2 % size.servers();
                                draining[n] = !draining[n];
                                changed.add(n);
                            }
                            rev++;
                            tell(message(false, changed));
                        });
    }

    /** Has a run of neighbours drain, or come back, in one line. */
    void drain(int count, boolean on) {
        group.next()
                .execute(
                        () -> {
                            for (int n = 0; n < count; n++) {
                                draining[n] = on;
                            }
                            rev++;
                            tell(message(false, IntStream.range(0, count).boxed().toList()));
                        });
    }

    /** Tells the whole list again. */
    void whole() {
        group.next()
                .execute(
                        () -> {
                            rev++;
                            tell(known());
                        });
    }

    private void tell(Map<String, Object> message) {
        String line = Json.text(message) + "\n";
        watches.forEach(w -> write(w, line));
    }

    private static void write(Channel to, String text) {
        to.writeAndFlush(
                new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    /** Whole lists on demand, or a watch. */
    private final class Asked extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (!request.uri().contains("watch=1")) {
                answer(context.channel(), Json.text(known()));
                return;
            }
            DefaultHttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
            context.write(head);
            boolean newest = request.uri().endsWith("from=" + rev);
            write(context.channel(), newest ? "\n" : Json.text(known()) + "\n");
            watches.add(context.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            watches.remove(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** An upstream whose work takes no time. */
    private static final class Work extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            answer(context.channel(), "done");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private static void answer(Channel to, String body) {
        DefaultFullHttpResponse answer =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.OK,
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
        to.writeAndFlush(answer);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2_000);
    }
}
