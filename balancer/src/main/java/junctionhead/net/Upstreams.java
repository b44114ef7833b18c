package junctionhead.net;

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
import junctionhead.LoadReport;
import junctionhead.Policy;
import junctionhead.Policy.Outcome;
import junctionhead.SettingsReader;

/**
 * The connections to the upstreams, one request at a time on each, and what becomes of each
 * request.
 */
final class Upstreams {
    // Of an answer that is passed on only when it is whole
    private static final int WHOLE_MOST = 64 * 1024;
    // Bytes at a time
    private static final int READ_MOST = 32 * 1024;
    // For an answer of unknown length to be whole
    private static final long GATHER_MS = 100;
    // µs after an answer in which another one is better
    private static final long REST = 10_000;
    // Of the time after which upstreams close an idle one
    private static final double IDLE_SHARE = 0.5;
    // µs before the grace is over: the clock is not shared
    private static final long DRAIN_MARGIN = 50_000;
    // µs after its grace that a stopped upstream is kept
    private static final long FORGET = 60_000_000;
    // Where the settings give no limit
    private static final int CONNECT_MS = 1_000;

    /**
     * How a request to an upstream ended; {@code answer} is null but for OK, and the caller's to
     * release.
     */
    interface Listener {
        /**
         * Whether it may still be written, asked right before its first byte where it had to wait
         * for a connection; where not, it ends as NOT_SENT.
         */
        default boolean mayBegin() {
            return true;
        }

        void ended(Outcome outcome, FullHttpResponse answer, Policy.Load load);

        /**
         * A long 200 answer has begun, and comes by {@code body}; {@code length} is -1 where it is
         * not known. Its end is told by {@link #ended}, without an answer.
         */
        default void begun(HttpResponse head, long length, Relay body, Policy.Load load) {
            body.discard();
        }
    }

    private static final class Upstream {
        final String id;
        InetSocketAddress endpoint;
        // When the grace of its drain is over
        long stopAt = Long.MAX_VALUE;
        // The most recently used last
        final ArrayDeque<Connection> idle = new ArrayDeque<>(0);

        Upstream(String id) {
            this.id = id;
        }

        // The one that was used last of those that rest since before {@code then}, else that which
        // has rested
        // for longest; null where none is idle. Guards against second answers that come a little
        // late: on a
        // connection that was used again at once they were taken for the next request's.
        Connection rested(long then) {
            if (idle.isEmpty() || idle.peekFirst().idleSince > then) {
                return idle.pollFirst();
            }
            Connection last = idle.pollLast();
            ArrayDeque<Connection> later = new ArrayDeque<>();
            while (last.idleSince > then) {
                later.addFirst(last);
                last = idle.pollLast();
            }
            idle.addAll(later);
            return last;
        }
    }

    private final EventLoop loop;
    private final SettingsReader.Boot boot;
    private final Descriptors descriptors;
    private final LongSupplier clock;
    private final Events events;
    private final Metrics metrics;
    private final Relay.Budget budget;
    // Where all upstreams are within this process, or null
    private final SocketAddress inside;
    private final Bootstrap bootstrap;
    private final long idleMost;
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final Set<String> inList = new HashSet<>();
    private Future<?> sweep;
    private int open;

    Upstreams(
            EventLoop loop,
            SettingsReader.Boot boot,
            Descriptors descriptors,
            LongSupplier clock,
            Events events,
            Metrics metrics,
            Relay.Budget budget) {
        this(loop, boot, descriptors, clock, events, metrics, budget, null);
    }

    /** Where {@code inside} is not null every upstream is there, in this process. */
    Upstreams(
            EventLoop loop,
            SettingsReader.Boot boot,
            Descriptors descriptors,
            LongSupplier clock,
            Events events,
            Metrics metrics,
            Relay.Budget budget,
            LocalAddress inside) {
        this.loop = loop;
        this.boot = boot;
        this.descriptors = descriptors;
        this.clock = clock;
        this.events = events;
        this.metrics = metrics;
        this.budget = budget;
        this.inside = inside;
        this.idleMost =
                boot.idleClose() > 0 ? (long) (boot.idleClose() * IDLE_SHARE) : Long.MAX_VALUE;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(64, 2048, READ_MOST))
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis());
        if (inside == null) {
            bootstrap.channelFactory(WatchedChannel::new).option(ChannelOption.TCP_NODELAY, true);
        } else {
            bootstrap.channel(LocalChannel.class);
        }
        if (idleMost < Long.MAX_VALUE) {
            long every = Math.max(10_000, Math.min(1_000_000, idleMost / 10));
            sweep =
                    loop.scheduleWithFixedDelay(
                            this::closeOld, every, every, TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public String toString() {
        return open
                + " upstreams' ("
                + upstreams.values().stream().mapToInt(u -> u.idle.size()).sum()
                + " at rest)";
    }

    private int connectMillis() {
        long limit = boot.settings().limits().connectTimeout();
        return limit > 0
                ? (int) Math.max(1, Math.min(Integer.MAX_VALUE, limit / 1000))
                : CONNECT_MS;
    }

    // ---------------------------------------------------------------- the list

    /** How many the list holds, those that finish their work included. */
    int inList() {
        return inList.size();
    }

    void listed(Targets targets, long now) {
        Set<String> named = new HashSet<>();
        if (targets.all()) {
            inList.clear();
        }
        for (Targets.Target t : targets.list()) {
            named.add(t.server().id());
            if (t.server().state() == Policy.State.GONE) {
                inList.remove(t.server().id());
            } else {
                inList.add(t.server().id());
            }
            Upstream u = upstreams.computeIfAbsent(t.server().id(), Upstream::new);
            if (t.endpoint() != null && !t.endpoint().equals(u.endpoint)) {
                closeIdle(u);
                u.endpoint = t.endpoint();
            }
            if (t.server().state() == Policy.State.UP) {
                u.stopAt = Long.MAX_VALUE;
            } else {
                stop(u, now);
            }
        }
        if (targets.all()) {
            upstreams.values().stream()
                    .filter(u -> !named.contains(u.id))
                    .forEach(u -> stop(u, now));
        }
    }

    private void stop(Upstream u, long now) {
        long grace = boot.settings().bounds().drainGrace();
        u.stopAt = Math.min(u.stopAt, now + Math.max(0, grace - Math.min(DRAIN_MARGIN, grace / 2)));
        closeIdle(u);
    }

    // ---------------------------------------------------------------- attempts and probes

    /** Sends a request; {@code wait} is how long the balancer will wait for its answer, in µs. */
    Call send(String server, Order order, long wait, Listener listener) {
        return start(server, new Call(order, Math.max(1, wait / 1000), listener));
    }

    /** Asks an upstream how it is; gives up after the time that a connection may take. */
    void probe(String server, boolean report, Listener listener) {
        Order order =
                new Order(
                        HttpMethod.GET,
                        report ? "/-/load" : "/-/healthy",
                        EmptyHttpHeaders.INSTANCE,
                        new byte[0],
                        -1,
                        0,
                        null,
                        0,
                        -1,
                        false);
        Call call = new Call(order, 0, listener);
        call.timer =
                loop.schedule(
                        () -> {
                            boolean asked = call.giveUp();
                            listener.ended(
                                    asked ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, null, null);
                        },
                        connectMillis(),
                        TimeUnit.MILLISECONDS);
        start(server, call);
    }

    private Call start(String server, Call call) {
        Upstream u = upstreams.get(server);
        if (u == null || u.endpoint == null || clock.getAsLong() >= u.stopAt) {
            call.end(Outcome.NOT_SENT, null, null);
            return call;
        }
        Connection ready = u.rested(clock.getAsLong() - REST);
        while (ready != null && !ready.usable()) {
            ready.close();
            ready = u.rested(clock.getAsLong() - REST);
        }
        if (ready != null) {
            ready.write(call);
        } else {
            dial(u, call);
        }
        return call;
    }

    private void dial(Upstream u, Call call) {
        if (descriptors.full() && !shedIdle()) {
            call.end(Outcome.CONNECT_FAILED, null, null);
            return;
        }
        Connection connection = new Connection(u);
        connection.call = call;
        call.connection = connection;
        descriptors.opened();
        open++;
        ChannelFuture connected =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        connection.new Arrivals(),
                                                        connection.decoder,
                                                        new HttpRequestEncoder(),
                                                        connection);
                                    }
                                })
                        .connect(inside == null ? u.endpoint : inside);
        connection.channel = connected.channel();
        connection.channel.closeFuture().addListener(closed -> connection.closed());
        connected.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        connection.finish(Outcome.CONNECT_FAILED, null, null);
                        connection.channel.close();
                    } else {
                        begin(connection);
                    }
                });
    }

    // What holds is the instant of the write: the list, or what the request allows, may have
    // changed while it
    // waited for its connection, and its attempt may be given up as it is asked for.
    private void begin(Connection connection) {
        Call waiting = connection.call;
        boolean begins =
                waiting != null
                        && clock.getAsLong() < connection.upstream.stopAt
                        && waiting.listener.mayBegin();
        if (begins && connection.call != null) {
            connection.write(waiting);
            return;
        }
        Call late = connection.call;
        connection.call = null;
        // The handshake is paid for
        connection.rest();
        if (late != null) {
            late.end(Outcome.NOT_SENT, null, null);
        }
    }

    // ---------------------------------------------------------------- idle connections

    void closeIdle(String server) {
        Upstream u = upstreams.get(server);
        if (u != null) {
            closeIdle(u);
        }
    }

    private static void closeIdle(Upstream u) {
        for (Connection c = u.idle.pollFirst(); c != null; c = u.idle.pollFirst()) {
            c.close();
        }
    }

    // Closes connections well before their upstream does: a request written to a dying one is a
    // reset, which
    // may have run, and most classes can't be sent again then.
    private void closeOld() {
        // Guards against a table that grows with every machine that comes and goes.
        long now = clock.getAsLong();
        upstreams.values().removeIf(u -> u.stopAt < now - FORGET);
        for (Upstream u : upstreams.values()) {
            while (!u.idle.isEmpty() && !u.idle.peekFirst().usable()) {
                u.idle.pollFirst().close();
            }
        }
    }

    /** Closes all that is idle, now and from here on. */
    void close() {
        if (sweep != null) {
            sweep.cancel(false);
        }
        for (Upstream u : upstreams.values()) {
            u.stopAt = Long.MIN_VALUE;
            closeIdle(u);
        }
    }

    /** Closes the connection that has been idle for longest; false where none is. */
    boolean shedIdle() {
        Connection oldest = null;
        for (Upstream u : upstreams.values()) {
            Connection c = u.idle.peekFirst();
            if (c != null && (oldest == null || c.idleSince < oldest.idleSince)) {
                oldest = c;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.upstream.idle.pollFirst();
        oldest.close();
        return true;
    }

    /** A request on its way to an upstream. */
    static final class Call {
        private final Order order;
        // 0: not told to the upstream
        private final long waitMillis;
        private final Listener listener;
        private Connection connection;
        private Future<?> timer;
        private boolean ended;

        private Call(Order order, long waitMillis, Listener listener) {
            this.order = order;
            this.waitMillis = waitMillis;
            this.listener = listener;
        }

        /**
         * Stops waiting and tells nobody; a connection that holds any of the request is closed.
         *
         * @return whether the request may have run: its last byte has been written
         */
        boolean giveUp() {
            Connection c = connection;
            if (ended || c == null) {
                return false;
            }
            ended = true;
            boolean mayHaveRun = c.written;
            c.call = null;
            connection = null;
            if (c.begun) {
                c.close();
            }
            return mayHaveRun;
        }

        private boolean isProbe() {
            return waitMillis == 0;
        }

        private void end(Outcome outcome, FullHttpResponse answer, Policy.Load load) {
            if (timer != null) {
                timer.cancel(false);
            }
            if (!ended) {
                ended = true;
                connection = null;
                listener.ended(outcome, answer, load);
            }
        }

        private HttpRequest message(InetSocketAddress to) {
            HttpRequest message =
                    order.upload() != null
                            ? new DefaultHttpRequest(
                                    HttpVersion.HTTP_1_1, order.method(), order.uri())
                            : new DefaultFullHttpRequest(
                                    HttpVersion.HTTP_1_1,
                                    order.method(),
                                    order.uri(),
                                    Unpooled.wrappedBuffer(order.body()));
            message.headers().add(order.headers());
            if (!message.headers().contains(HttpHeaderNames.HOST)) {
                message.headers()
                        .set(
                                HttpHeaderNames.HOST,
                                to.getAddress().getHostAddress() + ":" + to.getPort());
            }
            if (waitMillis > 0) {
                message.headers().set(OrderReader.DEADLINE, Long.toString(waitMillis));
            }
            if (order.length() < 0) {
                HttpUtil.setTransferEncodingChunked(message, true);
            } else if (order.length() > 0 || !order.method().equals(HttpMethod.GET)) {
                HttpUtil.setContentLength(message, order.length());
            }
            return message;
        }
    }

    /** One connection; it carries one request at a time, and is idle where {@code call} is null. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Upstream upstream;
        private Channel channel;
        private Call call;
        // Some of the request may have been written
        private boolean begun;
        // All of it has been
        private boolean written;
        private long idleSince;
        // Of the answer that comes, null between answers
        private HttpResponse head;
        // Of its body, until it is whole or too long for that
        private ByteBuf gathered;
        // For how long, where its length is not known
        private Future<?> gathering;
        // Or the way that it is passed on
        private Relay download;
        // An answer, until all that came with it has been read
        private FullHttpResponse whole;
        // A long one has ended: the same
        private boolean passed;
        // Others have come behind it
        private boolean more;
        // Nothing more that comes can be trusted
        private boolean broken;
        private final Framing.Answers decoder = new Framing.Answers();

        Connection(Upstream upstream) {
            this.upstream = upstream;
        }

        boolean usable() {
            return channel.isActive()
                    && clock.getAsLong() - idleSince < idleMost
                    && !(channel instanceof WatchedChannel watched && watched.hasUnread());
        }

        void write(Call next) {
            call = next;
            next.connection = this;
            begun = true;
            written = false;
            if (next.order.upload() != null) {
                channel.write(next.message(upstream.endpoint));
                next.order
                        .upload()
                        .to(
                                channel,
                                new Relay.Sink() {
                                    @Override
                                    public void whole() {
                                        written(next, true);
                                    }

                                    @Override
                                    public void cut() {
                                        // The client left: its request never was a whole one
                                        close();
                                    }
                                });
            } else {
                channel.writeAndFlush(next.message(upstream.endpoint))
                        .addListener(done -> written(next, done.isSuccess()));
            }
        }

        private void written(Call next, boolean all) {
            if (all && !next.isProbe()) {
                metrics.sent();
            }
            if (call == next) {
                written = all;
                if (!written) {
                    finish(Outcome.CONNECT_FAILED, null, null);
                    close();
                }
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (call != null && call.order.upload() != null) {
                call.order.upload().flow();
            }
        }

        void rest() {
            begun = false;
            written = false;
            idleSince = clock.getAsLong();
            if (upstream.stopAt < Long.MAX_VALUE) {
                close();
            } else {
                upstream.idle.addLast(this);
            }
        }

        void finish(Outcome outcome, FullHttpResponse answer, Policy.Load load) {
            Call ending = call;
            call = null;
            if (ending != null) {
                ending.end(outcome, answer, load);
            }
        }

        void close() {
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (call == null || broken) {
                // Given up meanwhile
                return;
            }
            if (!part.decoderResult().isSuccess()) {
                unreadable(part.decoderResult().toString());
            } else if (whole != null || passed) {
                more = true;
            } else {
                if (part instanceof HttpResponse start) {
                    head = start;
                }
                if (part instanceof HttpContent content && head != null) {
                    gather(content);
                }
            }
        }

        private void gather(HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                head = last ? null : head;
                return;
            }
            if (download == null && gathered == null) {
                gathered = channel.alloc().heapBuffer();
                if (length() < 0 && !last) {
                    gathering = loop.schedule(this::pass, GATHER_MS, TimeUnit.MILLISECONDS);
                }
            }
            if (download != null) {
                download.add(content.content().retain());
            } else if (gathered.readableBytes() + content.content().readableBytes() <= WHOLE_MOST) {
                gathered.writeBytes(content.content());
                if (length() > WHOLE_MOST) {
                    pass();
                }
            } else {
                pass();
                if (download != null) {
                    download.add(content.content().retain());
                }
            }
            if (last && download != null) {
                passed = true;
            } else if (last && gathered != null) {
                stopGathering();
                whole =
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                head.status(),
                                gathered,
                                head.headers(),
                                EmptyHttpHeaders.INSTANCE);
                gathered = null;
            }
        }

        private long length() {
            return HttpUtil.getContentLength(head, -1L);
        }

        private void stopGathering() {
            if (gathering != null) {
                gathering.cancel(false);
                gathering = null;
            }
        }

        // Passes a 200 answer on as it comes; of any other the status has told all.
        private void pass() {
            stopGathering();
            ByteBuf begin = gathered;
            if (call == null || broken || begin == null) {
                return;
            }
            if (head.status().code() != 200 || call.isProbe()) {
                begin.clear();
                return;
            }
            if (!written) {
                unreadable("served before the request was written");
                return;
            }
            gathered = null;
            download = new Relay(channel, budget, false, this::close);
            download.add(begin);
            call.listener.begun(
                    head, length(), download, LoadReport.parse(head.headers().get("Srv-Load")));
        }

        // An answer with a part of something behind it was not as long as its upstream meant. With
        // whole ones
        // behind it the first is this request's, and the connection ends with it.
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            FullHttpResponse answer = whole;
            if (passed && !broken) {
                passedOn();
            }
            if (answer == null) {
                return;
            }
            whole = null;
            try {
                if (decoder.holdsBytes()) {
                    unreadable("more behind it");
                } else if (call != null && !broken) {
                    if (more) {
                        tellUnreadable("more than one, the first is passed on");
                    }
                    answered(answer);
                }
            } finally {
                answer.release();
            }
        }

        // The whole of a long answer has come; the client may still be taking it in.
        private void passedOn() {
            boolean keep =
                    HttpUtil.isKeepAlive(head)
                            && !more
                            && !decoder.holdsBytes()
                            && channel.isActive();
            Relay ending = download;
            Call answered = call;
            forget();
            call = null;
            if (keep) {
                rest();
            } else {
                close();
            }
            ending.end();
            if (answered != null) {
                answered.end(Outcome.OK, null, null);
            }
        }

        private void answered(FullHttpResponse answer) {
            if (!written && answer.status().code() == 200) {
                unreadable("served before the request was written");
                return;
            }
            Call answered = call;
            boolean early = !written;
            forget();
            call = null;
            // Back among the idle before the module hears of it: its next send may want this one.
            if (HttpUtil.isKeepAlive(answer) && !more && !early && channel.isActive()) {
                rest();
            } else {
                close();
            }
            if (early) {
                answered.order.upload().discard();
            }
            String report = answer.headers().get("Srv-Load");
            if (report == null && answered.isProbe()) {
                // Of a probe
                report = answer.content().toString(StandardCharsets.UTF_8);
            }
            answered.end(classify(answer), answer, LoadReport.parse(report));
        }

        private void forget() {
            stopGathering();
            if (gathered != null) {
                gathered.release();
                gathered = null;
            }
            head = null;
            download = null;
            passed = false;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                unreadable(String.valueOf(cause));
            }
            // What the end of input would make whole is not
            broken = true;
            // What became of the request is told in closed()
            close();
        }

        // After the decoder has given what the end of the connection makes whole.
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            lost();
        }

        // Ends the connection and, in closed(), what it carries as an attempt that may have run.
        private void unreadable(String why) {
            if (!broken) {
                broken = true;
                tellUnreadable(why);
                close();
            }
        }

        private void tellUnreadable(String why) {
            events.tell(
                    Events.Kind.UNREADABLE,
                    call == null ? null : call.order.id(),
                    () -> "answer of " + upstream.id + ": " + why);
        }

        // The line between what never ran and what may have is the request's last byte.
        private void closed() {
            descriptors.closed();
            open--;
            upstream.idle.remove(this);
            if (call != null && !begun) {
                finish(Outcome.CONNECT_FAILED, null, null);
            }
        }

        private void lost() {
            if (whole != null) {
                whole.release();
                whole = null;
            }
            Relay cut = download;
            Relay unsent = call == null ? null : call.order.upload();
            forget();
            if (cut != null) {
                cut.cut();
            }
            if (unsent != null) {
                unsent.discard();
            }
            finish(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null, null);
        }

        /**
         * Sees bytes before they are decoded. Guards against answers that nobody asked for: kept in
         * the decoder, or read just after the next request was written, one was passed on as that
         * request's.
         */
        private final class Arrivals extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                if (call == null || !written && call.order.upload() == null) {
                    unreadable(call == null ? "nobody asked" : "before the request was written");
                }
                if (broken) {
                    ReferenceCountUtil.release(bytes);
                } else {
                    context.fireChannelRead(bytes);
                }
            }
        }
    }

    // Turned away unseen only where the upstream says so itself; any other failure may have run.
    private static Outcome classify(FullHttpResponse answer) {
        int status = answer.status().code();
        if (status == 200) {
            return Outcome.OK;
        }
        boolean declined = "1".equals(answer.headers().get("Srv-Declined"));
        return declined && (status == 503 || status == 504) ? Outcome.FULL : Outcome.ERROR;
    }
}
