package loadbalancer.server;

import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalAddress;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.dispatch.Dispatcher;
import loadbalancer.dispatch.RequestIds;
import loadbalancer.http.WarmUpTraffic;
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.proxy.PeerMemory;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.upstream.UpstreamPool;

/**
 * Sends requests through the complete request path to this balancer's own address before clients
 * connect. Without it the first requests after a cold start take hundreds of milliseconds each;
 * under full load the balancer falls behind at once and answers some of them after their deadlines.
 * The warm-up has its own routing policy, dispatcher and connections, which end with it and do not
 * influence those of client requests. Confined to the event loop.
 */
final class WarmUp implements WarmUpTraffic {
    // Fewer requests leave code on the request path uncompiled: after only 40, two balancers on
    // half a core each were late with 8% of the requests of the first seconds.
    private static final int REQUEST_COUNT = 300;
    // Used if clients are waiting: the first requests load and link the classes.
    private static final int REDUCED_REQUEST_COUNT = 40;
    private static final int CONCURRENCY = 8;
    private static final int REDUCED_CONCURRENCY = 2;
    // Applies to upstream requests once half of the reduced request count has been started.
    private static final int REJECT_EVERY_NTH = 3;
    private static final int ENDPOINT_COUNT = 8;
    private static final long MAX_DURATION_MS = 4_000;
    private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;
    private static final int BODY_BYTES = 200;
    private static final String ID_PREFIX = "rehearsal-";

    private final EventLoop loop;
    private final BootSettings boot;
    private final LongSupplier clientRequestCount;
    private final BooleanSupplier clientsWaiting;
    private final Runnable onFinished;
    private final Dispatcher dispatcher;
    private final UpstreamPool upstreamPool;
    private final UpstreamPool clientPool;
    private int startedRequests;
    private int completedRequests;
    private int upstreamRequests;
    private boolean finished;

    /**
     * Creates a warm-up that has not started yet.
     *
     * @param inProcessAddress the in-process address that requests are sent to; if empty, they are
     *     sent to the balancer's own address
     * @param clientRequestCount the number of client requests so far, each of which replaces one
     *     warm-up request
     * @param clientsWaiting whether the fleet already serves clients and lacks this balancer, so
     *     that a shorter warm-up is used
     * @param onFinished runs on the event loop when the warm-up is over
     */
    WarmUp(
            EventLoop loop,
            BalancerConfig config,
            Optional<LocalAddress> inProcessAddress,
            PeerMemory memory,
            LongSupplier clientRequestCount,
            BooleanSupplier clientsWaiting,
            Runnable onFinished) {
        this.loop = loop;
        this.boot = config.boot();
        this.clientRequestCount = clientRequestCount;
        this.clientsWaiting = clientsWaiting;
        this.onFinished = onFinished;
        RoutingPolicy policy = new RoutingEngine(boot.settings(), config.seed());
        Metrics metrics = new Metrics(boot.classNames());
        EventLog silentEvents = new EventLog(line -> {}, System::nanoTime);
        dispatcher =
                new Dispatcher(
                        loop,
                        boot,
                        policy,
                        line -> {},
                        silentEvents,
                        metrics,
                        RequestIds.inMemory());
        FileDescriptorBudget descriptorBudget =
                new FileDescriptorBudget(config.maxSockets(), false);
        Supplier<UpstreamPool> newPool =
                () ->
                        new UpstreamPool(
                                loop,
                                boot,
                                descriptorBudget,
                                dispatcher::nowMicros,
                                silentEvents,
                                metrics,
                                memory,
                                inProcessAddress.orElse(null));
        upstreamPool = newPool.get();
        clientPool = newPool.get();
        dispatcher.attach(upstreamPool, null, null);
    }

    @Override
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    /**
     * Starts sending requests; {@code ownAddress} is the address on which this balancer listens.
     */
    void start(InetSocketAddress ownAddress) {
        EndpointList endpointList = endpointListAt(ownAddress);
        clientPool.updateEndpoints(endpointList, dispatcher.nowMicros());
        dispatcher.onEndpointListUpdate(EndpointListKind.CACHED, endpointList);
        loop.schedule(this::finish, MAX_DURATION_MS, TimeUnit.MILLISECONDS);
        for (int i = 0; i < CONCURRENCY; i++) {
            sendNext();
        }
    }

    private EndpointList endpointListAt(InetSocketAddress ownAddress) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINT_COUNT; i++) {
            Endpoint endpoint =
                    new Endpoint(
                            ID_PREFIX + i,
                            EndpointStatus.UP,
                            0,
                            1,
                            0,
                            i % 2,
                            boot.settings().zone());
            entries.add(new EndpointList.Entry(endpoint, ownAddress));
        }
        return new EndpointList(0, true, entries);
    }

    @Override
    public boolean shouldReject() {
        upstreamRequests++;
        return startedRequests > REDUCED_REQUEST_COUNT / 2
                && upstreamRequests % REJECT_EVERY_NTH == 0;
    }

    private void sendNext() {
        boolean reduced = clientsWaiting.getAsBoolean();
        int requestLimit = reduced ? REDUCED_REQUEST_COUNT : REQUEST_COUNT;
        if (finished || startedRequests + clientRequestCount.getAsLong() >= requestLimit) {
            if (completedRequests == startedRequests) {
                finish();
            }
            return;
        }
        int concurrencyLimit = reduced ? REDUCED_CONCURRENCY : CONCURRENCY;
        if (startedRequests - completedRequests >= concurrencyLimit) {
            return;
        }
        int requestClass = startedRequests % boot.classNames().size();
        startedRequests++;
        clientPool.send(
                ID_PREFIX + 0,
                newRequest(requestClass),
                REQUEST_TIMEOUT_MICROS,
                (outcome, response, load) -> onRequestCompleted());
    }

    private ProxyRequest newRequest(int requestClass) {
        Idempotency idempotency = boot.settings().requestClasses().get(requestClass).idempotency();
        boolean isIdempotent = idempotency == Idempotency.IDEMPOTENT;
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set("Req-Id", ID_PREFIX + startedRequests)
                        .set("Req-Kind", boot.classNames().get(requestClass))
                        .set("Req-Cost", Integer.toString(startedRequests));
        if (idempotency == Idempotency.IDEMPOTENCY_KEY) {
            headers.set("Idempotency-Key", ID_PREFIX + startedRequests);
        }
        return new ProxyRequest(
                isIdempotent ? HttpMethod.GET : HttpMethod.POST,
                REQUEST_PATH,
                headers,
                new byte[isIdempotent ? 0 : BODY_BYTES],
                requestClass,
                0,
                null,
                REQUEST_TIMEOUT_MICROS,
                -1,
                false);
    }

    private void onRequestCompleted() {
        completedRequests++;
        if (!finished) {
            loop.execute(this::sendNext);
        }
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
