package junctionhead.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import junctionhead.Policy;
import junctionhead.SettingsReader;

/** The HTTP side to the clients: takes requests, turns bad ones away, and writes each one's final answer. */
final class ClientServer {
    static final String DEADLINE = "Req-Deadline-Ms";
    private static final int BACKLOG = 1024;
    private static final int PIPELINED_MOST = 16;   // requests that a client may send ahead on a connection
    private static final long REQUEST_MS = 2_200;   // for a first request, or one that has begun, to be whole
    private static final long ANSWER_MS = 2_200;    // for an answer to be taken in
    private static final long DRAIN_FIRST_MS = 600; // after a drain's begin, until connections at rest go
    private static final long DRAIN_EVERY_MS = 400;
    private static final long GREETING_NS = 300_000_000; // after it a silent newcomer may have to make room
    private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
        "expect", "content-length", DEADLINE.toLowerCase(Locale.ROOT));

    private final EventLoop loop;
    private final SettingsReader.Boot boot;
    private final Dispatcher dispatcher;
    private final Descriptors descriptors;
    private final BooleanSupplier shedIdleUpstream;
    private final Events events;
    private final Set<Client> idle = new LinkedHashSet<>(); // the longest idle first
    private final Set<Client> newcomers = new LinkedHashSet<>(); // no proper request yet, the oldest first
    private Channel listener;
    private int open;
    private Future<?> again;                        // while new ones wait for room
    private long clients;                           // that have ever connected
    private boolean ready;
    private boolean stopping;
    private boolean draining;                       // told by operators, who may take it back
    private boolean accepting;
    private Future<?> emptying;                     // the next look at connections that a drain leaves
    private Rehearsal rehearsal;                    // while it is on
    private Channel inside;                         // where a rehearsal reaches this node, or null

    ClientServer(EventLoop loop, SettingsReader.Boot boot, Dispatcher dispatcher, Descriptors descriptors,
            BooleanSupplier shedIdleUpstream, Events events) {
        this.loop = loop;
        this.boot = boot;
        this.dispatcher = dispatcher;
        this.descriptors = descriptors;
        this.shedIdleUpstream = shedIdleUpstream;
        this.events = events;
    }

    /** Listens; called from another thread than the loop's, and returns the address in use. */
    InetSocketAddress listen(InetSocketAddress at) throws IOException {
        accepting = true;
        return started(bootstrap(new NioServerSocketChannel()).option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true).bind(at));
    }

    /** Takes over a socket that listens already, as others may; accepts nothing until it is ready. */
    InetSocketAddress listen(ServerSocketChannel inherited) throws IOException {
        return started(bootstrap(new NioServerSocketChannel(inherited))
            .option(ChannelOption.AUTO_READ, false).register());
    }

    private ServerBootstrap bootstrap(NioServerSocketChannel channel) {
        return new ServerBootstrap().group(loop, loop).channelFactory(() -> channel)
                // Known before it listens: on a slow machine a connection came in before bind had returned
                // to the starting thread, found no listener, and was dropped unanswered.
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        listener = channel;
                    }
                })
                .childOption(ChannelOption.TCP_NODELAY, true).childHandler(newClients());
    }

    private ChannelInitializer<Channel> newClients() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                Client client = new Client(channel);
                channel.pipeline().addLast(client.new Arrivals(), client.decoder,
                    new HttpResponseEncoder(), client.new Gate(), client.new Bodies(), client);
                client.opened();
            }
        };
    }

    private static InetSocketAddress started(ChannelFuture starting) throws IOException {
        try {
            if (Thread.interrupted()) {
                throw new InterruptedException();   // sync() looks only while the bind is still under way
            }
            return (InetSocketAddress) starting.sync().channel().localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    @Override
    public String toString() {
        return open + " clients' (" + newcomers.size() + " new, " + idle.size() + " at rest)";
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
        ChannelFuture binding = new ServerBootstrap().group(loop, loop).channel(LocalServerChannel.class)
            .childHandler(newClients()).bind(at);
        inside = binding.channel();
        binding.addListener(bound -> then.run());
    }

    /** From here on answers end their connections; new ones are still taken, unless another process does. */
    void stopping(boolean othersAccept) {
        stopping = true;
        if (othersAccept) {
            accepting = false;
            // Not closed: the platform's socket is descriptor 0, and to close it would end the log as well.
            listener.config().setAutoRead(false);
        }
    }

    /** Takes no more connections and drops those that hold no request. */
    void close() {
        if (accepting) {
            accepting = false;
            listener.close();
        }
        resting().forEach(c -> c.channel.close());
    }

    /** Empties the balancer: not ready, answers end their connections, and those at rest are closed soon. */
    void drain() {
        if (!draining && !stopping) {
            draining = true;
            // Clients are sent here for a moment more: what they have begun to write meanwhile is heard.
            emptying = loop.scheduleWithFixedDelay(() -> resting().forEach(c -> c.drop("drained")),
                DRAIN_FIRST_MS, DRAIN_EVERY_MS, TimeUnit.MILLISECONDS);
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
        return Stream.concat(idle.stream(), newcomers.stream()).filter(c -> !c.receiving && !c.busy)
            .distinct().toList();
    }

    // Makes room before an accept can fail, and keeps half of the descriptors for the upstreams: clients need
    // no more than a third, and with peers that came, asked something and stayed there was none left to reach
    // a server. First go connections that have not proved to be a client's, then those that nobody needs,
    // then those of clients at rest, the longest first; at last new ones wait in the backlog.
    private void makeRoom() {
        long before = System.nanoTime() - GREETING_NS;
        while (descriptors.crowded(open) && !newcomers.isEmpty()
                && newcomers.iterator().next().since - before < 0) {
            newcomers.iterator().next().drop("no request yet, and no room");
        }
        while (descriptors.full() && shedIdleUpstream.getAsBoolean()) {
            continue;
        }
        while (descriptors.crowded(open) && !idle.isEmpty()) {
            idle.iterator().next().drop("at rest, and no room");
        }
        boolean room = !descriptors.crowded(open);
        listener.config().setAutoRead(room && accepting);
        if (!room && again == null) {
            again = loop.schedule(() -> {           // a newcomer's time may be over without any event
                again = null;
                if (listener.isOpen()) {
                    makeRoom();
                }
            }, GREETING_NS, TimeUnit.NANOSECONDS);
        }
    }

    /** One connection of a client. */
    private final class Client extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private final ArrayDeque<FullHttpRequest> ahead = new ArrayDeque<>();
        private Runnable gone;                      // set while the module owes an answer here
        private boolean receiving;                  // a part of a request has come
        private boolean busy;                       // from a whole request until its answer is written
        private boolean closing;                    // takes nothing more: what still comes is dropped
        private Future<?> patience;                 // while a request is awaited that should come soon
        private final Framing.Requests decoder = new Framing.Requests();
        private final long since = System.nanoTime();
        private final long number = ++clients;
        private long requests;
        private String current;                     // the id of the last request that was handled

        Client(Channel channel) {
            this.channel = channel;
        }

        void opened() {
            descriptors.opened();
            open++;
            newcomers.add(this);
            awaitRequest();
            channel.closeFuture().addListener(closed -> {
                descriptors.closed();
                open--;
                idle.remove(this);
                newcomers.remove(this);
                requestCame();
                ahead.forEach(FullHttpRequest::release);
                ahead.clear();
                if (gone != null) {
                    gone.run();
                }
                if (!stopping) {
                    makeRoom();
                }
            });
            makeRoom();
        }

        // Guards against peers that connect and send nothing, or never end what they begin: each would keep
        // its descriptor until no server could be reached. What comes slowly does not prolong the time.
        private void awaitRequest() {
            if (patience == null && channel.isActive()) {
                patience = loop.schedule(() -> {
                    if (receiving) {
                        drop("unfinished request");
                    } else {
                        drop("no request");
                    }
                }, REQUEST_MS, TimeUnit.MILLISECONDS);
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

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            receiving = false;
            requestCame();
            if (busy) {
                events.tell(Events.Kind.PIPELINED, request.headers().get("Req-Id"),
                    () -> "behind " + current + ", " + this);
                if (ahead.size() < PIPELINED_MOST) {
                    ahead.add(request.retain());
                } else {
                    closing = true;                 // once those before it have been answered
                }
            } else {
                handle(request);
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
                write(declined ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                    Unpooled.wrappedBuffer(new byte[256]), null, declined ? "Srv-Declined" : "Srv-Load",
                    declined ? "1" : "TEXT eps=0.1, latency_ms=14.5, inflight=2", keep);
            } else if (path.startsWith("/-/") && (rehearsal == null || !path.equals(Rehearsal.PATH))) {
                boolean asked = path.equals("/-/ready") && request.method().equals(HttpMethod.GET);
                HttpResponseStatus status = !asked ? HttpResponseStatus.NOT_FOUND
                    : isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
                plain(status, !asked ? "not found" : isReady() ? "ready" : "not ready", keep);
            } else {
                Order order;
                try {
                    order = order(request);
                } catch (IllegalArgumentException e) {
                    reject(request, e.getMessage());
                    plain(HttpResponseStatus.BAD_REQUEST, e.getMessage(), false);
                    return;
                }
                newcomers.remove(this);
                Answer answer = new Answer(this, keep);
                gone = () -> { };
                Runnable leave = path.equals(Rehearsal.PATH)
                    ? rehearsal.dispatcher().take(order.to(Rehearsal.HOP), answer)
                    : dispatcher.take(order, answer);
                if (!answer.given) {
                    gone = leave;
                }
            }
        }

        // Turns away what is not yet a whole request. Where earlier ones are still owed their answers, the
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
            events.tell(Events.Kind.REJECTED, request.headers().get("Req-Id"), () -> why + ", " + this);
        }

        @Override
        public String toString() {
            return "client " + number + " request " + requests;
        }

        private void plain(HttpResponseStatus status, String text, boolean keep) {
            ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
            write(status, body, "text/plain", null, null, keep);
        }

        private void write(HttpResponseStatus status, ByteBuf body, String type, String header,
                String value, boolean keep) {
            gone = null;
            busy = true;
            boolean stay = keep && (!ahead.isEmpty() || !stopping && !draining && !closing);
            closing |= !keep;
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
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
            Future<?> stuck = written.isDone() ? null
                : loop.schedule(() -> drop("answer not taken in"), ANSWER_MS, TimeUnit.MILLISECONDS);
            written.addListener(done -> {
                if (stuck != null) {
                    stuck.cancel(false);
                }
                if (!stay || !done.isSuccess()) {
                    channel.close();
                } else if (ahead.isEmpty()) {
                    answered();
                } else {
                    loop.execute(this::answered);   // not from within what is handled now
                }
            });
        }

        private void answered() {
            busy = false;
            FullHttpRequest next = ahead.poll();
            if (next != null) {
                handle(next);
                next.release();
            } else if (closing || stopping || draining) {
                channel.close();
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
                    ReferenceCountUtil.release(bytes);      // not worth decoding
                    return;
                }
                receiving = true;
                idle.remove(Client.this);
                if (!busy) {
                    awaitRequest();
                }
                context.fireChannelRead(bytes);
            }
        }

        /** The first to see what has been decoded: drops what follows the end of a connection's requests. */
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

        /** Collects bodies. Netty's own answer to one that is too long would go on reading its connection. */
        private final class Bodies extends HttpObjectAggregator {
            Bodies() {
                super(Upstreams.BODY_MOST);
            }

            @Override
            protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
                turnAway((HttpRequest) oversized, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            }

            @Override
            protected Object newContinueResponse(HttpMessage start, int most, ChannelPipeline pipeline) {
                // One that asks whether it may send too much is told so like any other.
                return isContentLengthInvalid(start, most) ? null
                    : super.newContinueResponse(start, most, pipeline);
            }
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
        public void serve(FullHttpResponse answer) {
            given = true;
            client.write(HttpResponseStatus.OK, answer.content().retain(),
                answer.headers().get(HttpHeaderNames.CONTENT_TYPE), null, null, keep);
        }

        @Override
        public void refuse(long retryAfter) {
            given = true;
            String seconds = retryAfter <= 0 ? null : String.format(Locale.ROOT, "%.3f", retryAfter / 1e6);
            client.write(HttpResponseStatus.SERVICE_UNAVAILABLE,
                Unpooled.copiedBuffer("refused: trying again is harmless\n", StandardCharsets.UTF_8),
                "text/plain", "Retry-After", seconds, keep);
        }

        @Override
        public void fail() {
            given = true;
            client.plain(HttpResponseStatus.BAD_GATEWAY, "failed", keep);
        }
    }

    // ---------------------------------------------------------------- reading a request

    private Order order(FullHttpRequest request) {
        HttpHeaders headers = request.headers();
        if (headers.get("Req-Id", "").isEmpty()) {
            throw new IllegalArgumentException("no Req-Id");
        }
        int number = boot.classes().indexOf(headers.get("Req-Kind", ""));
        if (number < 0) {
            throw new IllegalArgumentException("unknown Req-Kind");
        }
        Policy.Effect effect = boot.settings().classes().get(number).effect();
        HttpMethod method = effect == Policy.Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        boolean keyed = headers.contains("Idempotency-Key");
        if (!request.method().equals(method) || keyed != (effect == Policy.Effect.KEYED)) {
            throw new IllegalArgumentException("method or Idempotency-Key contradicts the Req-Kind");
        }
        long left = number(headers.get(DEADLINE), -1);
        if (left <= 0) {
            throw new IllegalArgumentException("no or bad " + DEADLINE);
        }
        String path = request.uri().split("[?#]", 2)[0];
        String key = path.substring(path.lastIndexOf('/') + 1);
        int tenant = Math.max(0, boot.tenants().indexOf(headers.get("Req-Owner", "")));
        return new Order(request.method(), request.uri(), endToEnd(headers),
            ByteBufUtil.getBytes(request.content()), number, tenant, key.isEmpty() ? null : key, left * 1000,
            number(headers.get("Req-Cost"), -1), "1".equals(headers.get("Req-Retry")));
    }

    private static long number(String text, long otherwise) {
        return text != null && text.strip().matches("\\d{1,12}") ? Long.parseLong(text.strip()) : otherwise;
    }

    private static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders kept = new DefaultHttpHeaders();
        Set<String> named = Set.copyOf(headers.getAll(HttpHeaderNames.CONNECTION).stream()
            .flatMap(v -> Stream.of(v.toLowerCase(Locale.ROOT).split("\\s*,\\s*"))).distinct().toList());
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !named.contains(name)) {
                kept.add(header.getKey(), header.getValue());
            }
        }
        return kept;
    }
}
