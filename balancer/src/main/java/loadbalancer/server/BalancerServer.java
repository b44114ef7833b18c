package loadbalancer.server;

import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import loadbalancer.admin.AdminOperations;
import loadbalancer.admin.AdminServer;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.admin.MetricsSnapshot;
import loadbalancer.cluster.ClusterCoordinator;
import loadbalancer.cluster.PeerTransport;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.EndpointList;
import loadbalancer.config.LocalSetting;
import loadbalancer.config.LocalSettings;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.EndpointListListener;
import loadbalancer.dispatch.Dispatcher;
import loadbalancer.dispatch.RequestIds;
import loadbalancer.http.HttpFrontend;
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.proxy.PeerMemory;
import loadbalancer.recovery.RecoveryStore;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.PolicySnapshot;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.upstream.UpstreamPool;

/**
 * Wires the parts of one balancer together and controls its start, readiness and graceful shutdown.
 * All parts run on one event loop, which this class owns. The constructor, {@link #start} and
 * {@link #stop} are called on other threads.
 */
public final class BalancerServer {
    // Time from SIGTERM until the listener closes, during which clients still connect.
    private static final long SHUTDOWN_LINGER_MS = 600;
    // Upper bound on the time from readiness until the process that this one replaces has ended.
    private static final long HANDOVER_TIMEOUT_SECONDS = 10;
    private static final long STATS_INTERVAL_MS = 100;
    private static final String WARM_UP_ADDRESS_ID = "warm-up";
    private static final long LOG_SUMMARY_INTERVAL_SECONDS = 5;
    private static final long MICROS_PER_MS = 1_000;

    private final Consumer<String> log;
    private final EventLog events;
    private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
    private final EventLoop loop = eventLoopGroup.next();
    private final Dispatcher dispatcher;
    private final UpstreamPool upstreamPool;
    private final DiscoveryClient discovery;
    private final PeerTransport peers;
    // Empty if no state directory is set, or if it can't be used.
    private final Optional<RecoveryStore> recoveryStore;
    // The newer of the endpoint lists in the configuration and in the recovery store.
    private final EndpointList knownEndpoints;
    // Empty if membership is off.
    private final Optional<ClusterCoordinator> cluster;
    private final HttpFrontend frontend;
    private final BalancerConfig config;
    private final FileDescriptorBudget descriptorBudget;
    private final Metrics metrics;
    private final PeerMemory memory;
    // Empty if no administration address is set.
    private final Optional<AdminServer> adminServer;
    private final CountDownLatch stopped = new CountDownLatch(1);
    // Empty before the start, and if no administration address is set.
    private Optional<InetSocketAddress> boundAdminAddress = Optional.empty();
    // Whether other processes may accept connections on the same listening socket.
    private volatile boolean listenerShared;
    private boolean hasUsableEndpointList;
    private boolean warmedUp;
    // Written by the event loop, read by the administration thread.
    private volatile MetricsSnapshot stats = MetricsSnapshot.EMPTY;

    /**
     * Creates a balancer that does not listen yet.
     *
     * @param config the configuration
     * @param policyFactory creates the routing policy from the settings and the random seed
     * @param warmUp whether a warm-up must complete before the balancer becomes ready
     * @param log receives the log lines; called from several threads
     */
    public BalancerServer(
            BalancerConfig config,
            BiFunction<RoutingSettings, Long, RoutingPolicy> policyFactory,
            boolean warmUp,
            Consumer<String> log) {
        this.warmedUp = !warmUp;
        this.config = config;
        this.log = log;
        descriptorBudget =
                new FileDescriptorBudget(config.maxSockets(), config.listenSocketInherited());
        RoutingPolicy policy = policyFactory.apply(config.boot().settings(), config.seed());
        events = new EventLog(log, System::nanoTime);
        metrics = new Metrics(config.boot().classNames());
        dispatcher =
                new Dispatcher(
                        loop, config.boot(), policy, log, events, metrics, requestIds(config, log));
        memory = PeerMemory.forHeap(Runtime.getRuntime().maxMemory());
        upstreamPool = newUpstreamPool();
        recoveryStore = openRecoveryStore(config, log);
        knownEndpoints =
                recoveryStore
                        .map(store -> store.newestEndpointList(config.initialEndpoints()))
                        .orElse(config.initialEndpoints());
        discovery =
                new DiscoveryClient(
                        loop,
                        config.discoveryAddress(),
                        config.boot(),
                        knownEndpoints.revision(),
                        new DiscoveryListener(),
                        log);
        frontend = newFrontend();
        peers = new PeerTransport(loop, config.peers(), new PeerMessageRouter(), events);
        cluster = ClusterCoordinator.createIfEnabled(loop, config, recoveryStore, peers::send, log);
        dispatcher.attach(upstreamPool, discovery, peers);
        adminServer =
                config.adminAddress().map(address -> new AdminServer(new EventLoopAdminHandler()));
    }

    private UpstreamPool newUpstreamPool() {
        return new UpstreamPool(
                loop,
                config.boot(),
                descriptorBudget,
                dispatcher::nowMicros,
                events,
                metrics,
                memory);
    }

    private HttpFrontend newFrontend() {
        return new HttpFrontend(
                loop,
                config.boot(),
                dispatcher,
                descriptorBudget,
                upstreamPool::closeLongestIdle,
                events,
                memory);
    }

    private static RequestIds requestIds(BalancerConfig config, Consumer<String> log) {
        if (config.handoverDirectory().isEmpty()) {
            return RequestIds.inMemory();
        }
        try {
            return RequestIds.sharedIn(config.handoverDirectory().get());
        } catch (IOException e) {
            log.accept("request ids not shared with the other process: reason=" + e);
            return RequestIds.inMemory();
        }
    }

    private static Optional<RecoveryStore> openRecoveryStore(
            BalancerConfig config, Consumer<String> log) {
        LocalSettings settings = config.localSettings();
        long snapshotIntervalMs = settings.milliseconds(LocalSetting.SNAPSHOT_INTERVAL_MS);
        return settings.directory(LocalSetting.STATE_DIRECTORY)
                .flatMap(
                        directory ->
                                RecoveryStore.open(
                                        directory,
                                        config.name(),
                                        config.boot(),
                                        snapshotIntervalMs,
                                        log));
    }

    /** Passes endpoint lists and failures of discovery on to the parts that use them. */
    private final class DiscoveryListener implements EndpointListListener {
        @Override
        public void onEndpointListUpdate(EndpointListKind kind, EndpointList endpointList) {
            BalancerServer.this.onEndpointListUpdate(kind, endpointList);
        }

        @Override
        public void onDiscoveryFailed() {
            dispatcher.onDiscoveryFailed();
        }
    }

    /**
     * Passes messages of other balancers to the cluster coordinator, or else to the routing policy.
     */
    private final class PeerMessageRouter implements PeerTransport.Listener {
        @Override
        public void onPeerMessage(int sender, byte[] data) {
            if (cluster.isEmpty() || !cluster.get().onPeerMessage(sender, data)) {
                dispatcher.onPeerMessage(sender, data);
            }
        }

        @Override
        public void onAddressBound() {
            cluster.ifPresent(ClusterCoordinator::onAddressBound);
        }
    }

    /** Passes operators' commands from the administration thread to the event loop. */
    private final class EventLoopAdminHandler implements AdminOperations {
        @Override
        public MetricsSnapshot stats() {
            return stats;
        }

        @Override
        public void drain() {
            loop.execute(BalancerServer.this::drain);
        }

        @Override
        public void resume() {
            loop.execute(BalancerServer.this::resume);
        }
    }

    private void drain() {
        log.accept("drain started");
        frontend.drain();
        cluster.ifPresent(coordinator -> coordinator.setDraining(true));
        publishStats();
    }

    private void resume() {
        log.accept("drain ended");
        frontend.resume();
        cluster.ifPresent(coordinator -> coordinator.setDraining(false));
        publishStats();
    }

    private void publishStats() {
        stats =
                metrics.snapshot(
                        frontend.isReady(),
                        dispatcher.pendingRequestCount(),
                        upstreamPool.listedEndpointCount(),
                        dispatcher.ejectedEndpointCount());
    }

    /**
     * Binds the listening socket and the administration address, and starts all parts on the event
     * loop.
     *
     * @return the address that clients connect to
     * @throws IOException if an address can't be bound, or if the configuration says that the
     *     listening socket is inherited and file descriptor 0 is not a listening socket
     */
    public InetSocketAddress start() throws IOException {
        if (config.listenSocketInherited()) {
            return start(inheritedSocket());
        }
        startAdminServer();
        return startWork(frontend.listen(config.listenAddress()));
    }

    /**
     * Starts like {@link #start()}, on a socket that listens already and that other processes may
     * share.
     */
    InetSocketAddress start(ServerSocketChannel listeningSocket) throws IOException {
        listenerShared = true;
        startAdminServer();
        return startWork(frontend.listen(listeningSocket));
    }

    private void startAdminServer() throws IOException {
        if (adminServer.isPresent() && config.adminAddress().isPresent()) {
            InetSocketAddress address = config.adminAddress().get();
            boundAdminAddress = Optional.of(adminServer.get().listen(address));
        }
    }

    private InetSocketAddress startWork(InetSocketAddress address) {
        loop.execute(() -> startOnLoop(address));
        return address;
    }

    private void startOnLoop(InetSocketAddress address) {
        if (adminServer.isPresent()) {
            publishStats();
            loop.scheduleWithFixedDelay(
                    this::publishStats,
                    STATS_INTERVAL_MS,
                    STATS_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
        onEndpointListUpdate(EndpointListKind.CACHED, knownEndpoints);
        recoveryStore.ifPresent(this::restoreState);
        discovery.start();
        peers.start(log);
        cluster.ifPresent(ClusterCoordinator::start);
        loop.scheduleWithFixedDelay(
                () -> events.logSummary(this::summary),
                LOG_SUMMARY_INTERVAL_SECONDS,
                LOG_SUMMARY_INTERVAL_SECONDS,
                TimeUnit.SECONDS);
        if (!warmedUp) {
            startWarmUp(address);
        }
    }

    private String summary() {
        return dispatcher.summary()
                + ", "
                + descriptorBudget
                + ": "
                + frontend
                + ", "
                + upstreamPool
                + ", "
                + memory;
    }

    // Called after the routing policy has received an endpoint list. Starts the periodic snapshots.
    private void restoreState(RecoveryStore store) {
        store.recoveredPolicySnapshot()
                .ifPresent(snapshot -> restorePolicy(snapshot, store.snapshotAgeMicros()));
        loop.scheduleWithFixedDelay(
                () -> store.takeSnapshot(Optional.ofNullable(dispatcher.policySnapshot())),
                store.snapshotIntervalMs(),
                store.snapshotIntervalMs(),
                TimeUnit.MILLISECONDS);
    }

    private void restorePolicy(PolicySnapshot snapshot, long ageMicros) {
        log.accept(
                "policy snapshot restored: endpoints="
                        + snapshot.endpoints().size()
                        + " age_ms="
                        + ageMicros / MICROS_PER_MS);
        dispatcher.restorePolicy(snapshot, ageMicros);
    }

    // On a shared socket the process that this one replaces might accept the warm-up's requests, so
    // they use an in-process address.
    private void startWarmUp(InetSocketAddress address) {
        Optional<LocalAddress> inProcessAddress =
                listenerShared
                        ? Optional.of(new LocalAddress(WARM_UP_ADDRESS_ID))
                        : Optional.empty();
        WarmUp warmUp =
                new WarmUp(
                        loop,
                        config,
                        inProcessAddress,
                        memory,
                        dispatcher::acceptedRequestCount,
                        () -> !listenerShared && dispatcher.isInService(),
                        this::onWarmUpFinished);
        frontend.setWarmUp(warmUp);
        if (inProcessAddress.isPresent()) {
            frontend.listenInProcess(inProcessAddress.get(), () -> warmUp.start(address));
        } else {
            warmUp.start(address);
        }
    }

    private void onWarmUpFinished() {
        warmedUp = true;
        frontend.setWarmUp(null);
        updateReadiness();
    }

    private static ServerSocketChannel inheritedSocket() throws IOException {
        if (System.inheritedChannel() instanceof ServerSocketChannel socket) {
            return socket;
        }
        throw new IOException("file descriptor 0 is not a listening socket");
    }

    /**
     * Returns the bound administration address. Throws if no address is set, or before the start.
     */
    InetSocketAddress adminAddress() {
        return boundAdminAddress.orElseThrow();
    }

    /** Switches to the discovery service at another address. May be called on any thread. */
    void reconnectDiscovery(InetSocketAddress discoveryAddress) {
        loop.execute(() -> discovery.reconnectTo(discoveryAddress));
    }

    /** Returns the metrics that the administration endpoint shows. May be called on any thread. */
    MetricsSnapshot publishedStats() {
        return stats;
    }

    EventLoop loop() {
        return loop;
    }

    HttpFrontend frontend() {
        return frontend;
    }

    /**
     * Returns the number of requests without a final response. Must be called on the event loop.
     */
    int pendingRequestCount() {
        return dispatcher.pendingRequestCount();
    }

    // A cached list or a delta also makes the balancer ready if it has an endpoint that is up.
    private void onEndpointListUpdate(EndpointListKind kind, EndpointList endpointList) {
        dispatcher.onEndpointListUpdate(kind, endpointList);
        recoveryStore.ifPresent(store -> store.onEndpointList(kind, endpointList));
        if (kind == EndpointListKind.COMPLETE || hasEndpointUp(endpointList)) {
            hasUsableEndpointList = true;
            updateReadiness();
        }
    }

    private static boolean hasEndpointUp(EndpointList endpointList) {
        return endpointList.entries().stream()
                .anyMatch(entry -> entry.endpoint().status() == EndpointStatus.UP);
    }

    private void updateReadiness() {
        if (hasUsableEndpointList && warmedUp) {
            frontend.setReady();
            publishStats();
            // The process that this one replaces may hold file descriptors until this timeout.
            loop.schedule(
                    descriptorBudget::useFullLimit, HANDOVER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** Shuts down gracefully, and returns once all accepted requests have been answered. */
    public void stop() {
        loop.execute(this::beginShutdown);
        loop.schedule(this::closeFrontend, SHUTDOWN_LINGER_MS, TimeUnit.MILLISECONDS);
        awaitStopped();
        log.accept("stopped: " + dispatcher.summary() + "; " + events);
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        adminServer.ifPresent(AdminServer::close);
        recoveryStore.ifPresent(RecoveryStore::close);
    }

    private void beginShutdown() {
        frontend.beginShutdown(listenerShared);
        publishStats();
        cluster.ifPresent(ClusterCoordinator::leave);
        if (listenerShared) {
            // The successor process binds this address.
            peers.close();
        }
    }

    private void closeFrontend() {
        frontend.close(() -> dispatcher.whenIdle(stopped::countDown));
        peers.close();
    }

    /** Blocks until a shutdown is complete or the calling thread is interrupted. */
    void awaitStopped() {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
