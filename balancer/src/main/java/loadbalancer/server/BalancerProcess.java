package loadbalancer.server;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.InvalidConfigException;
import loadbalancer.config.LocalSetting;
import loadbalancer.routing.RoutingEngine;

/**
 * Runs one balancer as a process: reads its configuration from the environment, handles signals and
 * sets the exit code. The main thread starts the balancer; the shutdown hook stops it.
 */
public final class BalancerProcess {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILURE = 1;
    private static final long PREPARE_TIMEOUT_SECONDS = 30;
    private static final long READINESS_POLL_INTERVAL_MS = 10;

    private final BalancerServer balancer;
    // Written by the main thread, read by the shutdown hook.
    private volatile boolean listenFailed;

    private BalancerProcess(BalancerServer balancer) {
        this.balancer = balancer;
    }

    /**
     * Runs a balancer until SIGTERM. The shutdown hook then ends the process, so this method
     * returns only if the balancer can't start.
     *
     * @param environment the environment variables of the process
     * @return the exit code
     */
    public static int serve(Map<String, String> environment) {
        Consumer<String> log = line -> System.err.println("load-balancer: " + line);
        BalancerConfig config;
        BalancerServer balancer;
        try {
            config = BalancerConfig.read(environment);
            boolean zoneFailover =
                    config.localSettings().isEnabled(LocalSetting.ZONE_FAILOVER_ENABLED);
            balancer =
                    new BalancerServer(
                            config,
                            (settings, seed) -> new RoutingEngine(settings, seed, zoneFailover),
                            true,
                            log);
        } catch (InvalidConfigException e) {
            log.accept(e.getMessage());
            return EXIT_FAILURE;
        }
        ConfigReloader reloader = new ConfigReloader(balancer, config, environment, log);
        return new BalancerProcess(balancer).run(config, reloader, log);
    }

    private int run(BalancerConfig config, ConfigReloader reloader, Consumer<String> log) {
        // The hook must be installed before the balancer listens: a SIGTERM may arrive along with
        // the first request.
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown));
        boolean signalHandled = false;
        try {
            signalHandled = ReloadSignal.install(reloader::reload);
        } catch (ReflectiveOperationException e) {
            log.accept("SIGHUP handler not installed: reason=" + e);
        }
        InetSocketAddress address;
        try {
            address = balancer.start();
        } catch (Exception e) {
            // Netty's sync() rethrows the exception that bind failed with, whatever its type.
            log.accept("can't listen on " + config.listenAddress() + ": " + e.getMessage());
            listenFailed = true;
            return EXIT_FAILURE;
        }
        if (!signalHandled) {
            log.accept("SIGHUP ignored since the start: polling the configuration file");
            reloader.pollForChanges();
        }
        // This line is logged last because its reader may send a signal at once.
        log.accept(
                "listening on " + address.getAddress().getHostAddress() + ":" + address.getPort());
        balancer.awaitStopped();
        return EXIT_OK;
    }

    private void shutDown() {
        if (!listenFailed) {
            balancer.stop();
        }
        // Without halt() the exit code would be that of the signal.
        Runtime.getRuntime().halt(listenFailed ? EXIT_FAILURE : EXIT_OK);
    }

    /**
     * Starts a balancer whose only upstream does not exist, warms it up and stops it. Under {@code
     * -XX:ArchiveClassesAtExit} the JVM archives the classes that a start loads.
     *
     * @return the exit code: a failure if the warm-up does not complete within 30 s
     */
    public static int runWarmUpOnly() {
        try (InputStream configuration =
                BalancerProcess.class.getResourceAsStream("/prepare.json")) {
            BalancerServer balancer =
                    new BalancerServer(
                            BalancerConfig.parse(Map.of(), JSON.std.mapFrom(configuration)),
                            RoutingEngine::new,
                            true,
                            System.err::println);
            balancer.start();
            boolean ready = awaitReady(balancer);
            balancer.stop();
            return ready ? EXIT_OK : EXIT_FAILURE;
        } catch (IOException e) {
            System.err.println("load-balancer: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return EXIT_FAILURE;
    }

    private static boolean awaitReady(BalancerServer balancer) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(PREPARE_TIMEOUT_SECONDS);
        while (!balancer.publishedStats().ready() && System.nanoTime() - deadlineNanos < 0) {
            TimeUnit.MILLISECONDS.sleep(READINESS_POLL_INTERVAL_MS);
        }
        return balancer.publishedStats().ready();
    }
}
