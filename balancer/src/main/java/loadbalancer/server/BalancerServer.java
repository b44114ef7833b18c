package loadbalancer.server;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Map;
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
import loadbalancer.config.FileChangeDetector;
import loadbalancer.config.InvalidConfigException;
import loadbalancer.config.LocalSettings;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.dispatch.Dispatcher;
import loadbalancer.http.HttpFrontend;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.recovery.RecoveryStore;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.PolicySnapshot;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.upstream.UpstreamPool;

/** One real balancer: its start, its readiness and its orderly stop. */
public final class BalancerServer {
    // After SIGTERM: clients go on coming for a while
    private static final long SHUTDOWN_LINGER_MS = 600;
    // From readiness until the old process has ended, at most
    private static final long HANDOVER_TIMEOUT_SECONDS = 10;
    // Between looks at the configuration, without SIGHUP
    private static final long CONFIG_POLL_INTERVAL_MS = 500;
    // Between figures for operators
    private static final long STATS_INTERVAL_MS = 100;
    // At most
    private static final long PREPARE_TIMEOUT_SECONDS = 30;
    // Between looks at the counters
    private static final long COUNTERS_INTERVAL_SECONDS = 5;

    private final Consumer<String> log;
    private final EventLog events;
    private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
    private final EventLoop loop = eventLoopGroup.next();
    private final Dispatcher dispatcher;
    private final UpstreamPool upstreamPool;
    private final DiscoveryClient discovery;
    private final PeerTransport peers;
    // Null where nothing is kept
    private final RecoveryStore stateStore;
    // The newest list from before this start
    private final EndpointList knownEndpoints;
    // Null where membership is off
    private final ClusterCoordinator cluster;
    private final HttpFrontend frontend;
    private final BalancerConfig config;
    private final FileDescriptorBudget descriptorBudget;
    private final Metrics metrics;
    // Null where operators have no door
    private final AdminServer adminServer;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private InetSocketAddress boundAdminAddress;
    // The listening socket, with other processes
    private volatile boolean listenerShared;
    // To listen
    private volatile boolean listenFailed;
    private boolean hasUsableEndpointList;
    private boolean warmedUp;
    // As last published: all that the door's thread reads
    private volatile MetricsSnapshot stats = MetricsSnapshot.EMPTY;

    /** A node that is ready without a rehearsal, where {@code warmUp} is false. */
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
        dispatcher = new Dispatcher(loop, config.boot(), policy, log, events, metrics);
        BodyRelay.BufferBudget bufferBudget = new BodyRelay.BufferBudget();
        upstreamPool =
                new UpstreamPool(
                        loop,
                        config.boot(),
                        descriptorBudget,
                        dispatcher::nowMicros,
                        events,
                        metrics,
                        bufferBudget);
        Path stateDirectory =
                config.localSettings().directory(LocalSettings.Setting.STATE_DIRECTORY);
        stateStore =
                stateDirectory == null
                        ? null
                        : RecoveryStore.open(
                                stateDirectory,
                                config.name(),
                                config.boot(),
                                config.localSettings()
                                        .milliseconds(LocalSettings.Setting.SNAPSHOT_INTERVAL_MS),
                                log);
        knownEndpoints =
                stateStore == null
                        ? config.initialEndpoints()
                        : stateStore.newestEndpointList(config.initialEndpoints());
        discovery =
                new DiscoveryClient(
                        loop,
                        config.discoveryAddress(),
                        config.boot(),
                        knownEndpoints.revision(),
                        this::onEndpointListUpdate,
                        log);
        frontend =
                new HttpFrontend(
                        loop,
                        config.boot(),
                        dispatcher,
                        descriptorBudget,
                        upstreamPool::closeLongestIdle,
                        events,
                        bufferBudget);
        peers = new PeerTransport(loop, config.peers(), new PeerMessageRouter(), events);
        cluster = ClusterCoordinator.createIfEnabled(loop, config, stateStore, peers::send, log);
        dispatcher.attach(upstreamPool, discovery, peers);
        adminServer =
                config.adminAddress() == null ? null : new AdminServer(new EventLoopAdminHandler());
    }

    /** What comes from other balancers, led to whom it concerns. */
    private final class PeerMessageRouter implements PeerTransport.Listener {
        @Override
        public void onPeerMessage(int sender, byte[] data) {
            if (cluster == null || !cluster.onPeerMessage(sender, data)) {
                dispatcher.onPeerMessage(sender, data);
            }
        }

        @Override
        public void onAddressBound() {
            if (cluster != null) {
                cluster.onAddressBound();
            }
        }
    }

    /** What operators ask for, handed to the loop. */
    private final class EventLoopAdminHandler implements AdminOperations {
        @Override
        public MetricsSnapshot stats() {
            return stats;
        }

        private void setDraining(boolean draining) {
            if (cluster != null) {
                cluster.setDraining(draining);
            }
        }

        @Override
        public void drain() {
            loop.execute(
                    () -> {
                        log.accept("draining, as operators asked");
                        frontend.drain();
                        setDraining(true);
                        publishStats();
                    });
        }

        @Override
        public void resume() {
            loop.execute(
                    () -> {
                        log.accept("back to work, as operators asked");
                        frontend.resume();
                        setDraining(false);
                        publishStats();
                    });
        }
    }

    private void publishStats() {
        stats =
                metrics.snapshot(
                        frontend.isReady(),
                        dispatcher.pendingRequestCount(),
                        upstreamPool.listedEndpoints(),
                        dispatcher.avoidedEndpointCount());
    }

    /**
     * Starts a balancer by itself, whose only upstream does not exist, and returns once it has
     * rehearsed: 0, or 1 where that takes too long. Run with {@code -XX:ArchiveClassesAtExit} it
     * leaves the classes of a start.
     */
    public static int runWarmUpOnly() {
        try (InputStream configuration =
                BalancerServer.class.getResourceAsStream("/prepare.json")) {
            BalancerServer balancer =
                    new BalancerServer(
                            BalancerConfig.parse(Map.of(), JSON.std.mapFrom(configuration)),
                            RoutingEngine::new,
                            true,
                            System.err::println);
            balancer.start();
            long deadlineNanos =
                    System.nanoTime() + TimeUnit.SECONDS.toNanos(PREPARE_TIMEOUT_SECONDS);
            while (!balancer.stats.ready() && System.nanoTime() - deadlineNanos < 0) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            boolean ready = balancer.stats.ready();
            balancer.stop();
            return ready ? 0 : 1;
        } catch (IOException e) {
            System.err.println("load-balancer: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 1;
    }

    /** Runs a balancer until it is told to stop; returns only if it can't start. */
    public static int serve(Map<String, String> environment) {
        Consumer<String> log = line -> System.err.println("load-balancer: " + line);
        BalancerServer balancer;
        InetSocketAddress address;
        try {
            BalancerConfig config = BalancerConfig.read(environment);
            balancer =
                    new BalancerServer(
                            config,
                            (settings, seed) ->
                                    new RoutingEngine(
                                            settings,
                                            seed,
                                            config.localSettings()
                                                    .isEnabled(
                                                            LocalSettings.Setting
                                                                    .ZONE_FAILOVER_ENABLED)),
                            true,
                            log);
        } catch (InvalidConfigException e) {
            log.accept(e.getMessage());
            return 1;
        }
        boolean signalHandled = false;
        // Before it listens: from then on a signal to end may cross a request that has been taken.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    if (!balancer.listenFailed) {
                                        balancer.stop();
                                    }
                                    // Without this the exit code would tell of the signal, not of
                                    // the orderly end.
                                    Runtime.getRuntime().halt(balancer.listenFailed ? 1 : 0);
                                }));
        try {
            signalHandled = ReloadSignal.install(() -> balancer.reload(environment));
        } catch (ReflectiveOperationException e) {
            log.accept("SIGHUP is not heard here: " + e);
        }
        try {
            address = balancer.start();
        } catch (Exception e) {
            // sync() rethrows what bind failed with, whatever its type
            log.accept(
                    "can't listen on " + balancer.config.listenAddress() + ": " + e.getMessage());
            balancer.listenFailed = true;
            return 1;
        }
        if (!signalHandled) {
            log.accept(
                    "SIGHUP is ignored here since the start: looking at the configuration instead");
            balancer.watchConfig(environment);
        }
        // Said only now: whoever reads it may send the signal at once.
        log.accept(
                "listening on " + address.getAddress().getHostAddress() + ":" + address.getPort());
        balancer.awaitStopped();
        return 0;
    }

    /** Listens and begins to work; returns the address in use. */
    public InetSocketAddress start() throws IOException {
        return start(config.listenSocketInherited() ? inheritedSocket() : null);
    }

    /**
     * The same; {@code listeningSocket} listens already, as other processes may at it, or is null.
     */
    InetSocketAddress start(ServerSocketChannel listeningSocket) throws IOException {
        listenerShared = listeningSocket != null;
        if (adminServer != null) {
            boundAdminAddress = adminServer.listen(config.adminAddress());
        }
        InetSocketAddress address =
                listeningSocket == null
                        ? frontend.listen(config.listenAddress())
                        : frontend.listen(listeningSocket);
        loop.execute(
                () -> {
                    if (adminServer != null) {
                        publishStats();
                        loop.scheduleWithFixedDelay(
                                this::publishStats,
                                STATS_INTERVAL_MS,
                                STATS_INTERVAL_MS,
                                TimeUnit.MILLISECONDS);
                    }
                    onEndpointListUpdate(EndpointListKind.CACHED, knownEndpoints);
                    if (stateStore != null) {
                        restoreState();
                    }
                    discovery.start();
                    peers.start(log);
                    if (cluster != null) {
                        cluster.start();
                    }
                    loop.scheduleWithFixedDelay(
                            () ->
                                    events.logSummary(
                                            () ->
                                                    dispatcher.summary()
                                                            + ", "
                                                            + descriptorBudget
                                                            + ": "
                                                            + frontend
                                                            + ", "
                                                            + upstreamPool),
                            COUNTERS_INTERVAL_SECONDS,
                            COUNTERS_INTERVAL_SECONDS,
                            TimeUnit.SECONDS);
                    if (!warmedUp) {
                        startWarmUp(address);
                    }
                });
        return address;
    }

    // What was kept goes to the module once it has a list; from then on snapshots are taken.
    private void restoreState() {
        PolicySnapshot snapshot = stateStore.recoveredPolicySnapshot();
        if (snapshot != null) {
            log.accept(
                    "state: recalled what was known of "
                            + snapshot.endpoints().size()
                            + " upstreams "
                            + stateStore.snapshotAgeMicros() / 1000
                            + " ms before this start");
            dispatcher.restorePolicy(snapshot, stateStore.snapshotAgeMicros());
        }
        loop.scheduleWithFixedDelay(
                () -> stateStore.takeSnapshot(dispatcher.policySnapshot()),
                stateStore.snapshotIntervalMs(),
                stateStore.snapshotIntervalMs(),
                TimeUnit.MILLISECONDS);
    }

    // At an inherited socket the process that this one takes over from would answer.
    private void startWarmUp(InetSocketAddress address) {
        LocalAddress inProcessAddress = listenerShared ? new LocalAddress("rehearsal") : null;
        WarmUp warmUp =
                new WarmUp(
                        loop,
                        config,
                        inProcessAddress,
                        dispatcher::acceptedRequestCount,
                        () -> !listenerShared && dispatcher.isInService(),
                        () -> {
                            warmedUp = true;
                            frontend.setWarmUp(null);
                            updateReadiness();
                        });
        frontend.setWarmUp(warmUp);
        if (inProcessAddress == null) {
            warmUp.start(address);
        } else {
            frontend.listenInProcess(inProcessAddress, () -> warmUp.start(address));
        }
    }

    private static ServerSocketChannel inheritedSocket() throws IOException {
        if (System.inheritedChannel() instanceof ServerSocketChannel socket) {
            return socket;
        }
        throw new IOException("descriptor 0 is no listening socket");
    }

    /** Where operators reach it; null where they have no door. */
    InetSocketAddress adminAddress() {
        return boundAdminAddress;
    }

    // In place of SIGHUP: a balancer that never hears of its new discovery sends to servers that
    // drain.
    private void watchConfig(Map<String, String> environment) {
        FileChangeDetector configFile =
                new FileChangeDetector(Path.of(environment.get("ROUTER_CONFIG")));
        loop.scheduleWithFixedDelay(
                () -> {
                    if (configFile.hasChanged()) {
                        reload(environment);
                    }
                },
                CONFIG_POLL_INTERVAL_MS,
                CONFIG_POLL_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    // Only the address of discovery may change while it runs; all else takes effect at the next
    // start.
    private void reload(Map<String, String> environment) {
        try {
            BalancerConfig newConfig = BalancerConfig.readForReload(environment);
            InetSocketAddress discoveryAddress = newConfig.discoveryAddress();
            log.accept(
                    "configuration reread: discovery at "
                            + discoveryAddress.getAddress().getHostAddress()
                            + ":"
                            + discoveryAddress.getPort());
            config.localSettings()
                    .changedKeys(newConfig.localSettings())
                    .forEach(
                            path ->
                                    log.accept(
                                            "settings: "
                                                    + path
                                                    + " takes effect at the next start"));
            loop.execute(() -> discovery.reconnectTo(discoveryAddress));
        } catch (InvalidConfigException e) {
            log.accept("keeping the old configuration: " + e.getMessage());
        } catch (RuntimeException e) {
            // Of a file that is odd in a way not thought of
            log.accept("keeping the old configuration: " + e);
        }
    }

    EventLoop loop() {
        return loop;
    }

    HttpFrontend frontend() {
        return frontend;
    }

    /** Final answers that are owed; on the loop's thread only. */
    int pendingRequestCount() {
        return dispatcher.pendingRequestCount();
    }

    // Ready once an upstream may be sent to: what was known from before will do until discovery
    // answers.
    private void onEndpointListUpdate(EndpointListKind kind, EndpointList endpointList) {
        dispatcher.onEndpointListUpdate(kind, endpointList);
        if (stateStore != null) {
            stateStore.onEndpointList(kind, endpointList);
        }
        boolean usable =
                kind == EndpointListKind.COMPLETE
                        || endpointList != null
                                && endpointList.entries().stream()
                                        .anyMatch(
                                                entry ->
                                                        entry.endpoint().status()
                                                                == EndpointStatus.UP);
        if (usable) {
            hasUsableEndpointList = true;
            updateReadiness();
        }
    }

    private void updateReadiness() {
        if (hasUsableEndpointList && warmedUp) {
            frontend.ready();
            publishStats();
            // By then the process that this one took over from has had its time, and holds no
            // descriptors.
            loop.schedule(
                    descriptorBudget::useFullLimit, HANDOVER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** Ends in order, as after SIGTERM, and returns when all that was taken has been answered. */
    public void stop() {
        loop.execute(
                () -> {
                    frontend.stopping(listenerShared);
                    publishStats();
                    if (cluster != null) {
                        cluster.leave();
                    }
                    if (listenerShared) {
                        // The process that takes over wants the address
                        peers.close();
                    }
                });
        loop.schedule(
                () -> {
                    frontend.close(() -> dispatcher.whenIdle(stopped::countDown));
                    peers.close();
                },
                SHUTDOWN_LINGER_MS,
                TimeUnit.MILLISECONDS);
        awaitStopped();
        log.accept("stopped: " + dispatcher.summary() + "; " + events);
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        if (adminServer != null) {
            adminServer.close();
        }
        if (stateStore != null) {
            stateStore.close();
        }
    }

    private void awaitStopped() {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
