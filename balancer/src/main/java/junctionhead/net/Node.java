package junctionhead.net;

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
import junctionhead.Balance;
import junctionhead.Kept;
import junctionhead.Policy;

/** One real balancer: its start, its readiness and its orderly stop. */
public final class Node {
    // After SIGTERM: clients go on coming for a while
    private static final long LINGER_MS = 600;
    // From readiness until the old process has ended, at most
    private static final long HANDOVER_S = 10;
    // Between looks at the configuration, without SIGHUP
    private static final long WATCH_MS = 500;
    // Between figures for operators
    private static final long PUBLISH_MS = 100;
    // At most
    private static final long PREPARE_S = 30;
    // Between looks at the counters
    private static final long COUNTERS_S = 5;

    private final Consumer<String> log;
    private final Events events;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final Dispatcher dispatcher;
    private final Upstreams upstreams;
    private final Discovery discovery;
    private final PeerLink peers;
    // Null where nothing is kept
    private final StateKeeper state;
    // The newest list from before this start
    private final Targets known;
    // Null where membership is off
    private final FleetLink fleet;
    private final ClientServer clients;
    private final Config config;
    private final Descriptors descriptors;
    private final Metrics metrics;
    // Null where operators have no door
    private final AdminServer admin;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private InetSocketAddress doorAt;
    // The listening socket, with other processes
    private volatile boolean shared;
    // To listen
    private volatile boolean failed;
    private boolean hasList;
    private boolean rehearsed;
    // As last published: all that the door's thread reads
    private volatile Stats stats = Stats.NONE;

    /** A node that is ready without a rehearsal, where {@code rehearse} is false. */
    Node(
            Config config,
            BiFunction<Policy.Settings, Long, Policy> module,
            boolean rehearse,
            Consumer<String> log) {
        this.rehearsed = !rehearse;
        this.config = config;
        this.log = log;
        descriptors = new Descriptors(config.sockets(), config.inherited());
        Policy policy = module.apply(config.boot().settings(), config.seed());
        events = new Events(log, System::nanoTime);
        metrics = new Metrics(config.boot().classes());
        dispatcher = new Dispatcher(loop, config.boot(), policy, log, events, metrics);
        Relay.Budget budget = new Relay.Budget();
        upstreams =
                new Upstreams(
                        loop, config.boot(), descriptors, dispatcher::now, events, metrics, budget);
        Path folder = config.own().folder(OwnSettings.Field.STATE_DIR);
        state =
                folder == null
                        ? null
                        : StateKeeper.open(
                                folder,
                                config.name(),
                                config.boot(),
                                config.own().milliseconds(OwnSettings.Field.STATE_EVERY_MS),
                                log);
        known = state == null ? config.known() : state.newest(config.known());
        discovery =
                new Discovery(
                        loop, config.discovery(), config.boot(), known.rev(), this::listed, log);
        clients =
                new ClientServer(
                        loop,
                        config.boot(),
                        dispatcher,
                        descriptors,
                        upstreams::shedIdle,
                        events,
                        budget);
        peers = new PeerLink(loop, config.peers(), new Peers(), events);
        fleet = FleetLink.of(loop, config, state, peers::tell, log);
        dispatcher.attach(upstreams, discovery, peers);
        admin = config.admin() == null ? null : new AdminServer(new Desk());
    }

    /** What comes from other balancers, led to whom it concerns. */
    private final class Peers implements PeerLink.Listener {
        @Override
        public void heard(int from, byte[] data) {
            if (fleet == null || !fleet.heard(from, data)) {
                dispatcher.heard(from, data);
            }
        }

        @Override
        public void bound() {
            if (fleet != null) {
                fleet.opened();
            }
        }
    }

    /** What operators ask for, handed to the loop. */
    private final class Desk implements AdminServer.Desk {
        @Override
        public Stats stats() {
            return stats;
        }

        private void rest(boolean on) {
            if (fleet != null) {
                fleet.rest(on);
            }
        }

        @Override
        public void drain() {
            loop.execute(
                    () -> {
                        log.accept("draining, as operators asked");
                        clients.drain();
                        rest(true);
                        publish();
                    });
        }

        @Override
        public void resume() {
            loop.execute(
                    () -> {
                        log.accept("back to work, as operators asked");
                        clients.resume();
                        rest(false);
                        publish();
                    });
        }
    }

    private void publish() {
        stats =
                metrics.stats(
                        clients.isReady(),
                        dispatcher.owed(),
                        upstreams.inList(),
                        dispatcher.avoided());
    }

    /**
     * Starts a balancer by itself, whose only upstream does not exist, and returns once it has
     * rehearsed: 0, or 1 where that takes too long. Run with {@code -XX:ArchiveClassesAtExit} it
     * leaves the classes of a start.
     */
    public static int prepare() {
        try (InputStream told = Node.class.getResourceAsStream("/prepare.json")) {
            Node node =
                    new Node(
                            Config.of(Map.of(), JSON.std.mapFrom(told)),
                            Balance::new,
                            true,
                            System.err::println);
            node.start();
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PREPARE_S);
            while (!node.stats.ready() && System.nanoTime() - until < 0) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            boolean ready = node.stats.ready();
            node.stop();
            return ready ? 0 : 1;
        } catch (IOException e) {
            System.err.println("junctionhead: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 1;
    }

    /** Runs a balancer until it is told to stop; returns only if it can't start. */
    public static int serve(Map<String, String> environment) {
        Consumer<String> log = line -> System.err.println("junctionhead: " + line);
        Node node;
        InetSocketAddress at;
        try {
            Config config = Config.read(environment);
            node =
                    new Node(
                            config,
                            (settings, seed) ->
                                    new Balance(
                                            settings,
                                            seed,
                                            config.own().on(OwnSettings.Field.ZONES_ON)),
                            true,
                            log);
        } catch (Config.Bad e) {
            log.accept(e.getMessage());
            return 1;
        }
        boolean heard = false;
        // Before it listens: from then on a signal to end may cross a request that has been taken.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    if (!node.failed) {
                                        node.stop();
                                    }
                                    // Without this the exit code would tell of the signal, not of
                                    // the orderly end.
                                    Runtime.getRuntime().halt(node.failed ? 1 : 0);
                                }));
        try {
            heard = Hangup.on(() -> node.reload(environment));
        } catch (ReflectiveOperationException e) {
            log.accept("SIGHUP is not heard here: " + e);
        }
        try {
            at = node.start();
        } catch (Exception e) {
            // sync() rethrows what bind failed with, whatever its type
            log.accept("can't listen on " + node.config.listen() + ": " + e.getMessage());
            node.failed = true;
            return 1;
        }
        if (!heard) {
            log.accept(
                    "SIGHUP is ignored here since the start: looking at the configuration instead");
            node.watch(environment);
        }
        // Said only now: whoever reads it may send the signal at once.
        log.accept("listening on " + at.getAddress().getHostAddress() + ":" + at.getPort());
        node.await();
        return 0;
    }

    /** Listens and begins to work; returns the address in use. */
    InetSocketAddress start() throws IOException {
        return start(config.inherited() ? inherited() : null);
    }

    /** The same; {@code inherited} listens already, as other processes may at it, or is null. */
    InetSocketAddress start(ServerSocketChannel inherited) throws IOException {
        shared = inherited != null;
        if (admin != null) {
            doorAt = admin.listen(config.admin());
        }
        InetSocketAddress at =
                inherited == null ? clients.listen(config.listen()) : clients.listen(inherited);
        loop.execute(
                () -> {
                    if (admin != null) {
                        publish();
                        loop.scheduleWithFixedDelay(
                                this::publish, PUBLISH_MS, PUBLISH_MS, TimeUnit.MILLISECONDS);
                    }
                    listed(Policy.ListKind.PERSISTED, known);
                    if (state != null) {
                        remember();
                    }
                    discovery.start();
                    peers.start(log);
                    if (fleet != null) {
                        fleet.start();
                    }
                    loop.scheduleWithFixedDelay(
                            () ->
                                    events.summary(
                                            () ->
                                                    dispatcher.summary()
                                                            + ", "
                                                            + descriptors
                                                            + ": "
                                                            + clients
                                                            + ", "
                                                            + upstreams),
                            COUNTERS_S,
                            COUNTERS_S,
                            TimeUnit.SECONDS);
                    if (!rehearsed) {
                        rehearse(at);
                    }
                });
        return at;
    }

    // What was kept goes to the module once it has a list; from then on snapshots are taken.
    private void remember() {
        Kept kept = state.module();
        if (kept != null) {
            log.accept(
                    "state: recalled what was known of "
                            + kept.servers().size()
                            + " upstreams "
                            + state.age() / 1000
                            + " ms before this start");
            dispatcher.recall(kept, state.age());
        }
        loop.scheduleWithFixedDelay(
                () -> state.take(dispatcher.kept()),
                state.everyMs(),
                state.everyMs(),
                TimeUnit.MILLISECONDS);
    }

    // At an inherited socket the process that this one takes over from would answer.
    private void rehearse(InetSocketAddress at) {
        LocalAddress inside = shared ? new LocalAddress("rehearsal") : null;
        Rehearsal rehearsal =
                new Rehearsal(
                        loop,
                        config,
                        inside,
                        dispatcher::taken,
                        () -> !shared && dispatcher.inService(),
                        () -> {
                            rehearsed = true;
                            clients.rehearse(null);
                            readyIfSo();
                        });
        clients.rehearse(rehearsal);
        if (inside == null) {
            rehearsal.start(at);
        } else {
            clients.listenInside(inside, () -> rehearsal.start(at));
        }
    }

    private static ServerSocketChannel inherited() throws IOException {
        if (System.inheritedChannel() instanceof ServerSocketChannel socket) {
            return socket;
        }
        throw new IOException("descriptor 0 is no listening socket");
    }

    /** Where operators reach it; null where they have no door. */
    InetSocketAddress door() {
        return doorAt;
    }

    // In place of SIGHUP: a balancer that never hears of its new discovery sends to servers that
    // drain.
    private void watch(Map<String, String> environment) {
        FileWatch file = new FileWatch(Path.of(environment.get("ROUTER_CONFIG")));
        loop.scheduleWithFixedDelay(
                () -> {
                    if (file.changed()) {
                        reload(environment);
                    }
                },
                WATCH_MS,
                WATCH_MS,
                TimeUnit.MILLISECONDS);
    }

    // Only the address of discovery may change while it runs; all else takes effect at the next
    // start.
    private void reload(Map<String, String> environment) {
        try {
            Config reread = Config.reread(environment);
            InetSocketAddress to = reread.discovery();
            log.accept(
                    "configuration reread: discovery at "
                            + to.getAddress().getHostAddress()
                            + ":"
                            + to.getPort());
            config.own()
                    .changed(reread.own())
                    .forEach(
                            path ->
                                    log.accept(
                                            "settings: "
                                                    + path
                                                    + " takes effect at the next start"));
            loop.execute(() -> discovery.move(to));
        } catch (Config.Bad e) {
            log.accept("keeping the old configuration: " + e.getMessage());
        } catch (RuntimeException e) {
            // Of a file that is odd in a way not thought of
            log.accept("keeping the old configuration: " + e);
        }
    }

    EventLoop loop() {
        return loop;
    }

    ClientServer clients() {
        return clients;
    }

    /** Final answers that are owed; on the loop's thread only. */
    int owed() {
        return dispatcher.owed();
    }

    // Ready once an upstream may be sent to: what was known from before will do until discovery
    // answers.
    private void listed(Policy.ListKind kind, Targets targets) {
        dispatcher.listed(kind, targets);
        if (state != null) {
            state.listed(kind, targets);
        }
        boolean usable =
                kind == Policy.ListKind.COMPLETE
                        || targets != null
                                && targets.list().stream()
                                        .anyMatch(t -> t.server().state() == Policy.State.UP);
        if (usable) {
            hasList = true;
            readyIfSo();
        }
    }

    private void readyIfSo() {
        if (hasList && rehearsed) {
            clients.ready();
            publish();
            // By then the process that this one took over from has had its time, and holds no
            // descriptors.
            loop.schedule(descriptors::alone, HANDOVER_S, TimeUnit.SECONDS);
        }
    }

    /** Ends in order, as after SIGTERM, and returns when all that was taken has been answered. */
    void stop() {
        loop.execute(
                () -> {
                    clients.stopping(shared);
                    publish();
                    if (fleet != null) {
                        fleet.leave();
                    }
                    if (shared) {
                        // The process that takes over wants the address
                        peers.close();
                    }
                });
        loop.schedule(
                () -> {
                    clients.close(() -> dispatcher.whenIdle(stopped::countDown));
                    peers.close();
                },
                LINGER_MS,
                TimeUnit.MILLISECONDS);
        await();
        log.accept("stopped: " + dispatcher.summary() + "; " + events);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        if (admin != null) {
            admin.close();
        }
        if (state != null) {
            state.close();
        }
    }

    private void await() {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
