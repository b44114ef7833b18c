package loadbalancer.testbed.emulation;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
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
import java.util.Set;
import loadbalancer.testbed.endpointmodel.EndpointModel;
import loadbalancer.testbed.endpointmodel.FaultableService;
import loadbalancer.testbed.endpointmodel.Job;
import loadbalancer.testbed.endpointmodel.SlowStartBudget;
import loadbalancer.testbed.fault.FaultableUpstream;
import loadbalancer.testbed.invariant.ClientAttempt;
import loadbalancer.testbed.network.NetworkLink;
import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * Emulates an upstream and its faults: serves HTTP requests as an {@link EndpointModel} computes,
 * on one address for each balancer. Confined to the emulation's event loop, except for {@link
 * #open}.
 */
public final class UpstreamEmulator implements FaultableUpstream {
    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final String REQUEST_ID_HEADER = "Req-Id";
    private static final String REJECTED_HEADER = "Srv-Declined";
    private static final String HEALTH_CHECK_URI = "/-/healthy";
    private static final NetworkLink.LinkFault VANISHED = NetworkLink.LinkFault.cutOff();

    private final Emulation emulation;
    private final WorkloadPlan.UpstreamSpec spec;
    private final EndpointModel model;
    private final List<NetworkPath> paths;
    private final List<ControllableListener> listeners = new ArrayList<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final IdentityHashMap<Job, Connection> runningJobs = new IdentityHashMap<>();
    private ScheduledFuture<?> completionTimer;
    private long nextCompletionMicros = Long.MAX_VALUE;
    private boolean alive;
    private int vanishCount;
    private final FaultableService service;
    private long startedAtMicros;
    private SlowStartBudget slowStartBudget;
    private double peakSlowStartUtilization;
    private long jobCount;
    private long connectionsAccepted;

    /**
     * Creates an upstream without addresses.
     *
     * @param paths the network paths to the upstream, indexed by balancer
     */
    UpstreamEmulator(Emulation emulation, WorkloadPlan.UpstreamSpec spec, List<NetworkPath> paths) {
        this.emulation = emulation;
        this.spec = spec;
        this.paths = paths;
        this.model = EndpointModel.of(emulation.scenario().upstreams(), spec.speed());
        this.service = new FaultableService(model, emulation.scenario(), this::scheduleCompletion);
        this.alive = spec.replaces() < 0;
    }

    /**
     * Opens the addresses. Called before the run, outside the event loop.
     *
     * @throws IOException if an address cannot be bound
     */
    void open(LoopbackAddresses addresses) throws IOException {
        for (int balancer = 0; balancer < paths.size(); balancer++) {
            int balancerNumber = balancer;
            ControllableListener listener =
                    new ControllableListener(
                            emulation,
                            addresses.backendAddress(balancer),
                            channel -> onAccepted(channel, balancerNumber));
            listener.open();
            listeners.add(listener);
        }
        emulation.eventLoop().execute(this::updateListeners);
    }

    /** Returns the address at which a balancer reaches this upstream. */
    InetSocketAddress address(int balancer) {
        return listeners.get(balancer).address();
    }

    @Override
    public WorkloadPlan.UpstreamSpec spec() {
        return spec;
    }

    /** Updates the state of all addresses after a change of the paths or of the process. */
    void updateListeners() {
        for (int balancer = 0; balancer < listeners.size(); balancer++) {
            NetworkPath path = paths.get(balancer);
            listeners.get(balancer).setState(listenerState(path));
        }
    }

    private ControllableListener.State listenerState(NetworkPath path) {
        if (vanishCount > 0 || (alive && path.isSilent())) {
            return ControllableListener.State.SILENT;
        }
        return !alive || path.refusesConnections()
                ? ControllableListener.State.REFUSING
                : ControllableListener.State.OPEN;
    }

    private void onAccepted(SocketChannel channel, int balancer) {
        NetworkPathHandler pathHandler = new NetworkPathHandler(emulation, paths.get(balancer));
        connectionsAccepted++;
        channel.pipeline()
                .addLast(
                        pathHandler,
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        new Connection(channel, pathHandler, balancer));
    }

    /** Serves one connection of a balancer, which carries one request at a time. */
    private final class Connection extends ServerConnection {
        private final NetworkPathHandler pathHandler;
        private final int balancer;
        private boolean newConnection = true;
        // The attempt that is being executed; meaningful only while there is a running job.
        private ClientAttempt runningAttempt;
        // The job of the running attempt, or null.
        private Job runningJob;

        Connection(SocketChannel channel, NetworkPathHandler pathHandler, int balancer) {
            super(channel);
            this.pathHandler = pathHandler;
            this.balancer = balancer;
        }

        @Override
        void onOpened() {
            connections.add(this);
        }

        @Override
        void onClosed() {
            connections.remove(this);
            if (runningJob != null) {
                runningJobs.remove(runningJob);
                model.cancel(emulation.nowMicros(), runningJob);
                runningAttempt.addTraceEvent(
                        emulation.nowMicros(),
                        "s" + spec.number(),
                        "connection to n" + balancer + " closed");
                runningJob = null;
                scheduleCompletion();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            long firstByteMicros = pathHandler.takeFirstByteMicros();
            String requestId = request.headers().get(REQUEST_ID_HEADER);
            if (request.uri().equals(HEALTH_CHECK_URI)) {
                respond(service.isDraining() ? 503 : 200, false, "");
            } else if (requestId == null) {
                respond(404, false, "");
            } else if (runningJob != null) {
                emulation
                        .invariants()
                        .recordViolation(
                                "one at a time",
                                emulation.nowMicros(),
                                requestId,
                                "n"
                                        + balancer
                                        + " sent a request to s"
                                        + spec.number()
                                        + " while another was in progress on the same connection");
            } else {
                handleAttempt(requestId, firstByteMicros, emulation.nowMicros());
            }
        }

        private void handleAttempt(String requestId, long firstByteMicros, long nowMicros) {
            ClientAttempt receivedAttempt =
                    emulation
                            .invariants()
                            .upstreamAttemptReceived(
                                    requestId, balancer, spec.number(), firstByteMicros, nowMicros);
            if (receivedAttempt == null) {
                respond(400, false, "");
                return;
            }
            long workMicros =
                    receivedAttempt.request().arrival().workMicros()
                            + (newConnection
                                    ? Math.round(
                                            emulation.scenario().upstreams().handshakeMs() * 1e3)
                                    : 0);
            newConnection = false;
            checkSlowStartBudget(workMicros, nowMicros);
            Job newJob =
                    new Job(
                            receivedAttempt.request().arrival().requestClass(),
                            workMicros,
                            jobCount++);
            if (service.isDraining()
                    || connections.size() > emulation.scenario().upstreams().maxConnections()
                    || !alive
                    || !model.tryAccept(nowMicros, newJob)) {
                receivedAttempt.addTraceEvent(nowMicros, "s" + spec.number(), "rejected");
                respond(503, true, "");
                return;
            }
            runningJob = newJob;
            runningAttempt = receivedAttempt;
            runningJobs.put(runningJob, this);
            emulation
                    .invariants()
                    .executionStarted(receivedAttempt, spec.number(), spec.zone(), nowMicros);
            scheduleCompletion();
        }

        private void checkSlowStartBudget(long workMicros, long nowMicros) {
            if (slowStartBudget == null) {
                return;
            }
            if (model.slowStartFraction(nowMicros) >= 1) {
                slowStartBudget = null;
            } else if (slowStartBudget.sent(
                    nowMicros,
                    workMicros,
                    model.capacity(nowMicros),
                    emulation
                            .invariants()
                            .isStartNotified(balancer, spec.number(), startedAtMicros))) {
                emulation
                        .invariants()
                        .recordViolation(
                                "cold budget",
                                nowMicros,
                                null,
                                "s"
                                        + spec.number()
                                        + " exceeded its slow-start budget "
                                        + (nowMicros - startedAtMicros) / 1000
                                        + " ms after its start");
                crash();
            } else {
                peakSlowStartUtilization =
                        Math.max(peakSlowStartUtilization, slowStartBudget.peakUtilization());
            }
        }

        void completeJob(long nowMicros) {
            boolean fails = service.failsClass(runningJob.requestClass());
            runningAttempt.addTraceEvent(
                    nowMicros, "s" + spec.number(), fails ? "fails" : "responds");
            ClientAttempt completedAttempt = runningAttempt;
            runningJob = null;
            runningAttempt = null;
            respond(
                    fails ? 500 : 200,
                    false,
                    fails ? "" : responseBody(spec.number(), completedAttempt.id()));
        }

        private void respond(int status, boolean rejected, String body) {
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(status),
                            Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            if (rejected) {
                response.headers().set(REJECTED_HEADER, "1");
            }
            channel().writeAndFlush(response);
        }
    }

    /** Returns the body of an upstream's response to a request, unique to both. */
    static String responseBody(int upstream, String requestId) {
        return "s" + upstream + " made this for " + requestId;
    }

    private void scheduleCompletion() {
        long completionMicros = model.nextCompletionMicros();
        if (completionMicros == nextCompletionMicros) {
            return;
        }
        if (completionTimer != null) {
            completionTimer.cancel(false);
        }
        nextCompletionMicros = completionMicros;
        completionTimer =
                completionMicros == Long.MAX_VALUE
                        ? null
                        : emulation.scheduleTimer(completionMicros, this::completeJobs);
    }

    private void completeJobs() {
        nextCompletionMicros = Long.MAX_VALUE;
        long nowMicros = emulation.nowMicros();
        for (Job job = model.pollCompleted(nowMicros);
                job != null;
                job = model.pollCompleted(nowMicros)) {
            Connection connection = runningJobs.remove(job);
            if (connection != null) {
                connection.completeJob(nowMicros);
            }
        }
        scheduleCompletion();
    }

    /** Ends the process: resets its connections and refuses new ones. */
    void crash() {
        alive = false;
        updateListeners();
        new ArrayList<>(connections)
                .forEach(
                        connection -> {
                            connection.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                            connection.channel().close();
                        });
    }

    @Override
    public void start() {
        long nowMicros = emulation.nowMicros();
        alive = true;
        service.onProcessStarted();
        startedAtMicros = nowMicros;
        slowStartBudget = SlowStartBudget.of(emulation.scenario());
        model.restart(nowMicros);
        updateListeners();
    }

    @Override
    public FaultableService service() {
        return service;
    }

    @Override
    public void setVanished(boolean vanished) {
        vanishCount += vanished ? 1 : -1;
        for (NetworkPath path : paths) {
            path.applyLinkFault(VANISHED, true, true, vanished);
        }
        updateListeners();
    }

    /** Returns the largest fraction of the slow-start budget that has been used so far. */
    public double peakSlowStartUtilization() {
        return peakSlowStartUtilization;
    }

    /** Returns the number of connections that have been established. */
    public long connectionsAccepted() {
        return connectionsAccepted;
    }

    void close() {
        listeners.forEach(ControllableListener::close);
    }
}
