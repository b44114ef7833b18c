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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.EndpointList;
import loadbalancer.config.EndpointListCodec;
import loadbalancer.config.InvalidEndpointListException;

/**
 * One HTTP call to discovery, on a connection of its own: a poll, which ends with the first list,
 * or a watch, whose response brings each change until the connection ends. Confined to the event
 * loop.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<ByteBuf> {
    /** How far a call has come. */
    private enum State {
        /** Connecting, or no usable part of a response has come. */
        AWAITING_FIRST_LIST,
        /** A watch that has brought a list, or the notice that there is no change. */
        STREAMING,
        /** Ended or replaced; whatever still comes is ignored. */
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
    // Both null until the call is opened
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

    /** A call for the whole list. */
    static DiscoveryCall poll(
            DiscoveryClient client,
            EventLoop loop,
            DiscoveryTiming timing,
            InetSocketAddress address) {
        return new DiscoveryCall(client, loop, timing, address, "/api/targets", false);
    }

    /** A call for all changes after {@code revision}. */
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
        // The response has a timeout of its own, apart from the connection's
        restartSilenceTimer(timing.firstResponseTimeoutMs());
    }

    /** Ends the call without telling the client. */
    void abandon() {
        state = State.FINISHED;
        channel.close();
    }

    // Where discovery is cut off from the network, its connection stays open and silent.
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
     * A part of the response has come; the frame decoder has not seen it yet. An empty line between
     * lists says that nothing has changed.
     */
    void onBodyPart(ByteBuf part) {
        if (!frameDecoder.isBetweenLists()) {
            // The parts of a list that never ends must not keep the watch alive
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
            // The first list of a watch is taken whatever its revision: discovery may have moved
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

    // A poll has what it was for; a watch goes on.
    private void finishPoll() {
        if (!watch) {
            abandon();
        }
    }

    // A change may be lost with it: the next watch, from the last good revision, brings it.
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
        boolean worked = state == State.STREAMING && hasOutlivedFirstResponse();
        state = State.FINISHED;
        client.onCallFailed(this, worked);
    }

    private boolean hasOutlivedFirstResponse() {
        long ageNanos = System.nanoTime() - openedAtNanos;
        return ageNanos > TimeUnit.MILLISECONDS.toNanos(timing.firstResponseTimeoutMs());
    }

    /** Sets up the connection's handlers: HTTP, body, lists, this call. */
    private final class PipelineInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel newChannel) {
            newChannel
                    .pipeline()
                    .addLast(
                            new HttpClientCodec(),
                            new ResponseBodyDecoder(DiscoveryCall.this),
                            frameDecoder,
                            DiscoveryCall.this);
        }
    }
}
