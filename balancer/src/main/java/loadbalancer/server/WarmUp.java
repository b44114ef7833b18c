package loadbalancer.server;

import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalAddress;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.dispatch.Dispatcher;
import loadbalancer.http.WarmUpTraffic;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.upstream.UpstreamPool;

/**
 * Takes requests of its own through the whole path, over this node's own address, before clients
 * come. Guards against a cold start: with nothing compiled yet a node took hundreds of milliseconds
 * for its first requests, fell behind at once under a full load, and answered some after their
 * deadlines. It has a module, a dispatcher and connections of its own, which end with it, so that
 * the real ones learn nothing from it.
 */
public final class WarmUp implements WarmUpTraffic {
    // Enough to have what a request needs compiled, where nobody waits: after 40 alone two
    // balancers on half
    // a core each were late with 8% of the first seconds' requests.
    private static final int REQUEST_COUNT = 300;
    // Where clients are at work already, this balancer is missing: the first ones load and link.
    private static final int HURRIED_REQUEST_COUNT = 40;
    private static final int CONCURRENCY = 8;
    // Real requests, where they come already, go between
    private static final int HURRIED_CONCURRENCY = 2;
    // Every third is turned away in the last part
    private static final int REJECT_EVERY_NTH = 3;
    private static final int ENDPOINT_COUNT = 8;
    // Where the machine is busy
    private static final long MAX_DURATION_MS = 4_000;
    // µs for one request
    private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;

    private final EventLoop loop;
    private final BootSettings boot;
    private final LongSupplier clientRequestCount;
    private final BooleanSupplier hurried;
    private final Runnable onFinished;
    private final Dispatcher dispatcher;
    private final UpstreamPool upstreamPool;
    private final UpstreamPool clientPool;
    private int startedRequests;
    private int completedRequests;
    private int upstreamRequests;
    private boolean finished;

    /**
     * {@code onFinished} runs on the loop when it is over. Where {@code inProcessAddress} is not
     * null the requests go through that address within this process: at the node's own another
     * process may answer. {@code clientRequestCount} tells how many requests clients have brought:
     * each stands for one of the rehearsal, which only keeps it waiting. {@code hurried}: whether
     * this balancer is missing meanwhile.
     */
    WarmUp(
            EventLoop loop,
            BalancerConfig config,
            LocalAddress inProcessAddress,
            LongSupplier clientRequestCount,
            BooleanSupplier hurried,
            Runnable onFinished) {
        this.loop = loop;
        this.boot = config.boot();
        this.clientRequestCount = clientRequestCount;
        this.hurried = hurried;
        this.onFinished = onFinished;
        RoutingPolicy policy = new RoutingEngine(boot.settings(), config.seed());
        Metrics metrics = new Metrics(boot.classNames());
        EventLog silentEvents = new EventLog(line -> {}, System::nanoTime);
        dispatcher = new Dispatcher(loop, boot, policy, line -> {}, silentEvents, metrics);
        FileDescriptorBudget descriptorBudget =
                new FileDescriptorBudget(config.maxSockets(), false);
        BodyRelay.BufferBudget bufferBudget = new BodyRelay.BufferBudget();
        upstreamPool =
                new UpstreamPool(
                        loop,
                        boot,
                        descriptorBudget,
                        dispatcher::nowMicros,
                        silentEvents,
                        metrics,
                        bufferBudget,
                        inProcessAddress);
        clientPool =
                new UpstreamPool(
                        loop,
                        boot,
                        descriptorBudget,
                        dispatcher::nowMicros,
                        silentEvents,
                        metrics,
                        bufferBudget,
                        inProcessAddress);
        dispatcher.attach(upstreamPool, null, null);
    }

    @Override
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    void start(InetSocketAddress ownAddress) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINT_COUNT; i++) {
            Endpoint endpoint =
                    new Endpoint(
                            "rehearsal-" + i,
                            EndpointStatus.UP,
                            0,
                            1,
                            0,
                            i % 2,
                            boot.settings().zone());
            entries.add(new EndpointList.Entry(endpoint, ownAddress));
        }
        EndpointList endpointList = new EndpointList(0, true, entries);
        clientPool.updateEndpoints(endpointList, dispatcher.nowMicros());
        dispatcher.onEndpointListUpdate(EndpointListKind.CACHED, endpointList);
        loop.schedule(this::finish, MAX_DURATION_MS, TimeUnit.MILLISECONDS);
        for (int i = 0; i < CONCURRENCY; i++) {
            sendNext();
        }
    }

    /** As an upstream: whether the request that has come back is turned away. */
    @Override
    public boolean shouldReject() {
        upstreamRequests++;
        return startedRequests > HURRIED_REQUEST_COUNT / 2
                && upstreamRequests % REJECT_EVERY_NTH == 0;
    }

    private void sendNext() {
        boolean hurriedNow = hurried.getAsBoolean();
        if (finished
                || startedRequests + clientRequestCount.getAsLong()
                        >= (hurriedNow ? HURRIED_REQUEST_COUNT : REQUEST_COUNT)) {
            if (completedRequests == startedRequests) {
                finish();
            }
            return;
        }
        if (startedRequests - completedRequests
                >= (hurriedNow ? HURRIED_CONCURRENCY : CONCURRENCY)) {
            return;
        }
        int requestClass = startedRequests++ % boot.classNames().size();
        Idempotency idempotency = boot.settings().requestClasses().get(requestClass).idempotency();
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set("Req-Id", "rehearsal-" + startedRequests)
                        .set("Req-Kind", boot.classNames().get(requestClass))
                        .set("Req-Cost", Integer.toString(startedRequests));
        if (idempotency == Idempotency.IDEMPOTENCY_KEY) {
            headers.set("Idempotency-Key", "rehearsal-" + startedRequests);
        }
        HttpMethod method =
                idempotency == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        byte[] body = new byte[idempotency == Idempotency.IDEMPOTENT ? 0 : 200];
        ProxyRequest proxyRequest =
                new ProxyRequest(
                        method,
                        REQUEST_PATH,
                        headers,
                        body,
                        requestClass,
                        0,
                        null,
                        REQUEST_TIMEOUT_MICROS,
                        -1,
                        false);
        clientPool.send(
                "rehearsal-0",
                proxyRequest,
                REQUEST_TIMEOUT_MICROS,
                (outcome, response, load) -> {
                    completedRequests++;
                    if (!finished) {
                        loop.execute(this::sendNext);
                    }
                });
    }

    private void finish() {
        if (!finished) {
            finished = true;
            dispatcher.retire();
            clientPool.close();
            upstreamPool.close();
            onFinished.run();
        }
    }
}
