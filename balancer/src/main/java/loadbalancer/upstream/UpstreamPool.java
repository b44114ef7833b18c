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
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.proxy.PeerMemory;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.EndpointStatus;

/**
 * Holds the connections to all endpoints of the list and sends each request over an idle or a new
 * connection, one request at a time on each. Event loop thread only.
 */
public final class UpstreamPool {
    /** Maximum idle time of a connection, as a fraction of the upstreams' own idle timeout. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.5;

    /** Connect timeout if the settings contain none. */
    private static final int DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

    private final BootSettings boot;
    private final PoolContext context;
    private final UpstreamConnector connector;
    private final IdleConnectionEvictor evictor;
    private final Map<String, EndpointPool> endpointPools = new HashMap<>();
    private final Set<String> listedEndpoints = new HashSet<>();

    /** Creates a pool that connects to the endpoints' own addresses. */
    public UpstreamPool(
            EventLoop loop,
            BootSettings boot,
            FileDescriptorBudget descriptorBudget,
            LongSupplier clockMicros,
            EventLog events,
            Metrics metrics,
            PeerMemory memory) {
        this(loop, boot, descriptorBudget, clockMicros, events, metrics, memory, null);
    }

    /**
     * Creates a pool.
     *
     * @param inProcessAddress the address of all endpoints within this process, or null to connect
     *     to each endpoint's own address
     */
    public UpstreamPool(
            EventLoop loop,
            BootSettings boot,
            FileDescriptorBudget descriptorBudget,
            LongSupplier clockMicros,
            EventLog events,
            Metrics metrics,
            PeerMemory memory,
            LocalAddress inProcessAddress) {
        this.boot = boot;
        this.context =
                new PoolContext(
                        loop,
                        clockMicros,
                        events,
                        metrics,
                        descriptorBudget,
                        memory,
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

    /** Returns the number of connections in the format of the log's counters line. */
    @Override
    public String toString() {
        int idleConnections =
                endpointPools.values().stream().mapToInt(EndpointPool::idleCount).sum();
        return context.openConnections() + " upstream connections (" + idleConnections + " idle)";
    }

    /** Returns the number of endpoints in the list, including draining ones. */
    public int listedEndpointCount() {
        return listedEndpoints.size();
    }

    /**
     * Applies a complete endpoint list or a delta. Endpoints that are not up, or that are missing
     * from a complete list, start draining.
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

    /**
     * Sends a request. It may end before this method returns.
     *
     * @param timeoutMicros the time in µs that the caller waits for the response, which is also
     *     sent to the endpoint
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

    /** Sends a health check, which ends after the connect timeout at the latest. */
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

    /** Closes the idle connections to an endpoint. */
    public void closeIdleConnections(String endpointId) {
        EndpointPool endpointPool = endpointPools.get(endpointId);
        if (endpointPool != null) {
            endpointPool.closeIdleConnections();
        }
    }

    /**
     * Closes the longest idle connection of all endpoints.
     *
     * @return false if no connection is idle
     */
    public boolean closeLongestIdle() {
        return evictor.closeLongestIdle();
    }

    /** Closes all idle connections now and each other connection when its request has ended. */
    public void close() {
        evictor.stop();
        endpointPools.values().forEach(EndpointPool::shutDown);
    }
}
