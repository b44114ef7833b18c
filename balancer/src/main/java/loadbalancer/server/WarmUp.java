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
 * Sends requests of its own through the whole path of a request, at this balancer's own address,
 * before clients come. Without it a cold start takes hundreds of milliseconds for each of the first
 * requests, falls behind at once under full load, and answers some after their deadlines. It has a
 * routing policy, a dispatcher and connections of its own, which end with it, so that those of
 * clients' requests are not influenced. Belongs to the event loop.
 */
final class WarmUp implements WarmUpTraffic {
    // Enough for what a request needs to be compiled: after 40 alone two balancers on half a core
    // each were late with 8% of the requests of the first seconds.
    private static final int REQUEST_COUNT = 300;
    // Where clients send requests already: the first ones load and link the classes.
    private static final int HURRIED_REQUEST_COUNT = 40;
    private static final int CONCURRENCY = 8;
    private static final int HURRIED_CONCURRENCY = 2;
    // Of the upstream requests after the first half of the hurried ones.
    private static final int REJECT_EVERY_NTH = 3;
    private static final int ENDPOINT_COUNT = 8;
    private static final long MAX_DURATION_MS = 4_000;
    private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;
    private static final int BODY_BYTES = 200;
    private static final String ID_PREFIX = "rehearsal-";

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
     * @param inProcessAddress where requests go within this process; empty: they go to the
     *     balancer's own address
     * @param clientRequestCount the number of clients' requests so far, each of which makes one of
     *     the warm-up's unnecessary
     * @param hurried whether the fleet serves clients already and lacks this balancer
     * @param onFinished runs on the event loop when the warm-up is over
     */
    WarmUp(
            EventLoop loop,
            BalancerConfig config,
            Optional<LocalAddress> inProcessAddress,
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
        Supplier<UpstreamPool> newPool =
                () ->
                        new UpstreamPool(
                                loop,
                                boot,
                                descriptorBudget,
                                dispatcher::nowMicros,
                                silentEvents,
                                metrics,
                                bufferBudget,
                                inProcessAddress.orElse(null));
        upstreamPool = newPool.get();
        clientPool = newPool.get();
        dispatcher.attach(upstreamPool, null, null);
    }

    @Override
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Starts sending; {@code ownAddress} is where this balancer listens. */
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
        return startedRequests > HURRIED_REQUEST_COUNT / 2
                && upstreamRequests % REJECT_EVERY_NTH == 0;
    }

    private void sendNext() {
        boolean hurriedNow = hurried.getAsBoolean();
        int requestLimit = hurriedNow ? HURRIED_REQUEST_COUNT : REQUEST_COUNT;
        if (finished || startedRequests + clientRequestCount.getAsLong() >= requestLimit) {
            if (completedRequests == startedRequests) {
                finish();
            }
            return;
        }
        int concurrencyLimit = hurriedNow ? HURRIED_CONCURRENCY : CONCURRENCY;
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
