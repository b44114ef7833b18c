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
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.json.JsonObjectDecoder;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.config.EndpointListCodec;
import loadbalancer.config.InvalidEndpointListException;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.EndpointListKind;

/**
 * Asks discovery for the list and watches its changes: where discovery is asked, only as the module
 * wishes; where lists are pushed, always.
 */
public final class DiscoveryClient {
    // Bytes
    private static final int MAX_LIST_BYTES = 4 << 20;
    // A line comes every 2 s. What a watch misses that has fallen silent counts as told 6 s later:
    // by then
    // another one has to have brought it, though calls are given up or refused meanwhile, and
    // paused after.
    private static final long WATCH_SILENCE_TIMEOUT_MS = 3_000;
    // For a call's connection and the first of its answer together. Where lists are pushed the
    // agent answers
    // at once, or is silent while discovery is down. What it gets at the return counts as told at
    // once: calls
    // are repeated within a part of the grace of drains.
    private static final long MAX_FIRST_RESPONSE_TIMEOUT_MS = 700;
    private static final long MIN_FIRST_RESPONSE_TIMEOUT_MS = 100;
    private static final int DRAIN_GRACE_DIVISOR = 4;
    // Of that time, as a pause after a failure
    private static final int RETRY_PAUSE_DIVISOR = 4;

    private final EventLoop loop;
    private InetSocketAddress address;
    private final BootSettings boot;
    private final BiConsumer<EndpointListKind, EndpointList> listener;
    private final Consumer<String> log;
    private final boolean pushed;
    // For a call's first answer
    private final long firstResponseTimeoutMs;
    private long revision;
    private Call activeWatch;

    /**
     * {@code listener} gets each list and change; FAILED and null where a call or the watch has
     * failed.
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            BootSettings boot,
            long revision,
            BiConsumer<EndpointListKind, EndpointList> listener,
            Consumer<String> log) {
        this.loop = loop;
        this.address = address;
        this.boot = boot;
        this.revision = revision;
        this.listener = listener;
        this.log = log;
        this.pushed = boot.settings().discoveryMode() == DiscoveryMode.PUSH;
        long drainGraceMs = boot.settings().bounds().drainGraceMicros() / 1000;
        this.firstResponseTimeoutMs =
                !pushed
                        ? MAX_FIRST_RESPONSE_TIMEOUT_MS
                        : Math.max(
                                MIN_FIRST_RESPONSE_TIMEOUT_MS,
                                Math.min(
                                        MAX_FIRST_RESPONSE_TIMEOUT_MS,
                                        drainGraceMs / DRAIN_GRACE_DIVISOR));
    }

    /** Begins to watch unasked where lists are pushed. */
    public void start() {
        if (pushed) {
            setWatching(true);
        }
    }

    /**
     * Asks another address from here on; a watch goes on there, from the last version that was
     * heard.
     */
    public void reconnectTo(InetSocketAddress newAddress) {
        address = newAddress;
        if (activeWatch != null) {
            setWatching(true);
        }
    }

    /** Subscribes to changes, in place of an earlier subscription, or ends it. */
    public void setWatching(boolean enabled) {
        Call previous = activeWatch;
        activeWatch = enabled ? new Call("/api/targets?watch=1&from=" + revision, true) : null;
        if (previous != null) {
            previous.finished = true;
            previous.channel.close();
        }
        if (enabled) {
            activeWatch.open();
        }
    }

    /** Asks for the whole list once. */
    public void fetchList() {
        new Call("/api/targets", false).open();
    }

    /** A call under way; the answer of a watch goes on until its connection ends. */
    private final class Call extends SimpleChannelInboundHandler<ByteBuf> {
        private final String uri;
        private final boolean watching;
        private Channel channel;
        private Future<?> silenceTimer;
        // The module has had what its call was for
        private boolean answered;
        private boolean finished;
        private final long openedAtNanos = System.nanoTime();
        private final ListFrameDecoder frameDecoder = new ListFrameDecoder();

        Call(String uri, boolean watching) {
            this.uri = uri;
            this.watching = watching;
        }

        void open() {
            restartSilenceTimer(firstResponseTimeoutMs);
            ChannelFuture connectFuture =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(
                                    ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                    (int) firstResponseTimeoutMs)
                            .handler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel ch) {
                                            ch.pipeline()
                                                    .addLast(
                                                            new HttpClientCodec(),
                                                            new ResponseBodyDecoder(Call.this),
                                                            frameDecoder,
                                                            Call.this);
                                        }
                                    })
                            .connect(address);
            channel = connectFuture.channel();
            channel.closeFuture().addListener(closed -> onClosed());
            connectFuture.addListener(
                    done -> {
                        if (done.isSuccess()) {
                            DefaultFullHttpRequest request =
                                    new DefaultFullHttpRequest(
                                            HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
                            request.headers()
                                    .set(
                                            HttpHeaderNames.HOST,
                                            address.getAddress().getHostAddress()
                                                    + ":"
                                                    + address.getPort());
                            channel.writeAndFlush(request);
                            // The connection's time was its own
                            restartSilenceTimer(firstResponseTimeoutMs);
                        } else {
                            onClosed();
                        }
                    });
        }

        // Guards against a discovery that is cut off: its connection stays open and silent.
        private void restartSilenceTimer(long timeoutMs) {
            if (silenceTimer != null) {
                silenceTimer.cancel(false);
            }
            if (!finished) {
                silenceTimer =
                        loop.schedule(
                                () -> {
                                    if (channel != null) {
                                        channel.close();
                                    }
                                    onClosed();
                                },
                                timeoutMs,
                                TimeUnit.MILLISECONDS);
            }
        }

        /**
         * A part of the answer has come; an empty line between lists says that nothing has changed.
         */
        void onBodyPart(ByteBuf part) {
            if (!frameDecoder.isBetweenLists()) {
                // A list that never ends must not pass for news
                return;
            }
            restartSilenceTimer(WATCH_SILENCE_TIMEOUT_MS);
            if (watching && !answered && !finished && isBlank(part)) {
                accept(new EndpointList(revision, false, List.of()));
            }
        }

        private static boolean isBlank(ByteBuf part) {
            return part.forEachByte(b -> b == ' ' || b == '\r' || b == '\n' || b == '\t') < 0;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf list) {
            if (finished) {
                return;
            }
            try {
                EndpointList endpointList = EndpointListCodec.decode(list, boot);
                if ((answered || !watching) && endpointList.revision() < revision) {
                    // Older than what has been heard already
                    finishUnlessWatching();
                } else {
                    accept(endpointList);
                }
            } catch (InvalidEndpointListException e) {
                onUnreadableList(e.getMessage());
            }
        }

        // A change may be lost with it: the next watch, from the last good version, brings it.
        private void onUnreadableList(String reason) {
            log.accept("discovery sent a list that can't be read: " + reason);
            channel.close();
            onClosed();
        }

        private void accept(EndpointList endpointList) {
            revision = endpointList.revision();
            answered = true;
            listener.accept(
                    endpointList.complete() ? EndpointListKind.COMPLETE : EndpointListKind.DELTA,
                    endpointList);
            finishUnlessWatching();
        }

        private void finishUnlessWatching() {
            if (!watching) {
                finished = true;
                channel.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof DecoderException && !finished) {
                onUnreadableList(cause.getMessage());
            }
            channel.close();
        }

        private void onClosed() {
            silenceTimer.cancel(false);
            if (finished) {
                return;
            }
            finished = true;
            if (activeWatch == this) {
                activeWatch = null;
            }
            if (!pushed) {
                listener.accept(EndpointListKind.FAILED, null);
            } else if (watching) {
                // What the agent has counts as told, watched or not: a watch that worked is renewed
                // at once.
                boolean watchWorked =
                        answered
                                && System.nanoTime() - openedAtNanos
                                        > firstResponseTimeoutMs * 1_000_000;
                loop.schedule(
                        () -> {
                            if (activeWatch == null) {
                                setWatching(true);
                            }
                        },
                        watchWorked ? 0 : firstResponseTimeoutMs / RETRY_PAUSE_DIVISOR,
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Tells lists apart, each a JSON object, on one line or many. */
    private static final class ListFrameDecoder extends JsonObjectDecoder {
        ListFrameDecoder() {
            super(MAX_LIST_BYTES);
        }

        /** Whether no part of a list is held. */
        boolean isBetweenLists() {
            return actualReadableBytes() == 0;
        }
    }

    /** Passes the body of a 200 answer on, and ends the call for any other. */
    private static final class ResponseBodyDecoder extends MessageToMessageDecoder<HttpObject> {
        private final Call call;

        ResponseBodyDecoder(Call call) {
            this.call = call;
        }

        @Override
        protected void decode(ChannelHandlerContext context, HttpObject part, List<Object> out) {
            if (part instanceof HttpResponse response
                    && (response.status().code() != 200 || !response.decoderResult().isSuccess())) {
                context.close();
                return;
            }
            if (part instanceof HttpContent content && context.channel().isActive()) {
                if (content.content().isReadable()) {
                    call.onBodyPart(content.content());
                    out.add(content.content().retain());
                }
                if (part instanceof LastHttpContent && call.watching) {
                    context.close();
                }
            }
        }
    }
}
