package loadbalancer.testbed.capacity;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Emulates discovery for the real balancers of a fleet: serves an endpoint list that never changes,
 * and watches that send only heartbeats after it. Runs on an event loop of its own; the methods may
 * be called on any other thread.
 */
final class StaticDiscoveryServer implements AutoCloseable {
    private static final long HEARTBEAT_INTERVAL_MS = 2_000;
    private static final int MAX_REQUEST_BYTES = 4 << 10;

    private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
    private final String listJson;
    private final Channel listener;

    /**
     * Starts a server on a free port of the loopback address.
     *
     * @param listJson the endpoint list in discovery's format
     */
    StaticDiscoveryServer(String listJson) {
        this.listJson = listJson;
        listener =
                new ServerBootstrap()
                        .group(eventLoopGroup)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                                        new DiscoveryHandler());
                                    }
                                })
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .syncUninterruptibly()
                        .channel();
    }

    /** Returns the address at which the server listens. */
    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Serves lists and watches on one connection. */
    private final class DiscoveryHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.uri().startsWith("/api/targets?watch=1")) {
                DefaultHttpResponse head =
                        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
                context.write(head);
                writeLine(context, request.uri().endsWith("from=1") ? "" : listJson);
                context.channel()
                        .eventLoop()
                        .scheduleWithFixedDelay(
                                () -> writeLine(context, ""),
                                HEARTBEAT_INTERVAL_MS,
                                HEARTBEAT_INTERVAL_MS,
                                TimeUnit.MILLISECONDS);
                return;
            }
            var body = Unpooled.copiedBuffer(listJson, StandardCharsets.UTF_8);
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
            HttpUtil.setContentLength(response, body.readableBytes());
            context.writeAndFlush(response);
        }

        private void writeLine(ChannelHandlerContext context, String text) {
            if (context.channel().isActive()) {
                context.writeAndFlush(
                        new DefaultHttpContent(
                                Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8)));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    @Override
    public void close() {
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(3_000);
    }
}
