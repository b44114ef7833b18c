package loadbalancer.testbed.emulation;

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
import loadbalancer.testbed.client.ClientRequestLifecycle;
import loadbalancer.testbed.client.FrontendRotation;
import loadbalancer.testbed.invariant.ClientAttempt;
import loadbalancer.testbed.invariant.ClientRequest;
import loadbalancer.testbed.invariant.RequestInvariants;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.RandomStreams;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Emulates the clients as an open loop: each request is sent at its planned time, regardless of the
 * outcome of earlier ones. The frontend chooses the balancer of each attempt. A connection to a
 * balancer carries one request at a time and is kept open. Confined to the emulation's event loop.
 */
public final class ClientEmulator {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    // Clients open at most 1/CLIENT_DESCRIPTOR_DIVISOR of a balancer's file descriptors.
    private static final int CLIENT_DESCRIPTOR_DIVISOR = 3;
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private final Emulation emulation;
    private final FrontendEmulator frontend;
    private final ClientRequestLifecycle lifecycle;
    private final List<ConnectionPool> pools = new ArrayList<>();
    private final UniformRandomProvider random;
    private final Histogram lateness = new Histogram(3);
    private int nextArrival;
    private int openRequests;
    private Runnable onComplete = () -> {};

    /** Creates clients that send no requests before {@link #start}. */
    ClientEmulator(Emulation emulation, FrontendEmulator frontend) {
        this.emulation = emulation;
        this.frontend = frontend;
        this.lifecycle =
                new ClientRequestLifecycle(
                        emulation.scenario(), emulation, this::sendAttempt, this::onRequestEnded);
        this.random = RandomStreams.stream(emulation.plan().seed(), "clients");
        for (int balancer = 0; balancer < emulation.scenario().fleet().balancers(); balancer++) {
            pools.add(new ConnectionPool(balancer));
        }
    }

    /**
     * Sends the requests of the plan at their times.
     *
     * @param newOnComplete called once all requests have ended
     */
    void start(Runnable newOnComplete) {
        onComplete = newOnComplete;
        sendDueArrivals();
    }

    private void sendDueArrivals() {
        List<WorkloadPlan.Arrival> arrivals = emulation.plan().arrivals();
        long nowMicros = emulation.nowMicros();
        while (nextArrival < arrivals.size() && arrivals.get(nextArrival).atMicros() <= nowMicros) {
            WorkloadPlan.Arrival arrival = arrivals.get(nextArrival++);
            lateness.recordValue(nowMicros - arrival.atMicros());
            openRequests++;
            sendAttempt(new ClientRequest(arrival));
        }
        if (nextArrival < arrivals.size()) {
            emulation.schedule(arrivals.get(nextArrival).atMicros(), this::sendDueArrivals);
        } else if (openRequests == 0) {
            onComplete.run();
        }
    }

    private void onRequestEnded(ClientRequest request) {
        emulation.windows().record(request);
        openRequests--;
        if (openRequests == 0 && nextArrival == emulation.plan().arrivals().size()) {
            onComplete.run();
        }
    }

    private void sendAttempt(ClientRequest request) {
        byte[] id = new byte[Long.BYTES];
        random.nextBytes(id);
        ClientAttempt attempt = lifecycle.newAttempt(request, HexFormat.of().formatHex(id));
        int balancer = frontend.rotation().chooseBalancer(request.arrival().zone());
        if (balancer == FrontendRotation.NO_BALANCER) {
            lifecycle.retryOrEnd(attempt, ClientRequest.Outcome.FAILED, 0);
            return;
        }
        pools.get(balancer).send(attempt, false);
    }

    /** Returns by how many µs requests were sent later than planned. */
    public Histogram lateness() {
        return lateness;
    }

    /** Holds the clients' connections to one balancer. */
    private final class ConnectionPool {
        private final int balancer;
        private final Deque<ClientConnection> idle = new ArrayDeque<>();
        // Attempts that wait for a connection, each until its deadline.
        private final Deque<ClientAttempt> pendingAttempts = new ArrayDeque<>();
        private int connectionCount;

        ConnectionPool(int balancer) {
            this.balancer = balancer;
        }

        void send(ClientAttempt clientAttempt, boolean forceNewConnection) {
            ClientConnection connection = forceNewConnection ? null : idle.pollLast();
            while (connection != null && !connection.channel.isActive()) {
                connection = idle.pollLast();
            }
            if (connection != null) {
                connection.writeRequest(clientAttempt);
            } else if (connectionCount
                    < emulation.scenario().fleet().sockets() / CLIENT_DESCRIPTOR_DIVISOR) {
                connect(clientAttempt);
            } else {
                clientAttempt.addTraceEvent(
                        emulation.nowMicros(), "client", "waits for a connection");
                pendingAttempts.add(clientAttempt);
                emulation.schedule(
                        clientAttempt.request().arrival().atMicros()
                                + clientAttempt.timeoutMicros(),
                        () -> {
                            if (pendingAttempts.remove(clientAttempt)) {
                                lifecycle.end(
                                        clientAttempt.request(), ClientRequest.Outcome.FAILED);
                            }
                        });
            }
        }

        private void connect(ClientAttempt clientAttempt) {
            connectionCount++;
            ClientConnection connection = new ClientConnection(this);
            ChannelFuture connected =
                    new Bootstrap()
                            .group(emulation.eventLoop())
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                            .handler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel channel) {
                                            channel.pipeline()
                                                    .addLast(
                                                            connection.firstByteHandler,
                                                            new HttpResponseDecoder(),
                                                            new HttpObjectAggregator(
                                                                    MAX_RESPONSE_BYTES),
                                                            connection);
                                        }
                                    })
                            .connect(frontend.address(balancer));
            connection.channel = connected.channel();
            connection
                    .channel
                    .closeFuture()
                    .addListener(
                            closed -> {
                                connectionCount--;
                                sendNextPending();
                            });
            connected.addListener(
                    completed -> {
                        if (completed.isSuccess()) {
                            connection.writeRequest(clientAttempt);
                        } else {
                            frontend.onUnreachable(balancer);
                            lifecycle.retryOrEnd(clientAttempt, ClientRequest.Outcome.FAILED, 0);
                        }
                    });
        }

        void sendNextPending() {
            ClientAttempt clientAttempt = pendingAttempts.pollFirst();
            if (clientAttempt != null) {
                send(clientAttempt, false);
            }
        }
    }

    /** Sends requests on one client connection and handles their responses. */
    private final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final ConnectionPool pool;
        private Channel channel;
        private boolean used;
        // Whether the current request is the first on this connection.
        private boolean firstRequest = true;
        // The attempt without a complete response, or null.
        private ClientAttempt pendingAttempt;
        private ScheduledFuture<?> deadlineTimer;
        // Whether bytes of a response to the current request have arrived.
        private boolean responseStarted;
        private final ChannelInboundHandlerAdapter firstByteHandler =
                new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object bytes) {
                        responseStarted = true;
                        context.fireChannelRead(bytes);
                    }
                };

        ClientConnection(ConnectionPool pool) {
            this.pool = pool;
        }

        void writeRequest(ClientAttempt attempt) {
            pendingAttempt = attempt;
            firstRequest = !used;
            used = true;
            WorkloadPlan.Arrival arrival = attempt.request().arrival();
            emulation.invariants().attemptAccepted(attempt, pool.balancer, emulation.nowMicros());
            responseStarted = false;
            channel.writeAndFlush(
                    Unpooled.copiedBuffer(formatRequest(attempt), StandardCharsets.US_ASCII));
            long deadlineMicros = emulation.nowMicros() + attempt.timeoutMicros();
            deadlineTimer =
                    emulation.scheduleTimer(
                            arrival.impatient()
                                    ? deadlineMicros
                                    : deadlineMicros
                                            + ClientRequestLifecycle.LATE_RESPONSE_SLACK_MICROS,
                            this::onDeadline);
        }

        private CharSequence formatRequest(ClientAttempt attempt) {
            WorkloadPlan.Arrival arrival = attempt.request().arrival();
            Scenario.RequestClass requestClass =
                    emulation.scenario().classes().get(arrival.requestClass());
            boolean isGet = requestClass.idempotency().equals("safe");
            String body = isGet ? "" : "order of " + attempt.id();
            StringBuilder requestText =
                    new StringBuilder(256)
                            .append(isGet ? "GET" : "POST")
                            .append(" /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: ")
                            .append(attempt.id())
                            .append("\r\nReq-Kind: ")
                            .append(requestClass.name())
                            .append("\r\nReq-Deadline-Ms: ")
                            .append(Math.max(1, attempt.timeoutMicros() / 1000))
                            .append("\r\n");
            if (!emulation.scenario().tenants().isEmpty()) {
                requestText
                        .append("Req-Owner: ")
                        .append(emulation.scenario().tenants().get(arrival.tenant()).name())
                        .append("\r\n");
            }
            if (requestClass.idempotency().equals("keyed")) {
                requestText
                        .append("Idempotency-Key: ")
                        .append(attempt.id())
                        .append(attempt.id())
                        .append("\r\n");
            }
            if (!isGet) {
                requestText.append("Content-Length: ").append(body.length()).append("\r\n");
            }
            return requestText.append("\r\n").append(body);
        }

        private void onDeadline() {
            if (pendingAttempt.request().arrival().impatient()) {
                ClientAttempt abandoned = pendingAttempt;
                pendingAttempt = null;
                emulation.invariants().clientDisconnected(abandoned, emulation.nowMicros());
                channel.close();
                lifecycle.end(abandoned.request(), ClientRequest.Outcome.FAILED);
                return;
            }
            lifecycle.end(pendingAttempt.request(), ClientRequest.Outcome.FAILED);
            deadlineTimer =
                    emulation.scheduleTimer(
                            emulation.nowMicros()
                                    + RequestInvariants.LOST_AFTER_MICROS
                                    - ClientRequestLifecycle.LATE_RESPONSE_SLACK_MICROS,
                            () -> {
                                ClientAttempt unanswered = pendingAttempt;
                                pendingAttempt = null;
                                emulation
                                        .invariants()
                                        .responseOverdue(unanswered, emulation.nowMicros());
                                channel.close();
                            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            ClientAttempt answered = pendingAttempt;
            if (answered == null) {
                emulation
                        .invariants()
                        .recordViolation(
                                "one answer",
                                emulation.nowMicros(),
                                null,
                                "n" + pool.balancer + " sent a response without a request");
                channel.close();
                return;
            }
            pendingAttempt = null;
            deadlineTimer.cancel(false);
            int status = response.status().code();
            String body = response.content().toString(StandardCharsets.US_ASCII);
            boolean bodyMatches =
                    answered.executions().stream()
                            .anyMatch(
                                    execution ->
                                            body.equals(
                                                    UpstreamEmulator.responseBody(
                                                            execution.server(), answered.id())));
            emulation
                    .invariants()
                    .responseReceived(answered, status, bodyMatches, emulation.nowMicros());
            if (HttpUtil.isKeepAlive(response) && response.decoderResult().isSuccess()) {
                pool.idle.addLast(this);
                pool.sendNextPending();
            } else {
                channel.close();
            }
            if (status == 200) {
                lifecycle.end(answered.request(), ClientRequest.Outcome.SERVED);
            } else if (status == 429 || status == 503) {
                lifecycle.retryOrEnd(
                        answered, ClientRequest.Outcome.REJECTED, parseRetryAfterMicros(response));
            } else {
                lifecycle.end(answered.request(), ClientRequest.Outcome.FAILED);
            }
        }

        private long parseRetryAfterMicros(FullHttpResponse response) {
            String text = response.headers().get("Retry-After", "0");
            return text.matches("\\d{1,4}(\\.\\d+)?")
                    ? Math.round(Double.parseDouble(text) * 1e6)
                    : 0;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            pool.idle.remove(this);
            ClientAttempt interrupted = pendingAttempt;
            if (interrupted == null) {
                return;
            }
            pendingAttempt = null;
            deadlineTimer.cancel(false);
            if (!firstRequest
                    && !responseStarted
                    && interrupted.request().outcome() == null
                    && !frontend.rotation().isUnreachable(pool.balancer)) {
                interrupted.addTraceEvent(
                        emulation.nowMicros(),
                        "client",
                        "connection closed, sent again on a new one");
                pool.send(interrupted, true);
                return;
            }
            emulation
                    .invariants()
                    .connectionClosedIncomplete(
                            interrupted, responseStarted, emulation.nowMicros());
            lifecycle.retryOrEnd(interrupted, ClientRequest.Outcome.FAILED, 0);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }
    }
}
