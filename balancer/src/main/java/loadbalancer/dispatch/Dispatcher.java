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
 * Connects the network side to the routing policy: passes requests, endpoint lists and messages of
 * other balancers to the policy as events and executes the actions that the policy requests. It
 * makes no routing decisions. Event loop thread only.
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

    /**
     * Creates a dispatcher; {@link #attach} must be called before the first event.
     *
     * @param ids the ids of the requests that may have run, which are not forwarded again
     */
    public Dispatcher(
            EventLoop loop,
            BootSettings boot,
            RoutingPolicy policy,
            Consumer<String> log,
            EventLog events,
            Metrics metrics,
            RequestIds ids) {
        this.policy = policy;
        context = new DispatchContext(loop, boot, new MonotonicClock(), log, events, metrics);
        policyEvents = new PolicyEvents(policy, context.clock(), log);
        requests = new RequestTable(loop, ids);
        FinalResponses responses = new FinalResponses(context, requests, policyEvents);
        attempts = new AttemptRunner(context, requests, responses, policyEvents);
        lifecycle = new ExchangeLifecycle(context, requests, responses, attempts, policyEvents);
        actions = new PolicyActions(context, requests, responses, attempts, policyEvents);
        policyEvents.attach(actions);
    }

    /**
     * Sets the pool, the discovery client and the peer transport. Called once. {@code
     * discoveryClient} and {@code peerTransport} are null for a warm-up, which has neither
     * discovery nor peers.
     */
    public void attach(
            UpstreamPool pool, DiscoveryClient discoveryClient, PeerTransport peerTransport) {
        upstreamPool = pool;
        attempts.attach(pool);
        actions.attach(pool, discoveryClient, peerTransport);
    }

    /**
     * Returns the time in µs since 1970 by a monotonic clock. It never goes back and is comparable
     * with an endpoint's start time.
     */
    public long nowMicros() {
        return context.nowMicros();
    }

    /**
     * Accepts a request. Its one final response is sent through {@code responseSender}.
     *
     * @return the handle by which the client side reports further events of the request
     */
    public RequestHandle submitRequest(ProxyRequest proxyRequest, ResponseSender responseSender) {
        return lifecycle.submit(proxyRequest, responseSender);
    }

    /** Returns the number of requests accepted since the start. */
    public long acceptedRequestCount() {
        return requests.acceptedRequestCount();
    }

    /** Returns the number of requests without a complete final response. */
    public int pendingRequestCount() {
        return requests.pendingRequestCount();
    }

    /**
     * Runs {@code callback} on the event loop each time the last pending request is settled, and
     * now if no request is pending.
     */
    public void whenIdle(Runnable callback) {
        requests.whenIdle(callback);
    }

    /**
     * Returns whether clients use the fleet: this balancer has accepted a request, or other
     * balancers report requests.
     */
    public boolean isInService() {
        return requests.acceptedRequestCount() > 0 || policy.remoteRequestsPerSecond() > 0;
    }

    /** Applies a complete endpoint list or a delta and passes it to the policy. */
    public void onEndpointListUpdate(EndpointListKind kind, EndpointList endpointList) {
        upstreamPool.updateEndpoints(endpointList, nowMicros());
        policyEvents.endpointListReceived(kind, endpointList);
    }

    /** Tells the policy that a poll or a watch that it requested has failed. */
    public void onDiscoveryFailed() {
        policyEvents.endpointListReceived(EndpointListKind.FAILED, null);
    }

    /** Returns the number of listed endpoints that are currently ejected. */
    public int ejectedEndpointCount() {
        return policy.ejectedEndpointCount(nowMicros());
    }

    /** Passes a message of the balancer with the number {@code sender} to the policy. */
    public void onPeerMessage(int sender, byte[] payload) {
        policyEvents.peerMessageReceived(sender, payload);
    }

    /** Returns the policy's state to restore after a crash, or null if there is none. */
    public PolicySnapshot policySnapshot() {
        return policy.snapshot(nowMicros());
    }

    /** Restores the policy from a snapshot taken {@code ageMicros} µs ago. */
    public void restorePolicy(PolicySnapshot snapshot, long ageMicros) {
        policyEvents.restore(snapshot, ageMicros);
    }

    /** Stops passing events to the policy, so that it requests no further actions. */
    public void retire() {
        policyEvents.retire();
    }

    /** Returns the counters since the start, for the log. */
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
