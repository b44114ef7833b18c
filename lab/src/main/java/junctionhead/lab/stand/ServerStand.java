package junctionhead.lab.stand;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import junctionhead.lab.model.ColdBudget;
import junctionhead.lab.model.Job;
import junctionhead.lab.model.ServerModel;
import junctionhead.lab.model.Way;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.rules.Call;
import junctionhead.lab.scenario.Scenario;

/**
 * An upstream: {@link ServerModel} behind sockets, one address for each balancer, and what is wrong
 * with it.
 */
public final class ServerStand {
    private static final int BODY_MOST = 64 << 10;
    private static final int NONE = -1;
    private static final int ALL = -2;

    private final World world;
    private final Plan.Server server;
    private final ServerModel model;
    private final List<Path> paths;
    private final List<Gate> gates = new ArrayList<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<Job, Connection> working = new IdentityHashMap<>();
    private ScheduledFuture<?> next;
    private long nextAt = Long.MAX_VALUE;
    private boolean alive;
    private boolean draining;
    private int vanished;
    private int failing = NONE;
    private long bootAt;
    private ColdBudget cold;
    private double coldWorst;
    private long jobs;
    private long connects;

    /** {@code paths}: by balancer. */
    ServerStand(World world, Plan.Server server, List<Path> paths) {
        this.world = world;
        this.server = server;
        this.paths = paths;
        Scenario.Upstreams u = world.scenario().upstreams();
        this.model =
                new ServerModel(
                        u.cores(),
                        u.waiting(),
                        server.speed(),
                        u.coldFrom(),
                        Math.round(u.rampS() * 1e6));
        this.alive = server.replaces() < 0;
    }

    /** Opens its addresses, before the run and off the loop. */
    void open(Addresses addresses) throws IOException {
        for (int b = 0; b < paths.size(); b++) {
            int from = b;
            Gate gate = new Gate(world, addresses.parties(b), channel -> arrived(channel, from));
            gate.open();
            gates.add(gate);
        }
        world.loop().execute(this::look);
    }

    InetSocketAddress address(int balancer) {
        return gates.get(balancer).address();
    }

    public Plan.Server server() {
        return server;
    }

    /** The paths or the server have changed. */
    void look() {
        for (int b = 0; b < gates.size(); b++) {
            Path path = paths.get(b);
            gates.get(b)
                    .set(
                            vanished > 0 || alive && path.silent()
                                    ? Gate.State.SILENT
                                    : !alive || path.refuses() ? Gate.State.SHUT : Gate.State.OPEN);
        }
    }

    private void arrived(SocketChannel channel, int from) {
        PathHandler bytes = new PathHandler(world, paths.get(from));
        connects++;
        channel.pipeline()
                .addLast(
                        bytes,
                        new HttpServerCodec(),
                        new HttpObjectAggregator(BODY_MOST),
                        new Connection(channel, bytes, from));
    }

    /** One connection: a request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;
        private final PathHandler bytes;
        private final int from;
        private boolean fresh = true;
        private Job job;
        private Call call;

        Connection(SocketChannel channel, PathHandler bytes, int from) {
            this.channel = channel;
            this.bytes = bytes;
            this.from = from;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connections.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            if (job != null) {
                working.remove(job);
                model.cancel(world.now(), job);
                call.note(world.now(), "s" + server.number(), "n" + from + " ended the connection");
                job = null;
                plan();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            long began = bytes.takeFirstByte();
            String id = request.headers().get("Req-Id");
            if (request.uri().equals("/-/healthy")) {
                answer(draining ? 503 : 200, false, "");
            } else if (id == null) {
                answer(404, false, "");
            } else if (job != null) {
                world.rules()
                        .breach(
                                "one at a time",
                                world.now(),
                                id,
                                "n"
                                        + from
                                        + " wrote a request to s"
                                        + server.number()
                                        + " behind another on one connection");
            } else {
                attempt(id, began, world.now());
            }
        }

        private void attempt(String id, long began, long now) {
            Call known = world.rules().attempt(id, from, server.number(), began, now);
            if (known == null) {
                answer(400, false, "");
                return;
            }
            long work =
                    known.order().arrival().work()
                            + (fresh
                                    ? Math.round(world.scenario().upstreams().handshakeMs() * 1e3)
                                    : 0);
            fresh = false;
            heat(work, now);
            Job asked = new Job(known.order().arrival().requestClass(), work, jobs++);
            if (draining
                    || connections.size() > world.scenario().upstreams().connections()
                    || !alive
                    || !model.arrive(now, asked)) {
                known.note(now, "s" + server.number(), "turned away");
                answer(503, true, "");
                return;
            }
            job = asked;
            call = known;
            working.put(job, this);
            world.rules().runs(known, server.number(), server.zone(), now);
            plan();
        }

        private void heat(long work, long now) {
            if (cold == null) {
                return;
            }
            if (model.warmth(now) >= 1) {
                cold = null;
            } else if (cold.sent(
                    now,
                    work,
                    model.capacity(now),
                    world.rules().knowsStart(from, server.number(), bootAt))) {
                world.rules()
                        .breach(
                                "cold budget",
                                now,
                                null,
                                "s"
                                        + server.number()
                                        + " was pushed over "
                                        + (now - bootAt) / 1000
                                        + " ms after its start");
                crash();
            } else {
                coldWorst = Math.max(coldWorst, cold.worst());
            }
        }

        void done(long now) {
            boolean fails = failing == ALL || failing == job.requestClass();
            call.note(now, "s" + server.number(), fails ? "fails it" : "answers");
            Call of = call;
            job = null;
            call = null;
            answer(fails ? 500 : 200, false, fails ? "" : made(server.number(), of.id()));
        }

        private void answer(int status, boolean declined, String body) {
            DefaultFullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(status),
                            Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
            if (declined) {
                answer.headers().set("Srv-Declined", "1");
            }
            channel.writeAndFlush(answer);
        }
    }

    /** What a server answers to a request: nobody else writes this. */
    static String made(int server, String id) {
        return "s" + server + " made this for " + id;
    }

    private void plan() {
        long wanted = model.nextEnd();
        if (wanted == nextAt) {
            return;
        }
        if (next != null) {
            next.cancel(false);
        }
        nextAt = wanted;
        next = wanted == Long.MAX_VALUE ? null : world.at(wanted, this::end);
    }

    private void end() {
        nextAt = Long.MAX_VALUE;
        long now = world.now();
        for (Job job = model.ended(now); job != null; job = model.ended(now)) {
            Connection connection = working.remove(job);
            if (connection != null) {
                connection.done(now);
            }
        }
        plan();
    }

    /** The process dies: its connections are reset, new ones refused. */
    void crash() {
        alive = false;
        look();
        new ArrayList<>(connections)
                .forEach(
                        c -> {
                            c.channel.config().setOption(ChannelOption.SO_LINGER, 0);
                            c.channel.close();
                        });
    }

    /** Its process starts: cold, empty and in order. */
    void boot() {
        long now = world.now();
        Scenario.Upstreams u = world.scenario().upstreams();
        alive = true;
        draining = false;
        bootAt = now;
        cold =
                new ColdBudget(
                        u.overloadFactor(),
                        Math.round(u.fallS() * 1e6),
                        world.scenario().meanWork());
        model.boot(now);
        look();
    }

    /** Finishes what it has and turns away what comes. */
    void drain() {
        draining = true;
    }

    void vanish(boolean on) {
        vanished += on ? 1 : -1;
        for (Path path : paths) {
            path.trouble(GONE, true, true, on);
        }
        look();
    }

    private static final Way.Trouble GONE = Way.Trouble.cutOff();

    void slower(double times) {
        model.slower(times);
    }

    void hang(boolean on) {
        model.hanging(on);
        plan();
    }

    /** {@code requestClass} null: all classes. */
    void fail(String requestClass, boolean on) {
        int number = NONE;
        for (int i = 0; on && i < world.scenario().classes().size(); i++) {
            number = world.scenario().classes().get(i).name().equals(requestClass) ? i : number;
        }
        failing = on && requestClass == null ? ALL : number;
    }

    /** The largest part of its cold budget that was ever used. */
    public double coldWorst() {
        return coldWorst;
    }

    /** Connections that came up. */
    public long connects() {
        return connects;
    }

    void close() {
        gates.forEach(Gate::close);
    }
}
