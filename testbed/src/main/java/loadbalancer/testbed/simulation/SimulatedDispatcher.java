package loadbalancer.testbed.simulation;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.testbed.invariant.ClientAttempt;

/**
 * Manages the exchanges and attempts of one balancer process: passes events to the routing policy
 * and carries out its actions. A client receives the first final response of its exchange. The
 * outcomes of the other attempts are reported to the policy only. Events are handled on the
 * balancer's {@link PolicyEventLoop}. {@link #setPolicy} and {@link #closeAll} are called directly
 * when the process starts and ends. Used only by the thread that runs the simulation.
 */
final class SimulatedDispatcher implements RoutingActions, SimulatedTransport.AttemptListener {
    private static final int MAX_ATTEMPTS = 4;
    private static final int STATUS_OK = 200;
    private static final int STATUS_INTERNAL_ERROR = 500;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    // The policy is not told the work of a request.
    private static final int UNKNOWN_WORK = -1;

    private final int balancer;
    private final SimulationContext context;
    private final VirtualTimeScheduler scheduler;
    private final PolicyEventLoop eventLoop;
    private final SimulatedTransport transport;
    private final SimulatedDiscoveryAgent discoveryAgent;
    private final Map<String, SimulatedExchange> exchanges = new HashMap<>();
    private RoutingPolicy policy;
    private long datagramsSent;
    private long bytesSent;

    /** Creates a dispatcher without exchanges; it has no policy until {@link #setPolicy}. */
    SimulatedDispatcher(
            int balancer,
            SimulationContext context,
            PolicyEventLoop eventLoop,
            SimulatedDiscoveryAgent discoveryAgent) {
        this.balancer = balancer;
        this.context = context;
        this.scheduler = context.scheduler();
        this.eventLoop = eventLoop;
        this.discoveryAgent = discoveryAgent;
        this.transport = new SimulatedTransport(balancer, context, eventLoop, this);
    }

    /** Sets the routing policy of a new process. */
    void setPolicy(RoutingPolicy newPolicy) {
        policy = newPolicy;
    }

    long datagramsSent() {
        return datagramsSent;
    }

    long bytesSent() {
        return bytesSent;
    }

    long connectionsOpened() {
        return transport.connectionsOpened();
    }

    /** Passes the endpoint list or a part of it to the policy. */
    void onEndpointList(EndpointListKind kind, List<Endpoint> endpoints) {
        policy.onEndpointList(eventLoop.policyNowMicros(), kind, endpoints, this);
    }

    /** Passes a datagram from another balancer to the policy. */
    void onPeerMessage(int sender, byte[] payload) {
        policy.onPeerMessage(eventLoop.policyNowMicros(), sender, payload, this);
    }

    /**
     * Ends all exchanges because the process has ended. Clients that wait for a response see their
     * connection close.
     */
    void closeAll() {
        List<SimulatedExchange> openExchanges =
                exchanges.values().stream()
                        .filter(exchange -> !exchange.isClosed())
                        .sorted(Comparator.comparing(SimulatedExchange::requestId))
                        .toList();
        exchanges.values().forEach(SimulatedDispatcher::cancelOpenAttempts);
        exchanges
                .values()
                .forEach(exchange -> context.invariants().releaseAttempt(exchange.clientAttempt()));
        exchanges.clear();
        transport.closeAll();
        openExchanges.forEach(
                exchange -> context.clients().onConnectionClosed(exchange.clientAttempt()));
    }

    private static void cancelOpenAttempts(SimulatedExchange exchange) {
        for (SimulatedAttempt attempt : exchange.attempts()) {
            if (!attempt.ended()) {
                attempt.cancelJob();
                attempt.markEnded();
            }
        }
    }

    /** Accepts a request whose client waits until {@code deadlineMicros}, time of the run in µs. */
    void accept(ClientAttempt clientAttempt, long deadlineMicros) {
        SimulatedExchange exchange = new SimulatedExchange(clientAttempt, deadlineMicros);
        exchanges.put(exchange.requestId(), exchange);
        policy.onRequest(
                eventLoop.policyNowMicros(),
                exchange.requestId(),
                clientAttempt.request().arrival().requestClass(),
                clientAttempt.request().arrival().tenant(),
                null,
                Math.max(0, exchange.timeLeftMicros(scheduler.nowMicros())),
                UNKNOWN_WORK,
                false,
                this);
        eventLoop.submitAfter(
                Math.max(0, exchange.timeUntilMarginMicros(scheduler.nowMicros())),
                () -> failAtDeadline(exchange));
    }

    private void failAtDeadline(SimulatedExchange exchange) {
        if (!exchange.isClosed()) {
            fail(exchange.requestId());
            policy.onClientDisconnected(eventLoop.policyNowMicros(), exchange.requestId(), this);
        }
    }

    /** Closes the exchange of a client that has disconnected, and notifies the policy. */
    void onClientDisconnected(ClientAttempt clientAttempt) {
        SimulatedExchange exchange = exchanges.get(clientAttempt.id());
        if (exchange != null && !exchange.isClosed()) {
            exchange.markClosed();
            policy.onClientDisconnected(eventLoop.policyNowMicros(), exchange.requestId(), this);
            removeIfFinished(exchange);
        }
    }

    private void respondToClient(String requestId, int status, long retryAfterMicros) {
        SimulatedExchange exchange = exchanges.get(requestId);
        if (exchange != null && !exchange.isClosed()) {
            exchange.markClosed();
            context.clients().onResponse(exchange.clientAttempt(), status, retryAfterMicros);
            removeIfFinished(exchange);
        }
    }

    private void removeIfFinished(SimulatedExchange exchange) {
        if (exchange.isFinished()) {
            exchanges.remove(exchange.requestId());
            context.invariants().releaseAttempt(exchange.clientAttempt());
        }
    }

    @Override
    public void send(String requestId, String endpointId, long timeoutMicros) {
        SimulatedExchange exchange = exchanges.get(requestId);
        if (exchange == null) {
            return;
        }
        SimulatedAttempt attempt =
                exchange.newAttempt(context.upstreams().byUid(endpointId), scheduler.nowMicros());
        long timeLeftMicros = exchange.timeUntilMarginMicros(scheduler.nowMicros());
        if (exchange.isClosed()
                || timeLeftMicros <= 0
                || exchange.attempts().size() > MAX_ATTEMPTS) {
            endAfter(0, attempt, AttemptOutcome.NOT_SENT);
            return;
        }
        endAfter(
                timeoutMicros > 0 ? Math.min(timeoutMicros, timeLeftMicros) : timeLeftMicros,
                attempt,
                AttemptOutcome.TIMEOUT);
        transport.send(attempt);
    }

    @Override
    public void cancel(String requestId, int attemptNumber) {
        SimulatedExchange exchange = exchanges.get(requestId);
        if (exchange != null && attemptNumber < exchange.attempts().size()) {
            endAfter(0, exchange.attempts().get(attemptNumber), AttemptOutcome.CANCELLED);
        }
    }

    private void endAfter(long delayMicros, SimulatedAttempt attempt, AttemptOutcome outcome) {
        eventLoop.submitAfter(delayMicros, () -> onAttemptEnded(attempt, outcome));
    }

    @Override
    public void onAttemptEnded(SimulatedAttempt attempt, AttemptOutcome outcome) {
        if (attempt.ended()) {
            return;
        }
        attempt.markEnded();
        if (isResponse(outcome)) {
            transport.release(attempt);
        } else {
            transport.abort(attempt);
        }
        SimulatedExchange exchange = attempt.exchange();
        if (outcome == AttemptOutcome.OK && !exchange.isClosed()) {
            exchange.markClosed();
            context.clients().onResponse(exchange.clientAttempt(), STATUS_OK, 0);
        }
        policy.onAttemptEnded(
                eventLoop.policyNowMicros(),
                exchange.requestId(),
                attempt.number(),
                outcome,
                scheduler.nowMicros() - attempt.startedAtMicros(),
                exchange.isClosed(),
                null,
                this);
        removeIfFinished(exchange);
    }

    private static boolean isResponse(AttemptOutcome outcome) {
        return switch (outcome) {
            case OK, ERROR, REJECTED -> true;
            default -> false;
        };
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        respondToClient(requestId, STATUS_SERVICE_UNAVAILABLE, retryAfterMicros);
    }

    @Override
    public void fail(String requestId) {
        respondToClient(requestId, STATUS_INTERNAL_ERROR, 0);
    }

    @Override
    public void checkHealth(String endpointId) {
        SimulatedTransport.HealthCheckResult result =
                transport.checkHealth(context.upstreams().byUid(endpointId));
        eventLoop.submitAfter(
                result.latencyMicros(),
                () ->
                        policy.onHealthCheckResult(
                                eventLoop.policyNowMicros(),
                                endpointId,
                                result.outcome(),
                                result.latencyMicros(),
                                null,
                                this));
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        // Discovery always pushes changes in the simulation.
    }

    @Override
    public void fetchEndpointList() {
        eventLoop.submitAfter(
                0, () -> onEndpointList(EndpointListKind.COMPLETE, discoveryAgent.endpoints()));
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        transport.closeIdleConnections(context.upstreams().byUid(endpointId));
    }

    @Override
    public void sendToPeer(int peer, byte[] payload) {
        datagramsSent++;
        bytesSent += payload.length;
        context.datagrams().send(balancer, peer, payload);
    }

    @Override
    public void scheduleTimer(long delayMicros) {
        eventLoop.submitAfter(
                Math.max(1, delayMicros), () -> policy.onTimer(eventLoop.policyNowMicros(), this));
    }

    @Override
    public void log(String message) {
        context.logListener().accept(scheduler.nowMicros() + " n" + balancer + " " + message);
    }
}
