package junctionhead.net;

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
import junctionhead.SettingsReader;

/**
 * The HTTP side to the clients: takes requests, turns bad ones away, and writes each one's final
 * answer.
 */
final class ClientServer {
    private static final int BACKLOG = 1024;
    // Requests that a client may send ahead on a connection
    private static final int PIPELINED_MOST = 16;
    // Of a body that is handed over only when it is whole
    static final int WHOLE_MOST = Relay.AHEAD;
    static final int BODY_MOST = 32 * 1024 * 1024;
    // Bytes at a time
    private static final int READ_MOST = 32 * 1024;
    // In one turn: the longest whole request, and its end
    private static final int READS_MOST = 4;
    // Bytes of a long answer that the system holds
    private static final int SEND_MOST = 128 * 1024;
    // For a first request, or one that has begun, to be whole; each byte of a body gives it a
    // little more.
    private static final long REQUEST_NS = 2_400_000_000L;
    private static final long BYTE_NS = 1_000_000_000L / 40_000;
    // For a short answer to be taken in
    private static final long ANSWER_MS = 2_200;
    // For a client to take an answer in while it still sends
    private static final long LINGER_MS = 4_000;
    // For a client to end a connection that has been shut
    private static final long END_MS = 1_000;
    // Between looks at who still waits to be accepted
    private static final long BACKLOG_MS = 2;
    private static final int BACKLOG_LOOKS = 50;
    // After a drain's begin, until connections at rest go
    private static final long DRAIN_FIRST_MS = 600;
    private static final long DRAIN_EVERY_MS = 400;
    // How long a newcomer that makes no progress keeps its place where there is no room: one that
    // has sent
    // nothing at all, and one that has begun.
    private static final long GREETING_NS = 50_000_000;
    private static final long PAUSE_NS = 300_000_000;
    // Between looks for room, while new ones wait
    private static final long AGAIN_MS = 50;

    private final EventLoop loop;
    private final OrderReader orders;
    private final Dispatcher dispatcher;
    private final Descriptors descriptors;
    private final BooleanSupplier shedIdleUpstream;
    private final Events events;
    private final Relay.Budget budget;
    // The longest idle first
    private final Set<Client> idle = new LinkedHashSet<>();
    // No proper request yet, the stillest first
    private final Set<Client> newcomers = new LinkedHashSet<>();
    // Shut, their clients' end awaited
    private final Set<Client> ending = new LinkedHashSet<>();
    private Channel listener;
    private int open;
    // While new ones wait for room
    private Future<?> again;
    // That have ever connected
    private long clients;
    private boolean ready;
    private boolean stopping;
    // Told by operators, who may take it back
    private boolean draining;
    private boolean accepting;
    // The next look at connections that a drain leaves
    private Future<?> emptying;
    // While it is on
    private Rehearsal rehearsal;
    // Where a rehearsal reaches this node, or null
    private Channel inside;
    // Runs once no connection is left, after a stop
    private Runnable whenEmpty;

    ClientServer(
            EventLoop loop,
            SettingsReader.Boot boot,
            Dispatcher dispatcher,
            Descriptors descriptors,
            BooleanSupplier shedIdleUpstream,
            Events events,
            Relay.Budget budget) {
        this.loop = loop;
        this.orders = new OrderReader(boot);
        this.dispatcher = dispatcher;
        this.descriptors = descriptors;
        this.shedIdleUpstream = shedIdleUpstream;
        this.events = events;
        this.budget = budget;
    }

    /** Listens; called from another thread than the loop's, and returns the address in use. */
    InetSocketAddress listen(InetSocketAddress at) throws IOException {
        accepting = true;
        return started(
                bootstrap(new NioServerSocketChannel())
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .bind(at));
    }

    /**
     * Takes over a socket that listens already, as others may; accepts nothing until it is ready.
     */
    InetSocketAddress listen(ServerSocketChannel inherited) throws IOException {
        return started(
                bootstrap(new NioServerSocketChannel(inherited))
                        .option(ChannelOption.AUTO_READ, false)
                        .register());
    }

    private ServerBootstrap bootstrap(NioServerSocketChannel channel) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(() -> channel)
                // Known before it listens: on a slow machine a connection came in before bind had
                // returned
                // to the starting thread, found no listener, and was dropped unanswered.
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                listener = channel;
                            }
                        })
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, upToTheEnd())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(newClients());
    }

    // Reads until nothing is left, so that a client's end is seen together with what it sent
    // before.
    private static AdaptiveRecvByteBufAllocator upToTheEnd() {
        AdaptiveRecvByteBufAllocator sizes = new AdaptiveRecvByteBufAllocator(64, 2048, READ_MOST);
        sizes.maxMessagesPerRead(READS_MOST);
        sizes.respectMaybeMoreData(false);
        return sizes;
    }

    private ChannelInitializer<Channel> newClients() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                Client client = new Client(channel);
                channel.pipeline()
                        .addLast(
                                client.presence,
                                client.new Arrivals(),
                                client.decoder,
                                new HttpResponseEncoder(),
                                client.new Gate(),
                                client);
                client.opened();
            }
        };
    }

    private static InetSocketAddress started(ChannelFuture starting) throws IOException {
        try {
            if (Thread.interrupted()) {
                // sync() looks only while the bind is still under way
                throw new InterruptedException();
            }
            return (InetSocketAddress) starting.sync().channel().localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    @Override
    public String toString() {
        return open
                + " clients' ("
                + newcomers.size()
                + " new, "
                + idle.size()
                + " at rest, "
                + ending.size()
                + " shut)";
    }

    /** Whether it would say so to a client that asks. */
    boolean isReady() {
        return ready && !draining && !stopping;
    }

    void ready() {
        ready = true;
        if (!accepting && !stopping) {
            accepting = true;
            makeRoom();
        }
    }

    /** Serves a rehearsal's requests as well; null when it is over. */
    void rehearse(Rehearsal with) {
        rehearsal = with;
        if (with == null && inside != null) {
            inside.close();
        }
    }

    /** Takes connections within this process, for a rehearsal; {@code then} runs when it does. */
    void listenInside(LocalAddress at, Runnable then) {
        ChannelFuture binding =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(LocalServerChannel.class)
                        .childHandler(newClients())
                        .bind(at);
        inside = binding.channel();
        binding.addListener(bound -> then.run());
    }

    /**
     * From here on answers end their connections; new ones are still taken, unless another process
     * does.
     */
    void stopping(boolean othersAccept) {
        stopping = true;
        if (othersAccept) {
            accepting = false;
            // Not closed: the platform's socket is descriptor 0, and to close it would end the log
            // as well.
            listener.config().setAutoRead(false);
        }
    }

    /**
     * Takes no more connections and shuts those that hold no request; {@code then} runs on the loop
     * once none is left: each has its own bound.
     */
    void close(Runnable then) {
        whenEmpty = then;
        if (accepting) {
            accepting = false;
            closeListener(-1, BACKLOG_LOOKS);
        } else {
            shutResting();
        }
    }

    // Closes it when a look has found nobody in its backlog: those would be reset, with what they
    // have sent.
    private void closeListener(long seen, int looks) {
        if (listener != null && listener.isOpen() && seen != clients && looks > 0) {
            // Whether there is room or not: nothing new comes after
            listener.config().setAutoRead(true);
            long now = clients;
            loop.schedule(() -> closeListener(now, looks - 1), BACKLOG_MS, TimeUnit.MILLISECONDS);
            return;
        }
        if (listener != null) {
            listener.close();
        }
        // The last that were accepted may have a request that has come already.
        loop.schedule(this::shutResting, BACKLOG_MS, TimeUnit.MILLISECONDS);
    }

    private void shutResting() {
        resting().forEach(Client::shut);
        lookIfEmpty();
    }

    private void lookIfEmpty() {
        if (open == 0 && whenEmpty != null) {
            loop.execute(whenEmpty);
            whenEmpty = null;
        }
    }

    /**
     * Empties the balancer: not ready, answers end their connections, and those at rest are closed
     * soon.
     */
    void drain() {
        if (!draining && !stopping) {
            draining = true;
            // Clients are sent here for a moment more: what they have begun to write meanwhile is
            // heard.
            emptying =
                    loop.scheduleWithFixedDelay(
                            () -> resting().forEach(Client::drained),
                            DRAIN_FIRST_MS,
                            DRAIN_EVERY_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    void resume() {
        if (draining) {
            draining = false;
            emptying.cancel(false);
        }
    }

    // Those that hold nothing of a request.
    private List<Client> resting() {
        return Stream.concat(idle.stream(), newcomers.stream())
                .filter(c -> !c.receiving && !c.busy)
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
    private void makeRoom() {
        while (descriptors.crowded(open) && !ending.isEmpty()) {
            Client oldest = ending.iterator().next();
            ending.remove(oldest);
            oldest.channel.close();
        }
        Client still = stillest();
        while (still != null && descriptors.crowded(open)) {
            if (still.standsStill()) {
                still.drop("no request yet, and no room");
            }
            still = stillest();
        }
        while (descriptors.full() && shedIdleUpstream.getAsBoolean()) {
            continue;
        }
        while (descriptors.crowded(open) && !idle.isEmpty()) {
            leastProved().drop("at rest, and no room");
        }
        boolean room = !descriptors.crowded(open);
        listener.config().setAutoRead(room && accepting);
        if (!room && again == null) {
            again =
                    loop.schedule(
                            () -> {
                                // A newcomer's time may be over without any event
                                again = null;
                                if (listener.isOpen()) {
                                    makeRoom();
                                }
                            },
                            AGAIN_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    // The newcomer that may go first, or null: one that has been answered and stays, one that has
    // sent
    // nothing, or one that has begun and stopped. Slow ones go on, and so come to stand behind
    // these.
    private Client stillest() {
        long now = System.nanoTime();
        for (Client c : newcomers) {
            boolean answered = c.requests > 0 && !c.receiving && !c.busy;
            long patience = answered ? 0 : c.receiving ? PAUSE_NS : GREETING_NS;
            if (!c.busy && now - c.movedAt >= patience) {
                return c;
            }
        }
        return null;
    }

    // Of those at rest the longest, and before all others one that has asked but once.
    private Client leastProved() {
        return idle.stream()
                .filter(c -> c.requests <= 1)
                .findFirst()
                .orElseGet(() -> idle.iterator().next());
    }

    /** One connection of a client. */
    private final class Client extends SimpleChannelInboundHandler<HttpObject> {
        private final Channel channel;
        private final Presence presence;
        private final ArrayDeque<FullHttpRequest> ahead = new ArrayDeque<>();
        // While the module owes an answer here
        private Dispatcher.Taken taken;
        // Of the request that comes, null between requests
        private HttpRequest head;
        // Of its body, until it is whole or too long for that
        private ByteBuf gathered;
        // Of its body that have come
        private long bytes;
        // The way that a long body goes, until it is whole
        private Relay upload;
        // That request has been handed over, and still comes
        private boolean uploading;
        // All of it has come while another one is busy
        private boolean behind;
        // The way that a long answer comes
        private Relay download;
        // Of the request that is answered
        private HttpVersion version = HttpVersion.HTTP_1_1;
        // A part of a request has come
        private boolean receiving;
        // From a whole request until its answer is written
        private boolean busy;
        // The first of those ahead is handled in this turn
        private boolean due;
        // Takes nothing more: what still comes is dropped
        private boolean closing;
        // While a request is awaited that should come soon
        private Future<?> patience;
        private long awaitedSince;
        // Of its body, at that time
        private long awaitedBytes;
        private long heardAt;
        private final Framing.Requests decoder = new Framing.Requests();
        // When it came, or last sent something
        private long movedAt = System.nanoTime();
        private final long number = ++clients;
        private long requests;
        // The id of the last request that was handled
        private String current;

        Client(Channel channel) {
            this.channel = channel;
            this.presence = new Presence(channel, READS_MOST);
        }

        // While a long body comes its own way looks for the end, within the bounds of what may be
        // held of it.
        boolean hasLeft() {
            return upload == null || upload.isWhole() ? presence.hasLeft() : !channel.isActive();
        }

        // As of now: bytes may have come that the loop has not read, in a turn that takes long.
        boolean standsStill() {
            long before = movedAt;
            return !presence.hasLeft() && movedAt == before;
        }

        void opened() {
            descriptors.opened();
            open++;
            newcomers.add(this);
            awaitRequest();
            channel.closeFuture()
                    .addListener(
                            closed -> {
                                descriptors.closed();
                                open--;
                                idle.remove(this);
                                newcomers.remove(this);
                                ending.remove(this);
                                requestCame();
                                ahead.forEach(FullHttpRequest::release);
                                ahead.clear();
                                forget();
                                if (upload != null) {
                                    upload.cut();
                                }
                                if (taken != null) {
                                    taken.gone();
                                }
                                if (accepting || !stopping) {
                                    makeRoom();
                                }
                                lookIfEmpty();
                            });
            if (accepting || !stopping) {
                makeRoom();
            }
        }

        // Guards against peers that connect and send nothing, or never end what they begin: each
        // would keep
        // its descriptor until no server could be reached. A head that comes slowly does not
        // prolong the
        // time; a body does that comes fast enough and does not stand still.
        private void awaitRequest() {
            if (patience == null && channel.isActive()) {
                awaitedSince = System.nanoTime();
                awaitedBytes = bytes;
                heardAt = awaitedSince;
                patience = loop.schedule(this::hurry, REQUEST_NS, TimeUnit.NANOSECONDS);
            }
        }

        private void hurry() {
            patience = null;
            if (upload != null && upload.holdsBack()) {
                // The client waits for this balancer
                awaitRequest();
                return;
            }
            long earned = Math.min(awaitedSince + (bytes - awaitedBytes) * BYTE_NS, heardAt);
            long left = earned + REQUEST_NS - System.nanoTime();
            if (left > 0) {
                patience = loop.schedule(this::hurry, left, TimeUnit.NANOSECONDS);
            } else {
                drop(receiving ? "unfinished request" : "no request");
            }
        }

        private void requestCame() {
            if (patience != null) {
                patience.cancel(false);
                patience = null;
            }
        }

        private void drop(String why) {
            events.tell(Events.Kind.DROPPED, null, () -> why + ", " + this);
            newcomers.remove(this);
            idle.remove(this);
            if (receiving && !busy) {
                plain(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time", false);
            } else {
                channel.close();
            }
        }

        void drained() {
            events.tell(Events.Kind.DROPPED, null, () -> "drained, " + this);
            shut();
        }

        /**
         * Ends a connection: what still comes on it is not handled, its client sends it elsewhere.
         */
        void shut() {
            newcomers.remove(this);
            idle.remove(this);
            requestCame();
            closing = true;
            if (channel.isActive()) {
                ending.add(this);
                linger(END_MS);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part instanceof HttpRequest start) {
                begin(start);
            }
            if (part instanceof HttpContent content && head != null) {
                gather(content);
            }
        }

        private void begin(HttpRequest start) {
            head = start;
            bytes = 0;
            awaitedBytes = 0;
            heardAt = System.nanoTime();
            if (!start.decoderResult().isSuccess()) {
                // As far as it goes: nothing can follow it
                whole();
            } else if (HttpUtil.getContentLength(start, 0L) > BODY_MOST) {
                head = null;
                turnAway(start, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else if (!busy && HttpUtil.is100ContinueExpected(start)) {
                channel.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.CONTINUE,
                                Unpooled.EMPTY_BUFFER));
            }
        }

        private void gather(HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            if (content.content().isReadable()) {
                bytes += content.content().readableBytes();
                heardAt = System.nanoTime();
            }
            if (!content.decoderResult().isSuccess()) {
                broken(content.decoderResult());
                return;
            }
            if (bytes > BODY_MOST) {
                HttpRequest request = head;
                breakOff();
                turnAway(request, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                return;
            }
            if (upload == null && bytes > WHOLE_MOST) {
                upload = new Relay(channel, budget, true, () -> {});
                if (gathered != null) {
                    upload.add(gathered);
                    gathered = null;
                }
                if (!busy) {
                    upload();
                }
            }
            if (upload != null && last) {
                upload.end(content.content().retain());
            } else if (upload != null) {
                upload.add(content.content().retain());
            } else if (content.content().isReadable()) {
                if (gathered == null) {
                    gathered =
                            channel.alloc()
                                    .heapBuffer(Math.min(WHOLE_MOST, content.content().capacity()));
                }
                gathered.writeBytes(content.content());
            }
            if (last && upload != null) {
                uploaded();
            } else if (last) {
                whole();
            }
        }

        // What has come of a request, without the rest of it.
        private void forget() {
            head = null;
            if (gathered != null) {
                gathered.release();
                gathered = null;
            }
        }

        private void whole() {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            head.protocolVersion(),
                            head.method(),
                            head.uri(),
                            gathered == null ? Unpooled.EMPTY_BUFFER : gathered,
                            head.headers(),
                            EmptyHttpHeaders.INSTANCE);
            request.setDecoderResult(head.decoderResult());
            head = null;
            gathered = null;
            came(request);
            request.release();
        }

        // A body that can't be read: its request never was a whole one.
        private void broken(DecoderResult result) {
            if (upload == null) {
                head.setDecoderResult(result);
                whole();
            } else {
                HttpRequest request = head;
                breakOff();
                turnAway(request, HttpResponseStatus.BAD_REQUEST);
            }
        }

        private void breakOff() {
            forget();
            if (upload != null) {
                Relay cut = upload;
                upload = null;
                if (uploading) {
                    uploading = false;
                    busy = false;
                    Dispatcher.Taken left = taken;
                    taken = null;
                    if (left != null) {
                        left.gone();
                    }
                }
                cut.cut();
            }
        }

        // Hands a request over whose body is still coming, as a rule.
        private void upload() {
            uploading = !behind;
            busy = true;
            requests++;
            current = head.headers().get("Req-Id");
            String path = head.uri();
            if (path.startsWith("/-/")) {
                plain(HttpResponseStatus.NOT_FOUND, "not found", false);
            } else {
                take(
                        head,
                        new byte[0],
                        upload,
                        HttpUtil.getContentLength(head, -1L),
                        HttpUtil.isKeepAlive(head));
            }
            if (behind) {
                behind = false;
                handedOver();
            }
        }

        private void uploaded() {
            receiving = false;
            requestCame();
            if (uploading) {
                handedOver();
            } else {
                behind = true;
                // Once it has been answered
                closing = true;
            }
        }

        private void handedOver() {
            uploading = false;
            upload = null;
            head = null;
            if (taken != null) {
                taken.whole();
            }
        }

        private void came(FullHttpRequest request) {
            receiving = false;
            requestCame();
            if (!busy) {
                // Handled after all that this turn of the loop reads: a client may have left behind
                // its
                // request, while it waited in the backlog or for this process, and nothing is sent
                // for it.
                busy = true;
                due = true;
                ahead.add(request.retain());
                loop.execute(this::answered);
                return;
            }
            events.tell(
                    Events.Kind.PIPELINED,
                    request.headers().get("Req-Id"),
                    () -> "behind " + current + ", " + this);
            if (ahead.size() < (due ? PIPELINED_MOST + 1 : PIPELINED_MOST)) {
                ahead.add(request.retain());
            } else {
                // Once those before it have been answered
                closing = true;
            }
        }

        private void handle(FullHttpRequest request) {
            busy = true;
            requests++;
            current = request.headers().get("Req-Id");
            boolean keep = HttpUtil.isKeepAlive(request);
            String path = request.uri();
            if (!request.decoderResult().isSuccess()) {
                reject(request, "malformed: " + request.decoderResult().cause());
                plain(HttpResponseStatus.BAD_REQUEST, "malformed request", false);
            } else if (rehearsal != null && path.equals(Rehearsal.HOP)) {
                boolean declined = rehearsal.declines();
                write(
                        declined ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                        Unpooled.wrappedBuffer(new byte[256]),
                        null,
                        declined ? "Srv-Declined" : "Srv-Load",
                        declined ? "1" : "TEXT eps=0.1, latency_ms=14.5, inflight=2",
                        keep);
            } else if (path.startsWith("/-/")
                    && (rehearsal == null || !path.equals(Rehearsal.PATH))) {
                boolean asked = path.equals("/-/ready") && request.method().equals(HttpMethod.GET);
                HttpResponseStatus status =
                        !asked
                                ? HttpResponseStatus.NOT_FOUND
                                : isReady()
                                        ? HttpResponseStatus.OK
                                        : HttpResponseStatus.SERVICE_UNAVAILABLE;
                plain(status, !asked ? "not found" : isReady() ? "ready" : "not ready", keep);
            } else {
                take(
                        request,
                        ByteBufUtil.getBytes(request.content()),
                        null,
                        request.content().readableBytes(),
                        keep);
            }
        }

        private void take(HttpRequest request, byte[] body, Relay by, long length, boolean keep) {
            Order order;
            try {
                order = orders.read(request, body, by, length);
            } catch (IllegalArgumentException e) {
                reject(request, e.getMessage());
                plain(HttpResponseStatus.BAD_REQUEST, e.getMessage(), false);
                return;
            }
            newcomers.remove(this);
            version = request.protocolVersion();
            Answer answer = new Answer(this, keep);
            Dispatcher.Taken told =
                    request.uri().equals(Rehearsal.PATH)
                            ? rehearsal.dispatcher().take(order.to(Rehearsal.HOP), answer)
                            : dispatcher.take(order, answer);
            if (!answer.given) {
                taken = told;
            }
        }

        // Turns away what is not yet a whole request. Where earlier ones are still owed their
        // answers, the
        // end of the connection after the last of them has to do.
        private void turnAway(HttpRequest request, HttpResponseStatus status) {
            reject(request, status.toString());
            requestCame();
            if (!busy) {
                plain(status, status.reasonPhrase(), false);
            }
            closing = true;
        }

        private void reject(HttpRequest request, String why) {
            events.tell(
                    Events.Kind.REJECTED, request.headers().get("Req-Id"), () -> why + ", " + this);
        }

        @Override
        public String toString() {
            return "client " + number + " request " + requests;
        }

        private void plain(HttpResponseStatus status, String text, boolean keep) {
            ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
            write(status, body, "text/plain", null, null, keep);
        }

        private void write(
                HttpResponseStatus status,
                ByteBuf body,
                String type,
                String header,
                String value,
                boolean keep) {
            taken = null;
            busy = true;
            // The client is still sending: it may not listen yet
            boolean early = uploading;
            if (early) {
                uploading = false;
                upload.discard();
            }
            boolean stay = stays(keep) && !early;
            closing |= !keep || early;
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            if (type != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            }
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (value != null) {
                response.headers().set(header, value);
            }
            if (!stay) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = channel.writeAndFlush(response);
            // Guards against peers that take no answers in: those would be kept in memory.
            Future<?> stuck =
                    written.isDone()
                            ? null
                            : loop.schedule(
                                    () -> drop("answer not taken in"),
                                    ANSWER_MS,
                                    TimeUnit.MILLISECONDS);
            written.addListener(
                    done -> {
                        if (stuck != null) {
                            stuck.cancel(false);
                        }
                        if (early && done.isSuccess()) {
                            linger(LINGER_MS);
                        } else {
                            written(stay && done.isSuccess());
                        }
                    });
        }

        private boolean stays(boolean keep) {
            boolean more = !ahead.isEmpty() || upload != null && !uploading;
            return keep && (more || !stopping && !draining && !closing);
        }

        private void written(boolean stay) {
            if (!stay) {
                shut();
            } else if (ahead.isEmpty()) {
                answered();
            } else {
                // Not from within what is handled now
                loop.execute(this::answered);
            }
        }

        // Closed with input unread, the connection would be reset, and the answer lost with it.
        private void linger(long most) {
            if (!channel.isActive() || !(channel instanceof DuplexChannel duplex)) {
                channel.close();
                return;
            }
            if (duplex.isOutputShutdown()) {
                return;
            }
            Future<?> end = loop.schedule(() -> channel.close(), most, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(closed -> end.cancel(false));
            // Its client's end must be seen
            channel.config().setAutoRead(true);
            duplex.shutdownOutput();
        }

        /** Passes a long answer on as it comes. */
        private void pass(
                long length, String type, Relay body, boolean keep, Consumer<Boolean> over) {
            boolean counted = length >= 0 || version.isKeepAliveDefault();
            boolean stay = stays(keep && counted);
            closing |= !stay;
            HttpResponse start =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            if (type != null) {
                start.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            }
            if (length >= 0) {
                HttpUtil.setContentLength(start, length);
            } else if (counted) {
                HttpUtil.setTransferEncodingChunked(start, true);
            }
            if (!stay) {
                start.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            if (channel instanceof SocketChannel socket) {
                // Else it moves in steps of many seconds
                socket.config().setSendBufferSize(SEND_MOST);
            }
            download = body;
            channel.write(start);
            body.to(
                    channel,
                    new Relay.Sink() {
                        @Override
                        public void whole() {
                            taken = null;
                            download = null;
                            over.accept(true);
                            written(stay);
                        }

                        @Override
                        public void cut() {
                            download = null;
                            over.accept(false);
                            if (!counted && channel instanceof SocketChannel socket) {
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
                download.flow();
            }
        }

        private void answered() {
            if (!channel.isActive() || !ahead.isEmpty() && hasLeft()) {
                // Its client has left, and nothing is owed any more
                return;
            }
            busy = false;
            due = false;
            FullHttpRequest next = ahead.poll();
            if (next != null) {
                handle(next);
                next.release();
            } else if (upload != null) {
                upload();
            } else if (closing || stopping || draining) {
                shut();
            } else if (receiving || decoder.holdsBytes()) {
                receiving = true;
                awaitRequest();
            } else if (channel.isActive()) {
                idle.add(this);
                if (again != null) {
                    makeRoom();
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }

        /** Notes that a request has begun to come in: its connection is not at rest. */
        private final class Arrivals extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                if (closing) {
                    // Not worth decoding
                    ReferenceCountUtil.release(bytes);
                    return;
                }
                receiving = true;
                idle.remove(Client.this);
                if (newcomers.remove(Client.this)) {
                    newcomers.add(Client.this);
                    movedAt = System.nanoTime();
                }
                if (!busy) {
                    awaitRequest();
                }
                context.fireChannelRead(bytes);
            }
        }

        /**
         * The first to see what has been decoded: drops what follows the end of a connection's
         * requests.
         */
        private final class Gate extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object part) {
                receiving = true;
                if (closing) {
                    ReferenceCountUtil.release(part);
                } else if (part instanceof HttpRequest request && expectsTheUnknown(request)) {
                    turnAway(request, HttpResponseStatus.EXPECTATION_FAILED);
                } else {
                    context.fireChannelRead(part);
                }
            }
        }

        private static boolean expectsTheUnknown(HttpRequest request) {
            return request.headers().contains(HttpHeaderNames.EXPECT)
                    && !HttpUtil.is100ContinueExpected(request);
        }
    }

    /** The final answer to one request; the dispatcher gives it once. */
    private static final class Answer implements Dispatcher.Reply {
        private final Client client;
        private final boolean keep;
        private boolean given;

        Answer(Client client, boolean keep) {
            this.client = client;
            this.keep = keep;
        }

        @Override
        public boolean isAwaited() {
            return !client.hasLeft();
        }

        @Override
        public void serve(FullHttpResponse answer) {
            given = true;
            client.write(
                    HttpResponseStatus.OK,
                    answer.content().retain(),
                    answer.headers().get(HttpHeaderNames.CONTENT_TYPE),
                    null,
                    null,
                    keep);
        }

        @Override
        public void serve(HttpResponse head, long length, Relay body, Consumer<Boolean> over) {
            client.pass(length, head.headers().get(HttpHeaderNames.CONTENT_TYPE), body, keep, over);
        }

        @Override
        public void refuse(long retryAfter) {
            given = true;
            String seconds =
                    retryAfter <= 0 ? null : String.format(Locale.ROOT, "%.3f", retryAfter / 1e6);
            client.write(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    Unpooled.copiedBuffer(
                            "refused: trying again is harmless\n", StandardCharsets.UTF_8),
                    "text/plain",
                    "Retry-After",
                    seconds,
                    keep);
        }

        @Override
        public void fail() {
            given = true;
            client.plain(HttpResponseStatus.BAD_GATEWAY, "failed", keep);
        }
    }
}
