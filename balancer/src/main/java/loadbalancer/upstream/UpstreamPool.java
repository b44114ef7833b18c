package loadbalancer.upstream;

import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.EndpointStatus;

/**
 * The connections to all endpoints of the list: sends a request over an idle connection or a new
 * one, one request at a time on each. All methods belong to the event loop's thread.
 */
public final class UpstreamPool {
    /** Connections are idle for at most this fraction of the upstreams' own idle timeout. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.5;

    /** Used where the settings give no limit. */
    private static final int DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

    private final BootSettings boot;
    private final PoolContext context;
    private final UpstreamConnector connector;
    private final IdleConnectionEvictor evictor;
    private final Map<String, EndpointPool> endpointPools = new HashMap<>();
    private final Set<String> listedEndpoints = new HashSet<>();

    /** A pool that connects to the endpoints' own addresses. */
    public UpstreamPool(
            EventLoop loop,
            BootSettings boot,
            FileDescriptorBudget descriptorBudget,
            LongSupplier clockMicros,
            EventLog events,
            Metrics metrics,
            BodyRelay.BufferBudget bufferBudget) {
        this(loop, boot, descriptorBudget, clockMicros, events, metrics, bufferBudget, null);
    }

    /**
     * A pool for which every endpoint is at {@code inProcessAddress}, within this process; null:
     * each endpoint is at its own address.
     */
    public UpstreamPool(
            EventLoop loop,
            BootSettings boot,
            FileDescriptorBudget descriptorBudget,
            LongSupplier clockMicros,
            EventLog events,
            Metrics metrics,
            BodyRelay.BufferBudget bufferBudget,
            LocalAddress inProcessAddress) {
        this.boot = boot;
        this.context =
                new PoolContext(
                        loop,
                        clockMicros,
                        events,
                        metrics,
                        descriptorBudget,
                        bufferBudget,
                        maxIdleMicros(boot));
        this.connector = new UpstreamConnector(context, connectTimeoutMs(), inProcessAddress);
        this.evictor = new IdleConnectionEvictor(context, endpointPools.values());
        evictor.start();
    }

    private static long maxIdleMicros(BootSettings boot) {
        return boot.idleTimeoutMicros() > 0
                ? (long) (boot.idleTimeoutMicros() * IDLE_TIMEOUT_FRACTION)
                : Long.MAX_VALUE;
    }

    private int connectTimeoutMs() {
        long limitMicros = boot.settings().limits().connectTimeoutMicros();
        return limitMicros > 0
                ? (int) Math.max(1, Math.min(Integer.MAX_VALUE, limitMicros / 1000))
                : DEFAULT_CONNECT_TIMEOUT_MS;
    }

    /** The number of connections, as the counters line of the log gives it. */
    @Override
    public String toString() {
        int idleConnections =
                endpointPools.values().stream().mapToInt(EndpointPool::idleCount).sum();
        return context.openConnections() + " upstream connections (" + idleConnections + " idle)";
    }

    // ---------------------------------------------------------------- endpoint list

    /** The number of endpoints in the list, those that are draining included. */
    public int listedEndpoints() {
        return listedEndpoints.size();
    }

    /**
     * Applies a complete list or a delta: endpoints that are not up, or that a complete list no
     * longer names, begin to drain.
     *
     * @param nowMicros the time in µs by the pool's clock
     */
    public void updateEndpoints(EndpointList endpointList, long nowMicros) {
        long graceMicros = boot.settings().bounds().drainGraceMicros();
        Set<String> receivedIds = new HashSet<>();
        if (endpointList.complete()) {
            listedEndpoints.clear();
        }
        for (EndpointList.Entry entry : endpointList.entries()) {
            receivedIds.add(entry.endpoint().id());
            updateEndpoint(entry, nowMicros, graceMicros);
        }
        if (endpointList.complete()) {
            for (EndpointPool endpointPool : endpointPools.values()) {
                if (!receivedIds.contains(endpointPool.id())) {
                    endpointPool.drain(nowMicros, graceMicros);
                }
            }
        }
    }

    private void updateEndpoint(EndpointList.Entry entry, long nowMicros, long graceMicros) {
        String endpointId = entry.endpoint().id();
        EndpointStatus status = entry.endpoint().status();
        if (status == EndpointStatus.REMOVED) {
            listedEndpoints.remove(endpointId);
        } else {
            listedEndpoints.add(endpointId);
        }
        EndpointPool endpointPool =
                endpointPools.computeIfAbsent(endpointId, id -> new EndpointPool(context, id));
        entry.address().ifPresent(endpointPool::updateAddress);
        if (status == EndpointStatus.UP) {
            endpointPool.markUp();
        } else {
            endpointPool.drain(nowMicros, graceMicros);
        }
    }

    // ---------------------------------------------------------------- requests

    /**
     * Sends a request; it may end before this returns.
     *
     * @param timeoutMicros how long the caller will wait for the response; sent to the endpoint
     */
    public UpstreamRequest send(
            String endpointId,
            ProxyRequest proxyRequest,
            long timeoutMicros,
            UpstreamResponseListener listener) {
        UpstreamRequest request = UpstreamRequest.attempt(proxyRequest, timeoutMicros, listener);
        start(endpointId, request);
        return request;
    }

    /** Sends a health check; it ends after the connect timeout at the latest. */
    public void sendHealthCheck(
            String endpointId, boolean withLoadReport, UpstreamResponseListener listener) {
        UpstreamRequest request = UpstreamRequest.healthCheck(withLoadReport, listener);
        request.startTimeout(context.loop(), connectTimeoutMs());
        start(endpointId, request);
    }

    private void start(String endpointId, UpstreamRequest request) {
        EndpointPool endpointPool = endpointPools.get(endpointId);
        if (endpointPool == null || endpointPool.address() == null || endpointPool.isDrained()) {
            request.completeWithoutResponse(AttemptOutcome.NOT_SENT);
            return;
        }
        UpstreamConnection idleConnection = endpointPool.acquireIdle();
        if (idleConnection != null) {
            idleConnection.write(request);
        } else if (context.hasFreeDescriptor() || evictor.closeLongestIdle()) {
            connector.connect(endpointPool, request);
        } else {
            request.completeWithoutResponse(AttemptOutcome.CONNECT_FAILED);
        }
    }

    // ---------------------------------------------------------------- idle connections

    /** Closes the idle connections to one endpoint. */
    public void closeIdleConnections(String endpointId) {
        EndpointPool endpointPool = endpointPools.get(endpointId);
        if (endpointPool != null) {
            endpointPool.closeIdleConnections();
        }
    }

    /** Closes the connection that has been idle for longest; false where none is idle. */
    public boolean closeLongestIdle() {
        return evictor.closeLongestIdle();
    }

    /** Closes all idle connections, and each other one when its request has ended. */
    public void close() {
        evictor.stop();
        endpointPools.values().forEach(EndpointPool::shutDown);
    }
}
