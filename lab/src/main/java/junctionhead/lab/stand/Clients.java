package junctionhead.lab.stand;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.plan.Seeds;
import junctionhead.lab.rules.Call;
import junctionhead.lab.rules.Order;
import junctionhead.lab.rules.RuleBook;
import junctionhead.lab.scenario.Scenario;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The clients, open loop: each request is sent when the plan says, whatever became of those before
 * it. A connection carries one request at a time, stays open, and goes to one balancer, which the
 * front chooses.
 */
public final class Clients {
    // µs a further try must have
    private static final long TIME_LEAST = 20_000;
    // µs past its time that an answer still counts
    private static final long LATE_SLACK = 70_000;
    private static final int CONNECT_MS = 1_000;
    // Of a balancer's descriptors that clients hold
    private static final int PART = 3;
    private static final int ANSWER_MOST = 1 << 20;

    private final World world;
    private final Front front;
    private final List<Pool> pools = new ArrayList<>();
    private final UniformRandomProvider random;
    private final Histogram lateness = new Histogram(3);
    private int next;
    private int open;
    private Runnable whenDone = () -> {};

    Clients(World world, Front front) {
        this.world = world;
        this.front = front;
        this.random = Seeds.stream(world.plan().seed(), "clients");
        for (int b = 0; b < world.scenario().fleet().balancers(); b++) {
            pools.add(new Pool(b));
        }
    }

    /** Sends what the plan holds; {@code done} is called when all of it has ended. */
    void begin(Runnable done) {
        whenDone = done;
        arrive();
    }

    private void arrive() {
        List<Plan.Arrival> arrivals = world.plan().arrivals();
        long now = world.now();
        while (next < arrivals.size() && arrivals.get(next).at() <= now) {
            Plan.Arrival arrival = arrivals.get(next++);
            lateness.recordValue(now - arrival.at());
            open++;
            attempt(new Order(arrival));
        }
        if (next < arrivals.size()) {
            world.at(arrivals.get(next).at(), this::arrive);
        } else if (open == 0) {
            whenDone.run();
        }
    }

    private void ended(Order order, Order.End how) {
        if (order.end() != null) {
            return;
        }
        order.end(how, world.now());
        world.windows().ended(order);
        open--;
        if (open == 0 && next == world.plan().arrivals().size()) {
            whenDone.run();
        }
    }

    private long timeLeft(Order order) {
        Scenario.RequestClass kind = world.scenario().classes().get(order.arrival().requestClass());
        long whole = Math.round(kind.deadlineMs() * 1e3) / (order.arrival().hasty() ? 2 : 1);
        return order.arrival().at() + whole - world.now();
    }

    private void attempt(Order order) {
        order.another();
        byte[] id = new byte[8];
        random.nextBytes(id);
        long left = timeLeft(order);
        Call call = new Call(HexFormat.of().formatHex(id), order, left);
        int balancer = front.choose(order.arrival().zone());
        if (balancer < 0) {
            again(call, Order.End.FAILED, 0);
            return;
        }
        pools.get(balancer).send(call, false);
    }

    /** The try came to nothing, harmlessly: comes again, or ends so. */
    private void again(Call call, Order.End how, long wait) {
        Order order = call.order();
        long pause = Math.max(wait, Math.round(world.scenario().load().retryWaitMs() * 1e3));
        if (order.end() == null
                && order.tries() <= world.scenario().load().retries()
                && timeLeft(order) - pause > TIME_LEAST) {
            world.at(world.now() + pause, () -> attempt(order));
        } else {
            ended(order, how);
        }
    }

    /** How late requests were sent, in µs. */
    public Histogram lateness() {
        return lateness;
    }

    /** The connections to one balancer. */
    private final class Pool {
        private final int balancer;
        private final Deque<Line> idle = new ArrayDeque<>();
        // For room; each ends by its time
        private final Deque<Call> waiting = new ArrayDeque<>();
        private int count;

        Pool(int balancer) {
            this.balancer = balancer;
        }

        void send(Call call, boolean fresh) {
            Line line = fresh ? null : idle.pollLast();
            while (line != null && !line.channel.isActive()) {
                line = idle.pollLast();
            }
            if (line != null) {
                line.write(call);
            } else if (count < world.scenario().fleet().sockets() / PART) {
                connect(call);
            } else {
                call.note(world.now(), "client", "waits for a connection");
                waiting.add(call);
                world.at(
                        call.order().arrival().at() + call.deadline(),
                        () -> {
                            if (waiting.remove(call)) {
                                ended(call.order(), Order.End.FAILED);
                            }
                        });
            }
        }

        private void connect(Call call) {
            count++;
            Line line = new Line(this);
            ChannelFuture connected =
                    new Bootstrap()
                            .group(world.loop())
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                            .handler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel channel) {
                                            channel.pipeline()
                                                    .addLast(
                                                            line.first,
                                                            new HttpResponseDecoder(),
                                                            new HttpObjectAggregator(ANSWER_MOST),
                                                            line);
                                        }
                                    })
                            .connect(front.address(balancer));
            line.channel = connected.channel();
            line.channel
                    .closeFuture()
                    .addListener(
                            closed -> {
                                count--;
                                room();
                            });
            connected.addListener(
                    done -> {
                        if (done.isSuccess()) {
                            line.write(call);
                        } else {
                            front.unreachable(balancer);
                            again(call, Order.End.FAILED, 0);
                        }
                    });
        }

        void room() {
            Call call = waiting.pollFirst();
            if (call != null) {
                send(call, false);
            }
        }
    }

    /** One connection of a client. */
    private final class Line extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Pool pool;
        private Channel channel;
        private boolean used;
        // Nothing was answered on it yet
        private boolean fresh = true;
        private Call call;
        private ScheduledFuture<?> timer;
        // Bytes of an answer to the call have come
        private boolean begun;
        private final ChannelInboundHandlerAdapter first =
                new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object bytes) {
                        begun = true;
                        context.fireChannelRead(bytes);
                    }
                };

        Line(Pool pool) {
            this.pool = pool;
        }

        void write(Call next) {
            call = next;
            fresh = !used;
            used = true;
            Plan.Arrival a = next.order().arrival();
            Scenario.RequestClass kind = world.scenario().classes().get(a.requestClass());
            boolean get = kind.effect().equals("safe");
            String body = get ? "" : "order of " + next.id();
            StringBuilder text =
                    new StringBuilder(256)
                            .append(get ? "GET" : "POST")
                            .append(" /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: ")
                            .append(next.id())
                            .append("\r\nReq-Kind: ")
                            .append(kind.name())
                            .append("\r\nReq-Deadline-Ms: ")
                            .append(Math.max(1, next.deadline() / 1000))
                            .append("\r\n");
            if (!world.scenario().tenants().isEmpty()) {
                text.append("Req-Owner: ")
                        .append(world.scenario().tenants().get(a.tenant()).name())
                        .append("\r\n");
            }
            if (kind.effect().equals("keyed")) {
                text.append("Idempotency-Key: ").append(next.id()).append(next.id()).append("\r\n");
            }
            if (!get) {
                text.append("Content-Length: ").append(body.length()).append("\r\n");
            }
            text.append("\r\n").append(body);
            world.rules().taken(next, pool.balancer, world.now());
            begun = false;
            channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
            long end = world.now() + next.deadline();
            timer = world.at(a.hasty() ? end : end + LATE_SLACK, this::timeOver);
        }

        private void timeOver() {
            if (call.order().arrival().hasty()) {
                Call left = call;
                call = null;
                world.rules().left(left, world.now());
                channel.close();
                ended(left.order(), Order.End.FAILED);
                return;
            }
            ended(call.order(), Order.End.FAILED);
            timer =
                    world.at(
                            world.now() + RuleBook.LOST_AFTER - LATE_SLACK,
                            () -> {
                                Call lost = call;
                                call = null;
                                world.rules().overdue(lost, world.now());
                                channel.close();
                            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            Call of = call;
            if (of == null) {
                world.rules()
                        .breach(
                                "one answer",
                                world.now(),
                                null,
                                "n" + pool.balancer + " sent an answer that nobody had asked for");
                channel.close();
                return;
            }
            call = null;
            timer.cancel(false);
            int status = answer.status().code();
            String body = answer.content().toString(StandardCharsets.US_ASCII);
            boolean made =
                    of.runs().stream()
                            .anyMatch(run -> body.equals(ServerStand.made(run.server(), of.id())));
            world.rules().answered(of, status, made, world.now());
            if (HttpUtil.isKeepAlive(answer) && answer.decoderResult().isSuccess()) {
                pool.idle.addLast(this);
                pool.room();
            } else {
                channel.close();
            }
            if (status == 200) {
                ended(of.order(), Order.End.SERVED);
            } else if (status == 429 || status == 503) {
                again(of, Order.End.REFUSED, retryAfter(answer));
            } else {
                ended(of.order(), Order.End.FAILED);
            }
        }

        private long retryAfter(FullHttpResponse answer) {
            String text = answer.headers().get("Retry-After", "0");
            return text.matches("\\d{1,4}(\\.\\d+)?")
                    ? Math.round(Double.parseDouble(text) * 1e6)
                    : 0;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            pool.idle.remove(this);
            Call of = call;
            if (of == null) {
                return;
            }
            call = null;
            timer.cancel(false);
            if (!fresh && !begun && of.order().end() == null && !front.down(pool.balancer)) {
                of.note(world.now(), "client", "closed under it, sent once more");
                pool.send(of, true);
                return;
            }
            world.rules().closed(of, begun, world.now());
            again(of, Order.End.FAILED, 0);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }
    }
}
