package loadbalancer.dispatch;

import java.util.concurrent.TimeUnit;
import loadbalancer.cluster.PeerTransport;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReportSource;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.upstream.UpstreamPool;

/**
 * Executes the actions that the routing policy requests. Actions on requests that are no longer in
 * the table are ignored. Event loop thread only.
 */
final class PolicyActions implements RoutingActions {
    private final DispatchContext context;
    private final RequestTable requests;
    private final FinalResponses responses;
    private final AttemptRunner attempts;
    private final PolicyEvents policyEvents;
    private UpstreamPool upstreamPool;
    // Null in a warm-up, which has no discovery.
    private DiscoveryClient discovery;
    // Null in a warm-up, which has no peers.
    private PeerTransport peers;

    PolicyActions(
            DispatchContext context,
            RequestTable requests,
            FinalResponses responses,
            AttemptRunner attempts,
            PolicyEvents policyEvents) {
        this.context = context;
        this.requests = requests;
        this.responses = responses;
        this.attempts = attempts;
        this.policyEvents = policyEvents;
    }

    /**
     * Sets the pool, the discovery client and the peer transport. Called once; {@code
     * discoveryClient} and {@code peerTransport} may be null.
     */
    void attach(UpstreamPool pool, DiscoveryClient discoveryClient, PeerTransport peerTransport) {
        upstreamPool = pool;
        discovery = discoveryClient;
        peers = peerTransport;
    }

    @Override
    public void send(String requestId, String endpointId, long timeoutMicros) {
        Exchange exchange = requests.find(requestId);
        if (exchange != null) {
            attempts.send(exchange, endpointId, timeoutMicros);
        }
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        Exchange exchange = requests.find(requestId);
        if (exchange != null && !exchange.isClosed()) {
            responses.reject(exchange, retryAfterMicros);
        }
    }

    @Override
    public void fail(String requestId) {
        Exchange exchange = requests.find(requestId);
        if (exchange != null && !exchange.isClosed()) {
            responses.fail(exchange);
        }
    }

    @Override
    public void cancel(String requestId, int attemptNumber) {
        Exchange exchange = requests.find(requestId);
        if (exchange != null && attemptNumber < exchange.attemptCount()) {
            attempts.abandon(exchange.attempt(attemptNumber), AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void checkHealth(String endpointId) {
        long sentAtMicros = context.nowMicros();
        boolean withLoadReport =
                context.boot().settings().loadReportSource() != LoadReportSource.NONE;
        upstreamPool.sendHealthCheck(
                endpointId,
                withLoadReport,
                (outcome, response, load) ->
                        policyEvents.healthCheckEnded(endpointId, outcome, sentAtMicros, load));
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        upstreamPool.closeIdleConnections(endpointId);
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        if (discovery != null) {
            discovery.setWatching(enabled);
        }
    }

    @Override
    public void fetchEndpointList() {
        if (discovery != null) {
            discovery.fetchList();
        }
    }

    @Override
    public void sendToPeer(int peer, byte[] payload) {
        if (peers != null) {
            peers.send(peer, payload);
        }
    }

    @Override
    public void scheduleTimer(long delayMicros) {
        context.loop().schedule(policyEvents::timerExpired, delayMicros, TimeUnit.MICROSECONDS);
    }

    @Override
    public void log(String message) {
        context.log().accept(message);
    }
}
