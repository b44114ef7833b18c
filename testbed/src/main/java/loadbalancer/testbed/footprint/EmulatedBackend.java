package loadbalancer.testbed.footprint;

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
import loadbalancer.testbed.emulation.Json;
import loadbalancer.testbed.emulation.LoopbackAddresses;

/**
 * Emulates discovery and the upstreams of a measured process. The endpoint list has any length, and
 * all its entries have the address of the same upstream, which responds immediately. Both servers
 * run on one event loop of their own; the methods may be called on any other thread.
 */
final class EmulatedBackend implements AutoCloseable {
    private static final long HEARTBEAT_SECONDS = 2;
    private static final int MAX_REQUEST_BYTES = 4 << 10;

    private final FootprintCase footprintCase;
    private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
    private final Set<Channel> watchChannels = new LinkedHashSet<>();
    private final boolean[] draining;
    private final InetSocketAddress upstreamAddress;
    private final InetSocketAddress discoveryAddress;
    private long revision = 1;
    // Number of entries that publishChanges has changed so far
    private int publishedChanges;

    /**
     * Opens both servers on free ports of {@code address}.
     *
     * @throws IOException if an address can't be bound, or the thread is interrupted
     */
    EmulatedBackend(FootprintCase footprintCase, InetAddress address) throws IOException {
        this.footprintCase = footprintCase;
        draining = new boolean[footprintCase.servers()];
        upstreamAddress = listen(address, true);
        discoveryAddress = listen(address, false);
        eventLoopGroup
                .next()
                .scheduleWithFixedDelay(
                        () -> watchChannels.forEach(watch -> writeChunk(watch, "\n")),
                        HEARTBEAT_SECONDS,
                        HEARTBEAT_SECONDS,
                        TimeUnit.SECONDS);
    }

    private InetSocketAddress listen(InetAddress address, boolean asUpstream) throws IOException {
        try {
            return (InetSocketAddress)
                    new ServerBootstrap()
                            .group(eventLoopGroup)
                            .channel(NioServerSocketChannel.class)
                            .childOption(ChannelOption.TCP_NODELAY, true)
                            .childHandler(
                                    new ChannelInitializer<SocketChannel>() {
                                        @Override
                                        protected void initChannel(SocketChannel channel) {
                                            channel.pipeline()
                                                    .addLast(
                                                            new HttpServerCodec(),
                                                            new HttpObjectAggregator(
                                                                    MAX_REQUEST_BYTES),
                                                            asUpstream
                                                                    ? new UpstreamHandler()
                                                                    : new DiscoveryHandler());
                                        }
                                    })
                            .bind(address, 0)
                            .sync()
                            .channel()
                            .localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /** Returns the address of the upstream. */
    InetSocketAddress upstreamAddress() {
        return upstreamAddress;
    }

    /** Returns the address of discovery. */
    InetSocketAddress discoveryAddress() {
        return discoveryAddress;
    }

    /** Returns the complete endpoint list in discovery's format. */
    Map<String, Object> endpointList() {
        return listMessage(true, IntStream.range(0, footprintCase.servers()).boxed().toList());
    }

    private Map<String, Object> listMessage(boolean complete, List<Integer> numbers) {
        String endpoint = LoopbackAddresses.format(upstreamAddress);
        return Map.of(
                "rev",
                revision,
                "all",
                complete,
                "targets",
                numbers.stream()
                        .map(
                                number ->
                                        footprintCase.discoveryEntry(
                                                number,
                                                draining[number] ? "terminating" : "in_service",
                                                endpoint,
                                                0))
                        .toList());
    }

    /**
     * Publishes {@code count} changed entries in one message. Changes alternate between an entry
     * that drains and its return.
     */
    void publishChanges(int count) {
        eventLoopGroup
                .next()
                .execute(
                        () -> {
                            List<Integer> changed = new ArrayList<>();
                            for (int i = 0; i < count; i++) {
                                // Each entry that drains returns with the next change, so that
                                // the size of the list stays the same.
                                int entry = publishedChanges++ / 2 % footprintCase.servers();
                                draining[entry] = !draining[entry];
                                changed.add(entry);
                            }
                            revision++;
                            broadcast(listMessage(false, changed));
                        });
    }

    /** Publishes in one message that the first {@code count} entries drain, or return. */
    void setDraining(int count, boolean drain) {
        eventLoopGroup
                .next()
                .execute(
                        () -> {
                            for (int entry = 0; entry < count; entry++) {
                                draining[entry] = drain;
                            }
                            revision++;
                            broadcast(
                                    listMessage(false, IntStream.range(0, count).boxed().toList()));
                        });
    }

    /** Publishes the complete list again. */
    void publishCompleteList() {
        eventLoopGroup
                .next()
                .execute(
                        () -> {
                            revision++;
                            broadcast(endpointList());
                        });
    }

    private void broadcast(Map<String, Object> message) {
        String line = Json.write(message) + "\n";
        watchChannels.forEach(watch -> writeChunk(watch, line));
    }

    private static void writeChunk(Channel channel, String text) {
        channel.writeAndFlush(
                new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    /** Serves complete lists and watches on one connection. */
    private final class DiscoveryHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (!request.uri().contains("watch=1")) {
                respond(context.channel(), Json.write(endpointList()));
                return;
            }
            DefaultHttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
            context.write(head);
            boolean upToDate = request.uri().endsWith("from=" + revision);
            writeChunk(context.channel(), upToDate ? "\n" : Json.write(endpointList()) + "\n");
            watchChannels.add(context.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            watchChannels.remove(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Responds to each request immediately. */
    private static final class UpstreamHandler
            extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            respond(context.channel(), "done");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private static void respond(Channel channel, String body) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.OK,
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        channel.writeAndFlush(response);
    }

    @Override
    public void close() {
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2_000);
    }
}
