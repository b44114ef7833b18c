package loadbalancer.dispatch;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.cluster.PeerTransport;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.PolicySnapshot;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.upstream.UpstreamPool;

/**
 * Connects the sockets to the routing policy: takes requests, endpoint lists and messages of other
 * balancers, hands them to the policy as events and carries out the actions that it asks for. It
 * decides nothing. All methods belong to the event loop's thread.
 */
public final class Dispatcher {
    private final RoutingPolicy policy;
    private final DispatchContext context;
    private final PolicyEvents policyEvents;
    private final RequestTable requests;
    private final AttemptRunner attempts;
    private final ExchangeLifecycle lifecycle;
    private final PolicyActions actions;
    private UpstreamPool upstreamPool;

    /** {@link #attach} comes before the first event. */
    public Dispatcher(
            EventLoop loop,
            BootSettings boot,
            RoutingPolicy policy,
            Consumer<String> log,
            EventLog events,
            Metrics metrics) {
        this.policy = policy;
        context = new DispatchContext(loop, boot, new MonotonicClock(), log, events, metrics);
        policyEvents = new PolicyEvents(policy, context.clock(), log);
        requests = new RequestTable(loop);
        FinalResponses responses = new FinalResponses(context, requests, policyEvents);
        attempts = new AttemptRunner(context, requests, responses, policyEvents);
        lifecycle = new ExchangeLifecycle(context, requests, responses, attempts, policyEvents);
        actions = new PolicyActions(context, requests, responses, attempts, policyEvents);
        policyEvents.attach(actions);
    }

    /**
     * Sets what the dispatcher works with, once. {@code discoveryClient} and {@code peerTransport}
     * are null for a warm-up, which has neither discovery nor peers.
     */
    public void attach(
            UpstreamPool pool, DiscoveryClient discoveryClient, PeerTransport peerTransport) {
        upstreamPool = pool;
        attempts.attach(pool);
        actions.attach(pool, discoveryClient, peerTransport);
    }

    /**
     * The time in µs since 1970 by a monotonic clock: comparable with an endpoint's start, and it
     * never goes back.
     */
    public long nowMicros() {
        return context.nowMicros();
    }

    // ---------------------------------------------------------------- requests

    /**
     * Takes a request, which gets one final response by {@code responseSender}.
     *
     * @return what the client side reports the request's further events to
     */
    public RequestHandle submitRequest(ProxyRequest proxyRequest, ResponseSender responseSender) {
        return lifecycle.submit(proxyRequest, responseSender);
    }

    /** The number of requests accepted since the start. */
    public long acceptedRequestCount() {
        return requests.acceptedRequestCount();
    }

    /** The number of requests that have no final response yet. */
    public int pendingRequestCount() {
        return requests.pendingRequestCount();
    }

    /** Runs {@code callback} on the loop as soon as no final response is owed. */
    public void whenIdle(Runnable callback) {
        requests.whenIdle(callback);
    }

    /** Whether clients send requests, to this balancer or to others that report them. */
    public boolean isInService() {
        return requests.acceptedRequestCount() > 0 || policy.remoteRequestsPerSecond() > 0;
    }

    // ---------------------------------------------------------------- endpoints and peers

    /** Takes an endpoint list or a delta. */
    public void onEndpointListUpdate(EndpointListKind kind, EndpointList endpointList) {
        upstreamPool.updateEndpoints(endpointList, nowMicros());
        policyEvents.endpointListReceived(kind, endpointList);
    }

    /** A poll or a watch that the routing policy asked for has failed. */
    public void onDiscoveryFailed() {
        policyEvents.endpointListReceived(EndpointListKind.FAILED, null);
    }

    /** The number of listed endpoints that get no requests now. */
    public int avoidedEndpointCount() {
        return policy.ejectedEndpointCount(nowMicros());
    }

    /** Takes a message of the balancer of number {@code sender}. */
    public void onPeerMessage(int sender, byte[] payload) {
        policyEvents.peerMessageReceived(sender, payload);
    }

    // ---------------------------------------------------------------- life cycle

    /** What the policy asks to be restored after a crash; null where there is nothing. */
    public PolicySnapshot policySnapshot() {
        return policy.snapshot(nowMicros());
    }

    /** Restores the policy from a snapshot taken {@code ageMicros} µs ago. */
    public void restorePolicy(PolicySnapshot snapshot, long ageMicros) {
        policyEvents.restore(snapshot, ageMicros);
    }

    /** The policy gets no event from here on, and so asks for nothing. */
    public void retire() {
        policyEvents.retire();
    }

    /** The counters since the start, for the log. */
    public String summary() {
        return requests.acceptedRequestCount()
                + " requests accepted, "
                + requests.pendingRequestCount()
                + " pending, "
                + lifecycle.fallbackResponseCount()
                + " fallback responses, "
                + policyEvents.exceptionCount()
                + " policy exceptions";
    }
}
