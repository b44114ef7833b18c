package junctionhead.lab.capacity;

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
 * Discovery for real balancers of a quiet fleet: one list that never changes, and watches that only
 * beat.
 */
final class ListStand implements AutoCloseable {
    private static final long BEAT_MS = 2_000;
    private static final int REQUEST_MOST = 4 << 10;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final String list;
    private final Channel listener;

    /** {@code list} in discovery's form. */
    ListStand(String list) {
        this.list = list;
        listener =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(REQUEST_MOST),
                                                        new Answers());
                                    }
                                })
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .syncUninterruptibly()
                        .channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.uri().startsWith("/api/targets?watch=1")) {
                DefaultHttpResponse head =
                        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
                context.write(head);
                line(context, request.uri().endsWith("from=1") ? "" : list);
                context.channel()
                        .eventLoop()
                        .scheduleWithFixedDelay(
                                () -> line(context, ""), BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
                return;
            }
            var body = Unpooled.copiedBuffer(list, StandardCharsets.UTF_8);
            DefaultFullHttpResponse answer =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
            HttpUtil.setContentLength(answer, body.readableBytes());
            context.writeAndFlush(answer);
        }

        private void line(ChannelHandlerContext context, String text) {
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
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(3_000);
    }
}
