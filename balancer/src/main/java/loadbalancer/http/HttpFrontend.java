package loadbalancer.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
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
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Stream;
import loadbalancer.admin.EventLog;
import loadbalancer.config.BootSettings;
import loadbalancer.dispatch.Dispatcher;
import loadbalancer.dispatch.RequestHandle;
import loadbalancer.dispatch.ResponseSender;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.StrictFraming;

/**
 * The HTTP side to the clients: takes requests, turns bad ones away, and writes each one's final
 * answer.
 */
public final class HttpFrontend {
    private static final int ACCEPT_BACKLOG = 1024;
    // Requests that a client may send ahead on a connection
    private static final int MAX_PIPELINED_REQUESTS = 16;
    // Of a body that is handed over only when it is whole
    static final int MAX_BUFFERED_BODY_BYTES = BodyRelay.MAX_BUFFERED_BYTES;
    static final int MAX_BODY_BYTES = 32 * 1024 * 1024;
    // Bytes at a time
    private static final int MAX_READ_BYTES = 32 * 1024;
    // In one turn: the longest whole request, and its end
    private static final int MAX_READS_PER_LOOP = 4;
    // Bytes of a long answer that the system holds
    private static final int SEND_BUFFER_BYTES = 128 * 1024;
    // For a first request, or one that has begun, to be whole; each byte of a body gives it a
    // little more.
    private static final long REQUEST_TIMEOUT_NS = 2_400_000_000L;
    private static final long BODY_BYTE_ALLOWANCE_NS = 1_000_000_000L / 40_000;
    // For a short answer to be taken in
    private static final long RESPONSE_WRITE_TIMEOUT_MS = 2_200;
    // For a client to take an answer in while it still sends
    private static final long LINGER_TIMEOUT_MS = 4_000;
    // For a client to end a connection that has been shut
    private static final long CLOSE_TIMEOUT_MS = 1_000;
    // Between looks at who still waits to be accepted
    private static final long BACKLOG_POLL_INTERVAL_MS = 2;
    private static final int MAX_BACKLOG_POLLS = 50;
    // After a drain's begin, until connections at rest go
    private static final long DRAIN_INITIAL_DELAY_MS = 600;
    private static final long DRAIN_INTERVAL_MS = 400;
    // How long a newcomer that makes no progress keeps its place where there is no room: one that
    // has sent
    // nothing at all, and one that has begun.
    private static final long FIRST_BYTE_TIMEOUT_NS = 50_000_000;
    private static final long REQUEST_STALL_TIMEOUT_NS = 300_000_000;
    // Between looks for room, while new ones wait
    private static final long ACCEPT_RETRY_INTERVAL_MS = 50;

    private final EventLoop loop;
    private final ProxyRequestParser requestParser;
    private final Dispatcher dispatcher;
    private final FileDescriptorBudget descriptorBudget;
    private final BooleanSupplier closeLongestIdleUpstream;
    private final EventLog events;
    private final BodyRelay.BufferBudget bufferBudget;
    // The longest idle first
    private final Set<ClientConnection> idleConnections = new LinkedHashSet<>();
    // No proper request yet, the stillest first
    private final Set<ClientConnection> unprovenConnections = new LinkedHashSet<>();
    // Shut, their clients' end awaited
    private final Set<ClientConnection> halfClosedConnections = new LinkedHashSet<>();
    private Channel listenerChannel;
    private int openConnections;
    // While new ones wait for room
    private Future<?> acceptRetry;
    // That have ever connected
    private long acceptedConnections;
    private boolean ready;
    private boolean stopping;
    // Told by operators, who may take it back
    private boolean draining;
    private boolean accepting;
    // The next look at connections that a drain leaves
    private Future<?> drainTask;
    // While it is on
    private WarmUpTraffic warmUp;
    // Where a rehearsal reaches this node, or null
    private Channel inProcessListener;
    // Runs once no connection is left, after a stop
    private Runnable onEmpty;

    public HttpFrontend(
            EventLoop loop,
            BootSettings boot,
            Dispatcher dispatcher,
            FileDescriptorBudget descriptorBudget,
            BooleanSupplier shedIdleUpstream,
            EventLog events,
            BodyRelay.BufferBudget bufferBudget) {
        this.loop = loop;
        this.requestParser = new ProxyRequestParser(boot);
        this.dispatcher = dispatcher;
        this.descriptorBudget = descriptorBudget;
        this.closeLongestIdleUpstream = shedIdleUpstream;
        this.events = events;
        this.bufferBudget = bufferBudget;
    }

    /** Listens; called from another thread than the loop's, and returns the address in use. */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        accepting = true;
        return awaitBound(
                serverBootstrap(new NioServerSocketChannel())
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .bind(address));
    }

    /**
     * Takes over a socket that listens already, as others may; accepts nothing until it is ready.
     */
    public InetSocketAddress listen(ServerSocketChannel inheritedSocket) throws IOException {
        return awaitBound(
                serverBootstrap(new NioServerSocketChannel(inheritedSocket))
                        .option(ChannelOption.AUTO_READ, false)
                        .register());
    }

    private ServerBootstrap serverBootstrap(NioServerSocketChannel serverChannel) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(() -> serverChannel)
                // Known before it listens: on a slow machine a connection came in before bind had
                // returned
                // to the starting thread, found no listener, and was dropped unanswered.
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel serverChannel) {
                                listenerChannel = serverChannel;
                            }
                        })
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, readUntilEmptyAllocator())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(connectionInitializer());
    }

    // Reads until nothing is left, so that a client's end is seen together with what it sent
    // before.
    private static AdaptiveRecvByteBufAllocator readUntilEmptyAllocator() {
        AdaptiveRecvByteBufAllocator allocator =
                new AdaptiveRecvByteBufAllocator(64, 2048, MAX_READ_BYTES);
        allocator.maxMessagesPerRead(MAX_READS_PER_LOOP);
        allocator.respectMaybeMoreData(false);
        return allocator;
    }

    private ChannelInitializer<Channel> connectionInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                ClientConnection connection = new ClientConnection(channel);
                channel.pipeline()
                        .addLast(
                                connection.liveness,
                                connection.new InboundActivityHandler(),
                                connection.decoder,
                                new HttpResponseEncoder(),
                                connection.new RequestFilter(),
                                connection);
                connection.onOpened();
            }
        };
    }

    private static InetSocketAddress awaitBound(ChannelFuture bindFuture) throws IOException {
        try {
            if (Thread.interrupted()) {
                // sync() looks only while the bind is still under way
                throw new InterruptedException();
            }
            return (InetSocketAddress) bindFuture.sync().channel().localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    @Override
    public String toString() {
        return openConnections
                + " clients' ("
                + unprovenConnections.size()
                + " new, "
                + idleConnections.size()
                + " at rest, "
                + halfClosedConnections.size()
                + " shut)";
    }

    /** Whether it would say so to a client that asks. */
    public boolean isReady() {
        return ready && !draining && !stopping;
    }

    public void ready() {
        ready = true;
        if (!accepting && !stopping) {
            accepting = true;
            enforceConnectionLimit();
        }
    }

    /** Serves a rehearsal's requests as well; null when it is over. */
    public void setWarmUp(WarmUpTraffic activeWarmUp) {
        warmUp = activeWarmUp;
        if (activeWarmUp == null && inProcessListener != null) {
            inProcessListener.close();
        }
    }

    /**
     * Takes connections within this process, for a rehearsal; {@code onListening} runs when it
     * does.
     */
    public void listenInProcess(LocalAddress address, Runnable onListening) {
        ChannelFuture bindFuture =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(LocalServerChannel.class)
                        .childHandler(connectionInitializer())
                        .bind(address);
        inProcessListener = bindFuture.channel();
        bindFuture.addListener(bound -> onListening.run());
    }

    /**
     * From here on answers end their connections; new ones are still taken, unless another process
     * does.
     */
    public void stopping(boolean anotherProcessAccepts) {
        stopping = true;
        if (anotherProcessAccepts) {
            accepting = false;
            // Not closed: the platform's socket is descriptor 0, and to close it would end the log
            // as well.
            listenerChannel.config().setAutoRead(false);
        }
    }

    /**
     * Takes no more connections and shuts those that hold no request; {@code onClosed} runs on the
     * loop once none is left: each has its own bound.
     */
    public void close(Runnable onClosed) {
        onEmpty = onClosed;
        if (accepting) {
            accepting = false;
            closeListener(-1, MAX_BACKLOG_POLLS);
        } else {
            closeIdleConnections();
        }
    }

    // Closes it when a look has found nobody in its backlog: those would be reset, with what they
    // have sent.
    private void closeListener(long previousConnectionCount, int remainingPolls) {
        if (listenerChannel != null
                && listenerChannel.isOpen()
                && previousConnectionCount != acceptedConnections
                && remainingPolls > 0) {
            // Whether there is room or not: nothing new comes after
            listenerChannel.config().setAutoRead(true);
            long currentConnectionCount = acceptedConnections;
            loop.schedule(
                    () -> closeListener(currentConnectionCount, remainingPolls - 1),
                    BACKLOG_POLL_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
            return;
        }
        if (listenerChannel != null) {
            listenerChannel.close();
        }
        // The last that were accepted may have a request that has come already.
        loop.schedule(this::closeIdleConnections, BACKLOG_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void closeIdleConnections() {
        connectionsWithoutRequest().forEach(ClientConnection::closeGracefully);
        notifyIfEmpty();
    }

    private void notifyIfEmpty() {
        if (openConnections == 0 && onEmpty != null) {
            loop.execute(onEmpty);
            onEmpty = null;
        }
    }

    /**
     * Empties the balancer: not ready, answers end their connections, and those at rest are closed
     * soon.
     */
    public void drain() {
        if (!draining && !stopping) {
            draining = true;
            // Clients are sent here for a moment more: what they have begun to write meanwhile is
            // heard.
            drainTask =
                    loop.scheduleWithFixedDelay(
                            () ->
                                    connectionsWithoutRequest()
                                            .forEach(ClientConnection::closeForDrain),
                            DRAIN_INITIAL_DELAY_MS,
                            DRAIN_INTERVAL_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    public void resume() {
        if (draining) {
            draining = false;
            drainTask.cancel(false);
        }
    }

    // Those that hold nothing of a request.
    private List<ClientConnection> connectionsWithoutRequest() {
        return Stream.concat(idleConnections.stream(), unprovenConnections.stream())
                .filter(connection -> !connection.receiving && !connection.requestInProgress)
                .distinct()
                .toList();
    }

    // Makes room before an accept can fail, and keeps descriptors for the upstreams: with peers
    // that came,
    // asked something and stayed there was none left to reach a server. First go connections that
    // have not
    // proved to be a client's and make no progress, then upstreams' that nobody needs, then those
    // at rest,
    // which cost their clients a new connection; at last new ones wait in the backlog, where
    // clients wait
    // with them: it has to move on.
    private void enforceConnectionLimit() {
        while (descriptorBudget.isClientLimitReached(openConnections)
                && !halfClosedConnections.isEmpty()) {
            ClientConnection oldestConnection = halfClosedConnections.iterator().next();
            halfClosedConnections.remove(oldestConnection);
            oldestConnection.channel.close();
        }
        ClientConnection stalledConnection = findStalledConnection();
        while (stalledConnection != null
                && descriptorBudget.isClientLimitReached(openConnections)) {
            if (stalledConnection.isStalled()) {
                stalledConnection.dropConnection("no request yet, and no room");
            }
            stalledConnection = findStalledConnection();
        }
        while (descriptorBudget.isExhausted() && closeLongestIdleUpstream.getAsBoolean()) {
            continue;
        }
        while (descriptorBudget.isClientLimitReached(openConnections)
                && !idleConnections.isEmpty()) {
            findIdleConnectionToClose().dropConnection("at rest, and no room");
        }
        boolean hasCapacity = !descriptorBudget.isClientLimitReached(openConnections);
        listenerChannel.config().setAutoRead(hasCapacity && accepting);
        if (!hasCapacity && acceptRetry == null) {
            acceptRetry =
                    loop.schedule(
                            () -> {
                                // A newcomer's time may be over without any event
                                acceptRetry = null;
                                if (listenerChannel.isOpen()) {
                                    enforceConnectionLimit();
                                }
                            },
                            ACCEPT_RETRY_INTERVAL_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    // The newcomer that may go first, or null: one that has been answered and stays, one that has
    // sent
    // nothing, or one that has begun and stopped. Slow ones go on, and so come to stand behind
    // these.
    private ClientConnection findStalledConnection() {
        long nowNanos = System.nanoTime();
        for (ClientConnection connection : unprovenConnections) {
            boolean answeredAndIdle =
                    connection.requestCount > 0
                            && !connection.receiving
                            && !connection.requestInProgress;
            long stallTimeoutNanos =
                    answeredAndIdle
                            ? 0
                            : connection.receiving
                                    ? REQUEST_STALL_TIMEOUT_NS
                                    : FIRST_BYTE_TIMEOUT_NS;
            if (!connection.requestInProgress
                    && nowNanos - connection.lastProgressNanos >= stallTimeoutNanos) {
                return connection;
            }
        }
        return null;
    }

    // Of those at rest the longest, and before all others one that has asked but once.
    private ClientConnection findIdleConnectionToClose() {
        return idleConnections.stream()
                .filter(connection -> connection.requestCount <= 1)
                .findFirst()
                .orElseGet(() -> idleConnections.iterator().next());
    }

    /** One connection of a client. */
    private final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
        private final Channel channel;
        private final ClientLiveness liveness;
        private final ArrayDeque<FullHttpRequest> pipelinedRequests = new ArrayDeque<>();
        // While the module owes an answer here
        private RequestHandle requestHandle;
        // Of the request that comes, null between requests
        private HttpRequest requestHead;
        // Of its body, until it is whole or too long for that
        private ByteBuf bufferedBody;
        // Of its body that have come
        private long bodyBytes;
        // The way that a long body goes, until it is whole
        private BodyRelay upload;
        // That request has been handed over, and still comes
        private boolean uploading;
        // All of it has come while another one is busy
        private boolean uploadQueued;
        // The way that a long answer comes
        private BodyRelay download;
        // Of the request that is answered
        private HttpVersion httpVersion = HttpVersion.HTTP_1_1;
        // A part of a request has come
        private boolean receiving;
        // From a whole request until its answer is written
        private boolean requestInProgress;
        // The first of those ahead is handled in this turn
        private boolean handlingScheduled;
        // Takes nothing more: what still comes is dropped
        private boolean closing;
        // While a request is awaited that should come soon
        private Future<?> requestTimeout;
        private long awaitingSinceNanos;
        // Of its body, at that time
        private long bodyBytesAtAwait;
        private long lastReceivedNanos;
        private final StrictFraming.RequestDecoder decoder = new StrictFraming.RequestDecoder();
        // When it came, or last sent something
        private long lastProgressNanos = System.nanoTime();
        private final long connectionNumber = ++acceptedConnections;
        private long requestCount;
        // The id of the last request that was handled
        private String currentRequestId;

        ClientConnection(Channel channel) {
            this.channel = channel;
            this.liveness = new ClientLiveness(channel, MAX_READS_PER_LOOP);
        }

        // While a long body comes its own way looks for the end, within the bounds of what may be
        // held of it.
        boolean isDisconnected() {
            return upload == null || upload.isSourceEnded()
                    ? liveness.isDisconnected()
                    : !channel.isActive();
        }

        // As of now: bytes may have come that the loop has not read, in a turn that takes long.
        boolean isStalled() {
            long progressBefore = lastProgressNanos;
            return !liveness.isDisconnected() && lastProgressNanos == progressBefore;
        }

        void onOpened() {
            descriptorBudget.socketOpened();
            openConnections++;
            unprovenConnections.add(this);
            startRequestTimeout();
            channel.closeFuture()
                    .addListener(
                            closed -> {
                                descriptorBudget.socketClosed();
                                openConnections--;
                                idleConnections.remove(this);
                                unprovenConnections.remove(this);
                                halfClosedConnections.remove(this);
                                cancelRequestTimeout();
                                pipelinedRequests.forEach(FullHttpRequest::release);
                                pipelinedRequests.clear();
                                discardPartialRequest();
                                if (upload != null) {
                                    upload.abort();
                                }
                                if (requestHandle != null) {
                                    requestHandle.onClientDisconnected();
                                }
                                if (accepting || !stopping) {
                                    enforceConnectionLimit();
                                }
                                notifyIfEmpty();
                            });
            if (accepting || !stopping) {
                enforceConnectionLimit();
            }
        }

        // Guards against peers that connect and send nothing, or never end what they begin: each
        // would keep
        // its descriptor until no server could be reached. A head that comes slowly does not
        // prolong the
        // time; a body does that comes fast enough and does not stand still.
        private void startRequestTimeout() {
            if (requestTimeout == null && channel.isActive()) {
                awaitingSinceNanos = System.nanoTime();
                bodyBytesAtAwait = bodyBytes;
                lastReceivedNanos = awaitingSinceNanos;
                requestTimeout =
                        loop.schedule(
                                this::checkRequestTimeout,
                                REQUEST_TIMEOUT_NS,
                                TimeUnit.NANOSECONDS);
            }
        }

        private void checkRequestTimeout() {
            requestTimeout = null;
            if (upload != null && upload.isSourcePaused()) {
                // The client waits for this balancer
                startRequestTimeout();
                return;
            }
            long timeoutStartNanos =
                    Math.min(
                            awaitingSinceNanos
                                    + (bodyBytes - bodyBytesAtAwait) * BODY_BYTE_ALLOWANCE_NS,
                            lastReceivedNanos);
            long remainingNanos = timeoutStartNanos + REQUEST_TIMEOUT_NS - System.nanoTime();
            if (remainingNanos > 0) {
                requestTimeout =
                        loop.schedule(
                                this::checkRequestTimeout, remainingNanos, TimeUnit.NANOSECONDS);
            } else {
                dropConnection(receiving ? "unfinished request" : "no request");
            }
        }

        private void cancelRequestTimeout() {
            if (requestTimeout != null) {
                requestTimeout.cancel(false);
                requestTimeout = null;
            }
        }

        private void dropConnection(String reason) {
            events.record(EventLog.Kind.DROPPED, null, () -> reason + ", " + this);
            unprovenConnections.remove(this);
            idleConnections.remove(this);
            if (receiving && !requestInProgress) {
                sendText(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time", false);
            } else {
                channel.close();
            }
        }

        void closeForDrain() {
            events.record(EventLog.Kind.DROPPED, null, () -> "drained, " + this);
            closeGracefully();
        }

        /**
         * Ends a connection: what still comes on it is not handled, its client sends it elsewhere.
         */
        void closeGracefully() {
            unprovenConnections.remove(this);
            idleConnections.remove(this);
            cancelRequestTimeout();
            closing = true;
            if (channel.isActive()) {
                halfClosedConnections.add(this);
                closeWithLinger(CLOSE_TIMEOUT_MS);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof HttpRequest requestStart) {
                onRequestHead(requestStart);
            }
            if (message instanceof HttpContent content && requestHead != null) {
                onBodyContent(content);
            }
        }

        private void onRequestHead(HttpRequest request) {
            requestHead = request;
            bodyBytes = 0;
            bodyBytesAtAwait = 0;
            lastReceivedNanos = System.nanoTime();
            if (!request.decoderResult().isSuccess()) {
                // As far as it goes: nothing can follow it
                onRequestComplete();
            } else if (HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES) {
                requestHead = null;
                rejectIncompleteRequest(request, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else if (!requestInProgress && HttpUtil.is100ContinueExpected(request)) {
                channel.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.CONTINUE,
                                Unpooled.EMPTY_BUFFER));
            }
        }

        private void onBodyContent(HttpContent content) {
            boolean isLast = content instanceof LastHttpContent;
            if (content.content().isReadable()) {
                bodyBytes += content.content().readableBytes();
                lastReceivedNanos = System.nanoTime();
            }
            if (!content.decoderResult().isSuccess()) {
                onMalformedBody(content.decoderResult());
                return;
            }
            if (bodyBytes > MAX_BODY_BYTES) {
                HttpRequest request = requestHead;
                abortRequest();
                rejectIncompleteRequest(request, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                return;
            }
            if (upload == null && bodyBytes > MAX_BUFFERED_BODY_BYTES) {
                upload = new BodyRelay(channel, bufferBudget, true, () -> {});
                if (bufferedBody != null) {
                    upload.add(bufferedBody);
                    bufferedBody = null;
                }
                if (!requestInProgress) {
                    upload();
                }
            }
            if (upload != null && isLast) {
                upload.complete(content.content().retain());
            } else if (upload != null) {
                upload.add(content.content().retain());
            } else if (content.content().isReadable()) {
                if (bufferedBody == null) {
                    bufferedBody =
                            channel.alloc()
                                    .heapBuffer(
                                            Math.min(
                                                    MAX_BUFFERED_BODY_BYTES,
                                                    content.content().capacity()));
                }
                bufferedBody.writeBytes(content.content());
            }
            if (isLast && upload != null) {
                onUploadReceived();
            } else if (isLast) {
                onRequestComplete();
            }
        }

        // What has come of a request, without the rest of it.
        private void discardPartialRequest() {
            requestHead = null;
            if (bufferedBody != null) {
                bufferedBody.release();
                bufferedBody = null;
            }
        }

        private void onRequestComplete() {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            requestHead.protocolVersion(),
                            requestHead.method(),
                            requestHead.uri(),
                            bufferedBody == null ? Unpooled.EMPTY_BUFFER : bufferedBody,
                            requestHead.headers(),
                            EmptyHttpHeaders.INSTANCE);
            request.setDecoderResult(requestHead.decoderResult());
            requestHead = null;
            bufferedBody = null;
            onRequestReceived(request);
            request.release();
        }

        // A body that can't be read: its request never was a whole one.
        private void onMalformedBody(DecoderResult decoderResult) {
            if (upload == null) {
                requestHead.setDecoderResult(decoderResult);
                onRequestComplete();
            } else {
                HttpRequest request = requestHead;
                abortRequest();
                rejectIncompleteRequest(request, HttpResponseStatus.BAD_REQUEST);
            }
        }

        private void abortRequest() {
            discardPartialRequest();
            if (upload != null) {
                BodyRelay abortedUpload = upload;
                upload = null;
                if (uploading) {
                    uploading = false;
                    requestInProgress = false;
                    RequestHandle abandonedHandle = requestHandle;
                    requestHandle = null;
                    if (abandonedHandle != null) {
                        abandonedHandle.onClientDisconnected();
                    }
                }
                abortedUpload.abort();
            }
        }

        // Hands a request over whose body is still coming, as a rule.
        private void upload() {
            uploading = !uploadQueued;
            requestInProgress = true;
            requestCount++;
            currentRequestId = requestHead.headers().get("Req-Id");
            String path = requestHead.uri();
            if (path.startsWith("/-/")) {
                sendText(HttpResponseStatus.NOT_FOUND, "not found", false);
            } else {
                dispatchRequest(
                        requestHead,
                        new byte[0],
                        upload,
                        HttpUtil.getContentLength(requestHead, -1L),
                        HttpUtil.isKeepAlive(requestHead));
            }
            if (uploadQueued) {
                uploadQueued = false;
                completeUpload();
            }
        }

        private void onUploadReceived() {
            receiving = false;
            cancelRequestTimeout();
            if (uploading) {
                completeUpload();
            } else {
                uploadQueued = true;
                // Once it has been answered
                closing = true;
            }
        }

        private void completeUpload() {
            uploading = false;
            upload = null;
            requestHead = null;
            if (requestHandle != null) {
                requestHandle.onBodyComplete();
            }
        }

        private void onRequestReceived(FullHttpRequest request) {
            receiving = false;
            cancelRequestTimeout();
            if (!requestInProgress) {
                // Handled after all that this turn of the loop reads: a client may have left behind
                // its
                // request, while it waited in the backlog or for this process, and nothing is sent
                // for it.
                requestInProgress = true;
                handlingScheduled = true;
                pipelinedRequests.add(request.retain());
                loop.execute(this::handleNextRequest);
                return;
            }
            events.record(
                    EventLog.Kind.PIPELINED,
                    request.headers().get("Req-Id"),
                    () -> "behind " + currentRequestId + ", " + this);
            if (pipelinedRequests.size()
                    < (handlingScheduled ? MAX_PIPELINED_REQUESTS + 1 : MAX_PIPELINED_REQUESTS)) {
                pipelinedRequests.add(request.retain());
            } else {
                // Once those before it have been answered
                closing = true;
            }
        }

        private void handleRequest(FullHttpRequest request) {
            requestInProgress = true;
            requestCount++;
            currentRequestId = request.headers().get("Req-Id");
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            String path = request.uri();
            if (!request.decoderResult().isSuccess()) {
                logRejection(request, "malformed: " + request.decoderResult().cause());
                sendText(HttpResponseStatus.BAD_REQUEST, "malformed request", false);
            } else if (warmUp != null && path.equals(WarmUpTraffic.UPSTREAM_PATH)) {
                boolean explicitlyRejected = warmUp.shouldReject();
                sendResponse(
                        explicitlyRejected
                                ? HttpResponseStatus.SERVICE_UNAVAILABLE
                                : HttpResponseStatus.OK,
                        Unpooled.wrappedBuffer(new byte[256]),
                        null,
                        explicitlyRejected ? "Srv-Declined" : "Srv-Load",
                        explicitlyRejected ? "1" : "TEXT eps=0.1, latency_ms=14.5, inflight=2",
                        keepAlive);
            } else if (path.startsWith("/-/")
                    && (warmUp == null || !path.equals(WarmUpTraffic.REQUEST_PATH))) {
                boolean readinessCheck =
                        path.equals("/-/ready") && request.method().equals(HttpMethod.GET);
                HttpResponseStatus status =
                        !readinessCheck
                                ? HttpResponseStatus.NOT_FOUND
                                : isReady()
                                        ? HttpResponseStatus.OK
                                        : HttpResponseStatus.SERVICE_UNAVAILABLE;
                sendText(
                        status,
                        !readinessCheck ? "not found" : isReady() ? "ready" : "not ready",
                        keepAlive);
            } else {
                dispatchRequest(
                        request,
                        ByteBufUtil.getBytes(request.content()),
                        null,
                        request.content().readableBytes(),
                        keepAlive);
            }
        }

        private void dispatchRequest(
                HttpRequest request,
                byte[] body,
                BodyRelay uploadRelay,
                long contentLength,
                boolean keepAlive) {
            ProxyRequest proxyRequest;
            try {
                proxyRequest = requestParser.parse(request, body, uploadRelay, contentLength);
            } catch (IllegalArgumentException e) {
                logRejection(request, e.getMessage());
                sendText(HttpResponseStatus.BAD_REQUEST, e.getMessage(), false);
                return;
            }
            unprovenConnections.remove(this);
            httpVersion = request.protocolVersion();
            ConnectionResponseSender responseSender = new ConnectionResponseSender(this, keepAlive);
            RequestHandle handle =
                    request.uri().equals(WarmUpTraffic.REQUEST_PATH)
                            ? warmUp.dispatcher()
                                    .submitRequest(
                                            proxyRequest.withUri(WarmUpTraffic.UPSTREAM_PATH),
                                            responseSender)
                            : dispatcher.submitRequest(proxyRequest, responseSender);
            if (!responseSender.responded) {
                requestHandle = handle;
            }
        }

        // Turns away what is not yet a whole request. Where earlier ones are still owed their
        // answers, the
        // end of the connection after the last of them has to do.
        private void rejectIncompleteRequest(HttpRequest request, HttpResponseStatus status) {
            logRejection(request, status.toString());
            cancelRequestTimeout();
            if (!requestInProgress) {
                sendText(status, status.reasonPhrase(), false);
            }
            closing = true;
        }

        private void logRejection(HttpRequest request, String reason) {
            events.record(
                    EventLog.Kind.REJECTED,
                    request.headers().get("Req-Id"),
                    () -> reason + ", " + this);
        }

        @Override
        public String toString() {
            return "client " + connectionNumber + " request " + requestCount;
        }

        private void sendText(HttpResponseStatus status, String text, boolean keepAlive) {
            ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
            sendResponse(status, body, "text/plain", null, null, keepAlive);
        }

        private void sendResponse(
                HttpResponseStatus status,
                ByteBuf body,
                String contentType,
                String headerName,
                String headerValue,
                boolean keepAlive) {
            requestHandle = null;
            requestInProgress = true;
            // The client is still sending: it may not listen yet
            boolean beforeUploadComplete = uploading;
            if (beforeUploadComplete) {
                uploading = false;
                upload.discard();
            }
            boolean keepOpen = shouldKeepAlive(keepAlive) && !beforeUploadComplete;
            closing |= !keepAlive || beforeUploadComplete;
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            if (contentType != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            }
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (headerValue != null) {
                response.headers().set(headerName, headerValue);
            }
            if (!keepOpen) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture writeFuture = channel.writeAndFlush(response);
            // Guards against peers that take no answers in: those would be kept in memory.
            Future<?> writeTimeout =
                    writeFuture.isDone()
                            ? null
                            : loop.schedule(
                                    () -> dropConnection("answer not taken in"),
                                    RESPONSE_WRITE_TIMEOUT_MS,
                                    TimeUnit.MILLISECONDS);
            writeFuture.addListener(
                    done -> {
                        if (writeTimeout != null) {
                            writeTimeout.cancel(false);
                        }
                        if (beforeUploadComplete && done.isSuccess()) {
                            closeWithLinger(LINGER_TIMEOUT_MS);
                        } else {
                            onResponseWritten(keepOpen && done.isSuccess());
                        }
                    });
        }

        private boolean shouldKeepAlive(boolean keepAlive) {
            boolean hasQueuedRequests =
                    !pipelinedRequests.isEmpty() || upload != null && !uploading;
            return keepAlive && (hasQueuedRequests || !stopping && !draining && !closing);
        }

        private void onResponseWritten(boolean keepOpen) {
            if (!keepOpen) {
                closeGracefully();
            } else if (pipelinedRequests.isEmpty()) {
                handleNextRequest();
            } else {
                // Not from within what is handled now
                loop.execute(this::handleNextRequest);
            }
        }

        // Closed with input unread, the connection would be reset, and the answer lost with it.
        private void closeWithLinger(long maxLingerMs) {
            if (!channel.isActive() || !(channel instanceof DuplexChannel duplex)) {
                channel.close();
                return;
            }
            if (duplex.isOutputShutdown()) {
                return;
            }
            Future<?> closeTask =
                    loop.schedule(() -> channel.close(), maxLingerMs, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(closed -> closeTask.cancel(false));
            // Its client's end must be seen
            channel.config().setAutoRead(true);
            duplex.shutdownOutput();
        }

        /** Passes a long answer on as it comes. */
        private void streamResponse(
                long contentLength,
                String contentType,
                BodyRelay body,
                boolean keepAlive,
                Consumer<Boolean> onFinished) {
            boolean selfDelimited = contentLength >= 0 || httpVersion.isKeepAliveDefault();
            boolean keepOpen = shouldKeepAlive(keepAlive && selfDelimited);
            closing |= !keepOpen;
            HttpResponse responseHead =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            if (contentType != null) {
                responseHead.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            }
            if (contentLength >= 0) {
                HttpUtil.setContentLength(responseHead, contentLength);
            } else if (selfDelimited) {
                HttpUtil.setTransferEncodingChunked(responseHead, true);
            }
            if (!keepOpen) {
                responseHead.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            if (channel instanceof SocketChannel socket) {
                // Else it moves in steps of many seconds
                socket.config().setSendBufferSize(SEND_BUFFER_BYTES);
            }
            download = body;
            channel.write(responseHead);
            body.writeTo(
                    channel,
                    new BodyRelay.Listener() {
                        @Override
                        public void onComplete() {
                            requestHandle = null;
                            download = null;
                            onFinished.accept(true);
                            onResponseWritten(keepOpen);
                        }

                        @Override
                        public void onAborted() {
                            download = null;
                            onFinished.accept(false);
                            if (!selfDelimited && channel instanceof SocketChannel socket) {
                                // Its end would look like the answer's
                                socket.config().setSoLinger(0);
                            }
                            channel.close();
                        }
                    });
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (download != null) {
                download.writePending();
            }
        }

        private void handleNextRequest() {
            if (!channel.isActive() || !pipelinedRequests.isEmpty() && isDisconnected()) {
                // Its client has left, and nothing is owed any more
                return;
            }
            requestInProgress = false;
            handlingScheduled = false;
            FullHttpRequest next = pipelinedRequests.poll();
            if (next != null) {
                handleRequest(next);
                next.release();
            } else if (upload != null) {
                upload();
            } else if (closing || stopping || draining) {
                closeGracefully();
            } else if (receiving || decoder.hasUndecodedBytes()) {
                receiving = true;
                startRequestTimeout();
            } else if (channel.isActive()) {
                idleConnections.add(this);
                if (acceptRetry != null) {
                    enforceConnectionLimit();
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }

        /** Notes that a request has begun to come in: its connection is not at rest. */
        private final class InboundActivityHandler extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (closing) {
                    // Not worth decoding
                    ReferenceCountUtil.release(message);
                    return;
                }
                receiving = true;
                idleConnections.remove(ClientConnection.this);
                if (unprovenConnections.remove(ClientConnection.this)) {
                    unprovenConnections.add(ClientConnection.this);
                    lastProgressNanos = System.nanoTime();
                }
                if (!requestInProgress) {
                    startRequestTimeout();
                }
                context.fireChannelRead(message);
            }
        }

        /**
         * The first to see what has been decoded: drops what follows the end of a connection's
         * requests.
         */
        private final class RequestFilter extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                receiving = true;
                if (closing) {
                    ReferenceCountUtil.release(message);
                } else if (message instanceof HttpRequest request
                        && hasUnsupportedExpectation(request)) {
                    rejectIncompleteRequest(request, HttpResponseStatus.EXPECTATION_FAILED);
                } else {
                    context.fireChannelRead(message);
                }
            }
        }

        private static boolean hasUnsupportedExpectation(HttpRequest request) {
            return request.headers().contains(HttpHeaderNames.EXPECT)
                    && !HttpUtil.is100ContinueExpected(request);
        }
    }

    /** The final answer to one request; the dispatcher gives it once. */
    private static final class ConnectionResponseSender implements ResponseSender {
        private final ClientConnection connection;
        private final boolean keepAlive;
        private boolean responded;

        ConnectionResponseSender(ClientConnection connection, boolean keepAlive) {
            this.connection = connection;
            this.keepAlive = keepAlive;
        }

        @Override
        public boolean isClientConnected() {
            return !connection.isDisconnected();
        }

        @Override
        public void send(FullHttpResponse response) {
            responded = true;
            connection.sendResponse(
                    HttpResponseStatus.OK,
                    response.content().retain(),
                    response.headers().get(HttpHeaderNames.CONTENT_TYPE),
                    null,
                    null,
                    keepAlive);
        }

        @Override
        public void send(
                HttpResponse responseHead,
                long contentLength,
                BodyRelay body,
                Consumer<Boolean> onFinished) {
            connection.streamResponse(
                    contentLength,
                    responseHead.headers().get(HttpHeaderNames.CONTENT_TYPE),
                    body,
                    keepAlive,
                    onFinished);
        }

        @Override
        public void reject(long retryAfterMicros) {
            responded = true;
            String retryAfterSeconds =
                    retryAfterMicros <= 0
                            ? null
                            : String.format(Locale.ROOT, "%.3f", retryAfterMicros / 1e6);
            connection.sendResponse(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    Unpooled.copiedBuffer(
                            "refused: trying again is harmless\n", StandardCharsets.UTF_8),
                    "text/plain",
                    "Retry-After",
                    retryAfterSeconds,
                    keepAlive);
        }

        @Override
        public void fail() {
            responded = true;
            connection.sendText(HttpResponseStatus.BAD_GATEWAY, "failed", keepAlive);
        }
    }
}
