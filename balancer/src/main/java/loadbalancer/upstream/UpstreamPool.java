package loadbalancer.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.StrictFraming;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.LoadReportParser;

/**
 * The connections to the upstreams, one request at a time on each, and what becomes of each
 * request.
 */
public final class UpstreamPool {
    // Of an answer that is passed on only when it is whole
    private static final int MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024;
    // Bytes at a time
    private static final int MAX_READ_BYTES = 32 * 1024;
    // For an answer of unknown length to be whole
    private static final long RESPONSE_BUFFERING_TIMEOUT_MS = 100;
    // µs after an answer in which another one is better
    private static final long MIN_REUSE_IDLE_MICROS = 10_000;
    // Of the time after which upstreams close an idle one
    private static final double IDLE_TIMEOUT_FRACTION = 0.5;
    // µs before the grace is over: the clock is not shared
    private static final long DRAIN_SAFETY_MARGIN_MICROS = 50_000;
    // µs after its grace that a stopped upstream is kept
    private static final long ENDPOINT_EXPIRY_MICROS = 60_000_000;
    // Where the settings give no limit
    private static final int DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

    private static final class EndpointPool {
        final String id;
        InetSocketAddress address;
        // When the grace of its drain is over
        long drainDeadlineMicros = Long.MAX_VALUE;
        // The most recently used last
        final ArrayDeque<UpstreamConnection> idleConnections = new ArrayDeque<>(0);

        EndpointPool(String id) {
            this.id = id;
        }

        // The one that was used last of those that rest since before {@code then}, else that which
        // has rested
        // for longest; null where none is idle. Guards against second answers that come a little
        // late: on a
        // connection that was used again at once they were taken for the next request's.
        UpstreamConnection pollIdle(long idleSinceBefore) {
            if (idleConnections.isEmpty()
                    || idleConnections.peekFirst().idleSinceMicros > idleSinceBefore) {
                return idleConnections.pollFirst();
            }
            UpstreamConnection candidate = idleConnections.pollLast();
            ArrayDeque<UpstreamConnection> tooRecent = new ArrayDeque<>();
            while (candidate.idleSinceMicros > idleSinceBefore) {
                tooRecent.addFirst(candidate);
                candidate = idleConnections.pollLast();
            }
            idleConnections.addAll(tooRecent);
            return candidate;
        }
    }

    private final EventLoop loop;
    private final BootSettings boot;
    private final FileDescriptorBudget descriptorBudget;
    private final LongSupplier clockMicros;
    private final EventLog events;
    private final Metrics metrics;
    private final BodyRelay.BufferBudget bufferBudget;
    // Where all upstreams are within this process, or null
    private final SocketAddress inProcessAddress;
    private final Bootstrap bootstrap;
    private final long maxIdleMicros;
    private final Map<String, EndpointPool> endpointPools = new HashMap<>();
    private final Set<String> listedEndpoints = new HashSet<>();
    private Future<?> idleSweep;
    private int openConnections;

    public UpstreamPool(
            EventLoop loop,
            BootSettings boot,
            FileDescriptorBudget descriptorBudget,
            LongSupplier clockMicros,
            EventLog events,
            Metrics metrics,
            BodyRelay.BufferBudget bufferBudget) {
        this(loop, boot, descriptorBudget, clockMicros, events, metrics, bufferBudget, null);
    }

    /** Where {@code inProcessAddress} is not null every upstream is there, in this process. */
    public UpstreamPool(
            EventLoop loop,
            BootSettings boot,
            FileDescriptorBudget descriptorBudget,
            LongSupplier clockMicros,
            EventLog events,
            Metrics metrics,
            BodyRelay.BufferBudget bufferBudget,
            LocalAddress inProcessAddress) {
        this.loop = loop;
        this.boot = boot;
        this.descriptorBudget = descriptorBudget;
        this.clockMicros = clockMicros;
        this.events = events;
        this.metrics = metrics;
        this.bufferBudget = bufferBudget;
        this.inProcessAddress = inProcessAddress;
        this.maxIdleMicros =
                boot.idleTimeoutMicros() > 0
                        ? (long) (boot.idleTimeoutMicros() * IDLE_TIMEOUT_FRACTION)
                        : Long.MAX_VALUE;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(64, 2048, MAX_READ_BYTES))
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs());
        if (inProcessAddress == null) {
            bootstrap
                    .channelFactory(StaleCheckSocketChannel::new)
                    .option(ChannelOption.TCP_NODELAY, true);
        } else {
            bootstrap.channel(LocalChannel.class);
        }
        if (maxIdleMicros < Long.MAX_VALUE) {
            long sweepIntervalMicros = Math.max(10_000, Math.min(1_000_000, maxIdleMicros / 10));
            idleSweep =
                    loop.scheduleWithFixedDelay(
                            this::closeExpiredConnections,
                            sweepIntervalMicros,
                            sweepIntervalMicros,
                            TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public String toString() {
        return openConnections
                + " upstreams' ("
                + endpointPools.values().stream()
                        .mapToInt(endpointPool -> endpointPool.idleConnections.size())
                        .sum()
                + " at rest)";
    }

    private int connectTimeoutMs() {
        long limitMicros = boot.settings().limits().connectTimeoutMicros();
        return limitMicros > 0
                ? (int) Math.max(1, Math.min(Integer.MAX_VALUE, limitMicros / 1000))
                : DEFAULT_CONNECT_TIMEOUT_MS;
    }

    // ---------------------------------------------------------------- the list

    /** How many the list holds, those that finish their work included. */
    public int listedEndpoints() {
        return listedEndpoints.size();
    }

    public void updateEndpoints(EndpointList endpointList, long nowMicros) {
        Set<String> listedIds = new HashSet<>();
        if (endpointList.complete()) {
            listedEndpoints.clear();
        }
        for (EndpointList.Entry entry : endpointList.entries()) {
            listedIds.add(entry.endpoint().id());
            if (entry.endpoint().status() == EndpointStatus.REMOVED) {
                listedEndpoints.remove(entry.endpoint().id());
            } else {
                listedEndpoints.add(entry.endpoint().id());
            }
            EndpointPool endpointPool =
                    endpointPools.computeIfAbsent(entry.endpoint().id(), EndpointPool::new);
            if (entry.address() != null && !entry.address().equals(endpointPool.address)) {
                closeIdleConnections(endpointPool);
                endpointPool.address = entry.address();
            }
            if (entry.endpoint().status() == EndpointStatus.UP) {
                endpointPool.drainDeadlineMicros = Long.MAX_VALUE;
            } else {
                drainEndpoint(endpointPool, nowMicros);
            }
        }
        if (endpointList.complete()) {
            endpointPools.values().stream()
                    .filter(endpointPool -> !listedIds.contains(endpointPool.id))
                    .forEach(endpointPool -> drainEndpoint(endpointPool, nowMicros));
        }
    }

    private void drainEndpoint(EndpointPool endpointPool, long nowMicros) {
        long graceMicros = boot.settings().bounds().drainGraceMicros();
        endpointPool.drainDeadlineMicros =
                Math.min(
                        endpointPool.drainDeadlineMicros,
                        nowMicros
                                + Math.max(
                                        0,
                                        graceMicros
                                                - Math.min(
                                                        DRAIN_SAFETY_MARGIN_MICROS,
                                                        graceMicros / 2)));
        closeIdleConnections(endpointPool);
    }

    // ---------------------------------------------------------------- attempts and probes

    /**
     * Sends a request; {@code timeoutMicros} is how long the balancer will wait for its answer, in
     * µs.
     */
    public UpstreamRequest send(
            String endpointId,
            ProxyRequest proxyRequest,
            long timeoutMicros,
            UpstreamResponseListener listener) {
        return startRequest(
                endpointId,
                new UpstreamRequest(proxyRequest, Math.max(1, timeoutMicros / 1000), listener));
    }

    /** Asks an upstream how it is; gives up after the time that a connection may take. */
    public void sendHealthCheck(
            String endpointId, boolean withLoadReport, UpstreamResponseListener listener) {
        ProxyRequest proxyRequest =
                new ProxyRequest(
                        HttpMethod.GET,
                        withLoadReport ? "/-/load" : "/-/healthy",
                        EmptyHttpHeaders.INSTANCE,
                        new byte[0],
                        -1,
                        0,
                        null,
                        0,
                        -1,
                        false);
        UpstreamRequest request = new UpstreamRequest(proxyRequest, 0, listener);
        request.timeoutTask =
                loop.schedule(
                        () -> {
                            boolean mayHaveRun = request.abandon();
                            listener.onComplete(
                                    mayHaveRun
                                            ? AttemptOutcome.TIMEOUT
                                            : AttemptOutcome.CONNECT_FAILED,
                                    null,
                                    null);
                        },
                        connectTimeoutMs(),
                        TimeUnit.MILLISECONDS);
        startRequest(endpointId, request);
    }

    private UpstreamRequest startRequest(String endpointId, UpstreamRequest request) {
        EndpointPool endpointPool = endpointPools.get(endpointId);
        if (endpointPool == null
                || endpointPool.address == null
                || clockMicros.getAsLong() >= endpointPool.drainDeadlineMicros) {
            request.complete(AttemptOutcome.NOT_SENT, null, null);
            return request;
        }
        UpstreamConnection idleConnection =
                endpointPool.pollIdle(clockMicros.getAsLong() - MIN_REUSE_IDLE_MICROS);
        while (idleConnection != null && !idleConnection.isReusable()) {
            idleConnection.close();
            idleConnection = endpointPool.pollIdle(clockMicros.getAsLong() - MIN_REUSE_IDLE_MICROS);
        }
        if (idleConnection != null) {
            idleConnection.write(request);
        } else {
            connect(endpointPool, request);
        }
        return request;
    }

    private void connect(EndpointPool endpointPool, UpstreamRequest request) {
        if (descriptorBudget.isExhausted() && !closeLongestIdle()) {
            request.complete(AttemptOutcome.CONNECT_FAILED, null, null);
            return;
        }
        UpstreamConnection connection = new UpstreamConnection(endpointPool);
        connection.request = request;
        request.connection = connection;
        descriptorBudget.socketOpened();
        openConnections++;
        ChannelFuture connectFuture =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        connection.new UnsolicitedDataGuard(),
                                                        connection.decoder,
                                                        new HttpRequestEncoder(),
                                                        connection);
                                    }
                                })
                        .connect(
                                inProcessAddress == null ? endpointPool.address : inProcessAddress);
        connection.channel = connectFuture.channel();
        connection.channel.closeFuture().addListener(closed -> connection.onClosed());
        connectFuture.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        connection.completeRequest(AttemptOutcome.CONNECT_FAILED, null, null);
                        connection.channel.close();
                    } else {
                        onConnected(connection);
                    }
                });
    }

    // What holds is the instant of the write: the list, or what the request allows, may have
    // changed while it
    // waited for its connection, and its attempt may be given up as it is asked for.
    private void onConnected(UpstreamConnection connection) {
        UpstreamRequest pendingRequest = connection.request;
        boolean mayStart =
                pendingRequest != null
                        && clockMicros.getAsLong() < connection.endpointPool.drainDeadlineMicros
                        && pendingRequest.listener.mayStart();
        if (mayStart && connection.request != null) {
            connection.write(pendingRequest);
            return;
        }
        UpstreamRequest unsentRequest = connection.request;
        connection.request = null;
        // The handshake is paid for
        connection.returnToPool();
        if (unsentRequest != null) {
            unsentRequest.complete(AttemptOutcome.NOT_SENT, null, null);
        }
    }

    // ---------------------------------------------------------------- idle connections

    public void closeIdleConnections(String endpointId) {
        EndpointPool endpointPool = endpointPools.get(endpointId);
        if (endpointPool != null) {
            closeIdleConnections(endpointPool);
        }
    }

    private static void closeIdleConnections(EndpointPool endpointPool) {
        for (UpstreamConnection connection = endpointPool.idleConnections.pollFirst();
                connection != null;
                connection = endpointPool.idleConnections.pollFirst()) {
            connection.close();
        }
    }

    // Closes connections well before their upstream does: a request written to a dying one is a
    // reset, which
    // may have run, and most classes can't be sent again then.
    private void closeExpiredConnections() {
        // Guards against a table that grows with every machine that comes and goes.
        long nowMicros = clockMicros.getAsLong();
        endpointPools
                .values()
                .removeIf(
                        endpointPool ->
                                endpointPool.drainDeadlineMicros
                                        < nowMicros - ENDPOINT_EXPIRY_MICROS);
        for (EndpointPool endpointPool : endpointPools.values()) {
            while (!endpointPool.idleConnections.isEmpty()
                    && !endpointPool.idleConnections.peekFirst().isReusable()) {
                endpointPool.idleConnections.pollFirst().close();
            }
        }
    }

    /** Closes all that is idle, now and from here on. */
    public void close() {
        if (idleSweep != null) {
            idleSweep.cancel(false);
        }
        for (EndpointPool endpointPool : endpointPools.values()) {
            endpointPool.drainDeadlineMicros = Long.MIN_VALUE;
            closeIdleConnections(endpointPool);
        }
    }

    /** Closes the connection that has been idle for longest; false where none is. */
    public boolean closeLongestIdle() {
        UpstreamConnection longestIdle = null;
        for (EndpointPool endpointPool : endpointPools.values()) {
            UpstreamConnection candidate = endpointPool.idleConnections.peekFirst();
            if (candidate != null
                    && (longestIdle == null
                            || candidate.idleSinceMicros < longestIdle.idleSinceMicros)) {
                longestIdle = candidate;
            }
        }
        if (longestIdle == null) {
            return false;
        }
        longestIdle.endpointPool.idleConnections.pollFirst();
        longestIdle.close();
        return true;
    }

    /** A request on its way to an upstream. */
    public static final class UpstreamRequest {
        private final ProxyRequest proxyRequest;
        // 0: not told to the upstream
        private final long timeoutMs;
        private final UpstreamResponseListener listener;
        private UpstreamConnection connection;
        private Future<?> timeoutTask;
        private boolean completed;

        private UpstreamRequest(
                ProxyRequest proxyRequest, long timeoutMs, UpstreamResponseListener listener) {
            this.proxyRequest = proxyRequest;
            this.timeoutMs = timeoutMs;
            this.listener = listener;
        }

        /**
         * Stops waiting and tells nobody; a connection that holds any of the request is closed.
         *
         * @return whether the request may have run: its last byte has been written
         */
        public boolean abandon() {
            UpstreamConnection activeConnection = connection;
            if (completed || activeConnection == null) {
                return false;
            }
            completed = true;
            boolean mayHaveRun = activeConnection.requestWritten;
            activeConnection.request = null;
            connection = null;
            if (activeConnection.requestStarted) {
                activeConnection.close();
            }
            return mayHaveRun;
        }

        private boolean isHealthCheck() {
            return timeoutMs == 0;
        }

        private void complete(AttemptOutcome outcome, FullHttpResponse response, LoadReport load) {
            if (timeoutTask != null) {
                timeoutTask.cancel(false);
            }
            if (!completed) {
                completed = true;
                connection = null;
                listener.onComplete(outcome, response, load);
            }
        }

        private HttpRequest toHttpRequest(InetSocketAddress address) {
            HttpRequest httpRequest =
                    proxyRequest.upload() != null
                            ? new DefaultHttpRequest(
                                    HttpVersion.HTTP_1_1, proxyRequest.method(), proxyRequest.uri())
                            : new DefaultFullHttpRequest(
                                    HttpVersion.HTTP_1_1,
                                    proxyRequest.method(),
                                    proxyRequest.uri(),
                                    Unpooled.wrappedBuffer(proxyRequest.body()));
            httpRequest.headers().add(proxyRequest.headers());
            if (!httpRequest.headers().contains(HttpHeaderNames.HOST)) {
                httpRequest
                        .headers()
                        .set(
                                HttpHeaderNames.HOST,
                                address.getAddress().getHostAddress() + ":" + address.getPort());
            }
            if (timeoutMs > 0) {
                httpRequest.headers().set(ProxyRequest.DEADLINE_HEADER, Long.toString(timeoutMs));
            }
            if (proxyRequest.contentLength() < 0) {
                HttpUtil.setTransferEncodingChunked(httpRequest, true);
            } else if (proxyRequest.contentLength() > 0
                    || !proxyRequest.method().equals(HttpMethod.GET)) {
                HttpUtil.setContentLength(httpRequest, proxyRequest.contentLength());
            }
            return httpRequest;
        }
    }

    /** One connection; it carries one request at a time, and is idle where {@code call} is null. */
    private final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
        private final EndpointPool endpointPool;
        private Channel channel;
        private UpstreamRequest request;
        // Some of the request may have been written
        private boolean requestStarted;
        // All of it has been
        private boolean requestWritten;
        private long idleSinceMicros;
        // Of the answer that comes, null between answers
        private HttpResponse responseHead;
        // Of its body, until it is whole or too long for that
        private ByteBuf bufferedBody;
        // For how long, where its length is not known
        private Future<?> bufferingTimeout;
        // Or the way that it is passed on
        private BodyRelay download;
        // An answer, until all that came with it has been read
        private FullHttpResponse completeResponse;
        // A long one has ended: the same
        private boolean streamCompleted;
        // Others have come behind it
        private boolean hasExtraResponses;
        // Nothing more that comes can be trusted
        private boolean broken;
        private final StrictFraming.ResponseDecoder decoder = new StrictFraming.ResponseDecoder();

        UpstreamConnection(EndpointPool endpointPool) {
            this.endpointPool = endpointPool;
        }

        boolean isReusable() {
            return channel.isActive()
                    && clockMicros.getAsLong() - idleSinceMicros < maxIdleMicros
                    && !(channel instanceof StaleCheckSocketChannel staleCheckChannel
                            && staleCheckChannel.hasUnreadInput());
        }

        void write(UpstreamRequest nextRequest) {
            request = nextRequest;
            nextRequest.connection = this;
            requestStarted = true;
            requestWritten = false;
            if (nextRequest.proxyRequest.upload() != null) {
                channel.write(nextRequest.toHttpRequest(endpointPool.address));
                nextRequest
                        .proxyRequest
                        .upload()
                        .writeTo(
                                channel,
                                new BodyRelay.Listener() {
                                    @Override
                                    public void onComplete() {
                                        requestWritten(nextRequest, true);
                                    }

                                    @Override
                                    public void onAborted() {
                                        // The client left: its request never was a whole one
                                        close();
                                    }
                                });
            } else {
                channel.writeAndFlush(nextRequest.toHttpRequest(endpointPool.address))
                        .addListener(done -> requestWritten(nextRequest, done.isSuccess()));
            }
        }

        private void requestWritten(UpstreamRequest nextRequest, boolean success) {
            if (success && !nextRequest.isHealthCheck()) {
                metrics.recordAttemptSent();
            }
            if (request == nextRequest) {
                requestWritten = success;
                if (!requestWritten) {
                    completeRequest(AttemptOutcome.CONNECT_FAILED, null, null);
                    close();
                }
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (request != null && request.proxyRequest.upload() != null) {
                request.proxyRequest.upload().writePending();
            }
        }

        void returnToPool() {
            requestStarted = false;
            requestWritten = false;
            idleSinceMicros = clockMicros.getAsLong();
            if (endpointPool.drainDeadlineMicros < Long.MAX_VALUE) {
                close();
            } else {
                endpointPool.idleConnections.addLast(this);
            }
        }

        void completeRequest(AttemptOutcome outcome, FullHttpResponse response, LoadReport load) {
            UpstreamRequest finishedRequest = request;
            request = null;
            if (finishedRequest != null) {
                finishedRequest.complete(outcome, response, load);
            }
        }

        void close() {
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (request == null || broken) {
                // Given up meanwhile
                return;
            }
            if (!message.decoderResult().isSuccess()) {
                failMalformed(message.decoderResult().toString());
            } else if (completeResponse != null || streamCompleted) {
                hasExtraResponses = true;
            } else {
                if (message instanceof HttpResponse responseStart) {
                    responseHead = responseStart;
                }
                if (message instanceof HttpContent content && responseHead != null) {
                    onContent(content);
                }
            }
        }

        private void onContent(HttpContent content) {
            boolean isLast = content instanceof LastHttpContent;
            if (responseHead.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                responseHead = isLast ? null : responseHead;
                return;
            }
            if (download == null && bufferedBody == null) {
                bufferedBody = channel.alloc().heapBuffer();
                if (contentLength() < 0 && !isLast) {
                    bufferingTimeout =
                            loop.schedule(
                                    this::startStreaming,
                                    RESPONSE_BUFFERING_TIMEOUT_MS,
                                    TimeUnit.MILLISECONDS);
                }
            }
            if (download != null) {
                download.add(content.content().retain());
            } else if (bufferedBody.readableBytes() + content.content().readableBytes()
                    <= MAX_BUFFERED_RESPONSE_BYTES) {
                bufferedBody.writeBytes(content.content());
                if (contentLength() > MAX_BUFFERED_RESPONSE_BYTES) {
                    startStreaming();
                }
            } else {
                startStreaming();
                if (download != null) {
                    download.add(content.content().retain());
                }
            }
            if (isLast && download != null) {
                streamCompleted = true;
            } else if (isLast && bufferedBody != null) {
                cancelBufferingTimeout();
                completeResponse =
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                responseHead.status(),
                                bufferedBody,
                                responseHead.headers(),
                                EmptyHttpHeaders.INSTANCE);
                bufferedBody = null;
            }
        }

        private long contentLength() {
            return HttpUtil.getContentLength(responseHead, -1L);
        }

        private void cancelBufferingTimeout() {
            if (bufferingTimeout != null) {
                bufferingTimeout.cancel(false);
                bufferingTimeout = null;
            }
        }

        // Passes a 200 answer on as it comes; of any other the status has told all.
        private void startStreaming() {
            cancelBufferingTimeout();
            ByteBuf initialBody = bufferedBody;
            if (request == null || broken || initialBody == null) {
                return;
            }
            if (responseHead.status().code() != 200 || request.isHealthCheck()) {
                initialBody.clear();
                return;
            }
            if (!requestWritten) {
                failMalformed("served before the request was written");
                return;
            }
            bufferedBody = null;
            download = new BodyRelay(channel, bufferBudget, false, this::close);
            download.add(initialBody);
            request.listener.onResponseStarted(
                    responseHead,
                    contentLength(),
                    download,
                    LoadReportParser.parse(responseHead.headers().get("Srv-Load")));
        }

        // An answer with a part of something behind it was not as long as its upstream meant. With
        // whole ones
        // behind it the first is this request's, and the connection ends with it.
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            FullHttpResponse response = completeResponse;
            if (streamCompleted && !broken) {
                onStreamComplete();
            }
            if (response == null) {
                return;
            }
            completeResponse = null;
            try {
                if (decoder.hasUndecodedBytes()) {
                    failMalformed("more behind it");
                } else if (request != null && !broken) {
                    if (hasExtraResponses) {
                        logMalformed("more than one, the first is passed on");
                    }
                    onResponseComplete(response);
                }
            } finally {
                response.release();
            }
        }

        // The whole of a long answer has come; the client may still be taking it in.
        private void onStreamComplete() {
            boolean keepAlive =
                    HttpUtil.isKeepAlive(responseHead)
                            && !hasExtraResponses
                            && !decoder.hasUndecodedBytes()
                            && channel.isActive();
            BodyRelay completedDownload = download;
            UpstreamRequest completedRequest = request;
            resetResponseState();
            request = null;
            if (keepAlive) {
                returnToPool();
            } else {
                close();
            }
            completedDownload.complete();
            if (completedRequest != null) {
                completedRequest.complete(AttemptOutcome.OK, null, null);
            }
        }

        private void onResponseComplete(FullHttpResponse response) {
            if (!requestWritten && response.status().code() == 200) {
                failMalformed("served before the request was written");
                return;
            }
            UpstreamRequest completedRequest = request;
            boolean beforeUploadComplete = !requestWritten;
            resetResponseState();
            request = null;
            // Back among the idle before the module hears of it: its next send may want this one.
            if (HttpUtil.isKeepAlive(response)
                    && !hasExtraResponses
                    && !beforeUploadComplete
                    && channel.isActive()) {
                returnToPool();
            } else {
                close();
            }
            if (beforeUploadComplete) {
                completedRequest.proxyRequest.upload().discard();
            }
            String loadReport = response.headers().get("Srv-Load");
            if (loadReport == null && completedRequest.isHealthCheck()) {
                // Of a probe
                loadReport = response.content().toString(StandardCharsets.UTF_8);
            }
            completedRequest.complete(
                    classify(response), response, LoadReportParser.parse(loadReport));
        }

        private void resetResponseState() {
            cancelBufferingTimeout();
            if (bufferedBody != null) {
                bufferedBody.release();
                bufferedBody = null;
            }
            responseHead = null;
            download = null;
            streamCompleted = false;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                failMalformed(String.valueOf(cause));
            }
            // What the end of input would make whole is not
            broken = true;
            // What became of the request is told in closed()
            close();
        }

        // After the decoder has given what the end of the connection makes whole.
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            onInputClosed();
        }

        // Ends the connection and, in closed(), what it carries as an attempt that may have run.
        private void failMalformed(String reason) {
            if (!broken) {
                broken = true;
                logMalformed(reason);
                close();
            }
        }

        private void logMalformed(String reason) {
            events.record(
                    EventLog.Kind.UNREADABLE,
                    request == null ? null : request.proxyRequest.clientRequestId(),
                    () -> "answer of " + endpointPool.id + ": " + reason);
        }

        // The line between what never ran and what may have is the request's last byte.
        private void onClosed() {
            descriptorBudget.socketClosed();
            openConnections--;
            endpointPool.idleConnections.remove(this);
            if (request != null && !requestStarted) {
                completeRequest(AttemptOutcome.CONNECT_FAILED, null, null);
            }
        }

        private void onInputClosed() {
            if (completeResponse != null) {
                completeResponse.release();
                completeResponse = null;
            }
            BodyRelay abortedDownload = download;
            BodyRelay unsentUpload = request == null ? null : request.proxyRequest.upload();
            resetResponseState();
            if (abortedDownload != null) {
                abortedDownload.abort();
            }
            if (unsentUpload != null) {
                unsentUpload.discard();
            }
            completeRequest(
                    requestWritten ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED,
                    null,
                    null);
        }

        /**
         * Sees bytes before they are decoded. Guards against answers that nobody asked for: kept in
         * the decoder, or read just after the next request was written, one was passed on as that
         * request's.
         */
        private final class UnsolicitedDataGuard extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (request == null || !requestWritten && request.proxyRequest.upload() == null) {
                    failMalformed(
                            request == null ? "nobody asked" : "before the request was written");
                }
                if (broken) {
                    ReferenceCountUtil.release(message);
                } else {
                    context.fireChannelRead(message);
                }
            }
        }
    }

    // Turned away unseen only where the upstream says so itself; any other failure may have run.
    private static AttemptOutcome classify(FullHttpResponse response) {
        int status = response.status().code();
        if (status == 200) {
            return AttemptOutcome.OK;
        }
        boolean explicitlyRejected = "1".equals(response.headers().get("Srv-Declined"));
        return explicitlyRejected && (status == 503 || status == 504)
                ? AttemptOutcome.REJECTED
                : AttemptOutcome.ERROR;
    }
}
