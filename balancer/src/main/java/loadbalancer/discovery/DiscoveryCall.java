package loadbalancer.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.EndpointList;
import loadbalancer.config.EndpointListCodec;
import loadbalancer.config.InvalidEndpointListException;
import loadbalancer.proxy.StrictFraming;

/**
 * One HTTP call to discovery on its own connection. A poll ends with the first list; the response
 * of a watch streams each change until the connection ends. Confined to the event loop.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<ByteBuf> {
    /** The progress of a call. */
    private enum State {
        /** Connecting, or waiting for the first usable part of the response. */
        AWAITING_FIRST_LIST,
        /** A list, or the notice that there is no change, has been received. */
        STREAMING,
        /** Ended or cancelled; later events of the connection are ignored. */
        FINISHED
    }

    private final DiscoveryClient client;
    private final EventLoop loop;
    private final DiscoveryTiming timing;
    private final InetSocketAddress address;
    private final String uri;
    private final boolean watch;
    private final EndpointListFrameDecoder frameDecoder = new EndpointListFrameDecoder();
    private final long openedAtNanos = System.nanoTime();
    private State state = State.AWAITING_FIRST_LIST;
    // The channel and the timer are null until the call is opened.
    private Channel channel;
    private Future<?> silenceTimer;

    private DiscoveryCall(
            DiscoveryClient client,
            EventLoop loop,
            DiscoveryTiming timing,
            InetSocketAddress address,
            String uri,
            boolean watch) {
        this.client = client;
        this.loop = loop;
        this.timing = timing;
        this.address = address;
        this.uri = uri;
        this.watch = watch;
    }

    /** Creates a call that requests the whole list. */
    static DiscoveryCall poll(
            DiscoveryClient client,
            EventLoop loop,
            DiscoveryTiming timing,
            InetSocketAddress address) {
        return new DiscoveryCall(client, loop, timing, address, "/api/targets", false);
    }

    /** Creates a call that requests all changes after {@code revision}. */
    static DiscoveryCall watch(
            DiscoveryClient client,
            EventLoop loop,
            DiscoveryTiming timing,
            InetSocketAddress address,
            long revision) {
        String uri = "/api/targets?watch=1&from=" + revision;
        return new DiscoveryCall(client, loop, timing, address, uri, true);
    }

    boolean isWatch() {
        return watch;
    }

    /** Connects and sends the request. */
    void open() {
        restartSilenceTimer(timing.firstResponseTimeoutMs());
        ChannelFuture connectFuture =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) timing.firstResponseTimeoutMs())
                        .handler(new PipelineInitializer())
                        .connect(address);
        channel = connectFuture.channel();
        channel.closeFuture().addListener(closed -> onClosed());
        connectFuture.addListener(
                connected -> {
                    if (connected.isSuccess()) {
                        sendRequest();
                    } else {
                        onClosed();
                    }
                });
    }

    private void sendRequest() {
        InetSocketAddress hostAddress = client.address();
        String host = hostAddress.getAddress().getHostAddress() + ":" + hostAddress.getPort();
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set(HttpHeaderNames.HOST, host);
        channel.writeAndFlush(request);
        // The timeout for the response starts anew once the connection is open.
        restartSilenceTimer(timing.firstResponseTimeoutMs());
    }

    /** Closes the connection without reporting a failure to the client. */
    void cancel() {
        state = State.FINISHED;
        channel.close();
    }

    // The timer detects that discovery was cut off from the network: the connection then stays open
    // but silent.
    private void restartSilenceTimer(long timeoutMs) {
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        if (state != State.FINISHED) {
            silenceTimer = loop.schedule(this::onSilence, timeoutMs, TimeUnit.MILLISECONDS);
        }
    }

    private void onSilence() {
        if (channel != null) {
            channel.close();
        }
        onClosed();
    }

    /**
     * Handles a part of the response before the frame decoder has seen it. An empty line between
     * lists means that nothing has changed.
     */
    void onBodyPart(ByteBuf part) {
        if (!frameDecoder.isBetweenLists()) {
            // Parts of a list that never ends must not keep the watch alive.
            return;
        }
        restartSilenceTimer(DiscoveryTiming.WATCH_SILENCE_TIMEOUT_MS);
        if (watch && state == State.AWAITING_FIRST_LIST && isBlank(part)) {
            accept(client.unchangedList());
        }
    }

    private static boolean isBlank(ByteBuf part) {
        return part.forEachByte(b -> b == ' ' || b == '\r' || b == '\n' || b == '\t') < 0;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf json) {
        if (state == State.FINISHED) {
            return;
        }
        try {
            EndpointList endpointList = EndpointListCodec.decode(json, client.bootSettings());
            // The first list of a watch is accepted whatever its revision: discovery may have
            // moved.
            boolean firstOfWatch = watch && state == State.AWAITING_FIRST_LIST;
            if (firstOfWatch || !client.isOutdated(endpointList)) {
                accept(endpointList);
            } else {
                finishPoll();
            }
        } catch (InvalidEndpointListException e) {
            onInvalidList(e.getMessage());
        }
    }

    private void accept(EndpointList endpointList) {
        state = State.STREAMING;
        client.onEndpointList(endpointList);
        finishPoll();
    }

    // A poll ends with its first list; a watch continues.
    private void finishPoll() {
        if (!watch) {
            cancel();
        }
    }

    // A change may be lost with an invalid list. The next watch starts from the last valid revision
    // and receives it.
    private void onInvalidList(String problem) {
        client.logInvalidList(problem);
        channel.close();
        onClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException && state != State.FINISHED) {
            onInvalidList(cause.getMessage());
        }
        channel.close();
    }

    private void onClosed() {
        silenceTimer.cancel(false);
        if (state == State.FINISHED) {
            return;
        }
        boolean worked = state == State.STREAMING && hasOutlivedFirstResponseTimeout();
        state = State.FINISHED;
        client.onCallFailed(this, worked);
    }

    private boolean hasOutlivedFirstResponseTimeout() {
        long ageNanos = System.nanoTime() - openedAtNanos;
        return ageNanos > TimeUnit.MILLISECONDS.toNanos(timing.firstResponseTimeoutMs());
    }

    /** Sets up the connection's handlers: HTTP codec, body decoder, list decoder and this call. */
    private final class PipelineInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel newChannel) {
            newChannel
                    .pipeline()
                    .addLast(
                            new StrictFraming.ResponseDecoder(),
                            new HttpRequestEncoder(),
                            new ResponseBodyDecoder(DiscoveryCall.this),
                            frameDecoder,
                            DiscoveryCall.this);
        }
    }
}
