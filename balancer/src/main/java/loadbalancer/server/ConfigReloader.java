package loadbalancer.server;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.FileChangeDetector;
import loadbalancer.config.InvalidConfigException;

/**
 * Reloads the configuration while the balancer runs. Only a change of the address of discovery
 * takes effect at once; all other changes take effect at the next start. {@link #reload} may run on
 * any thread.
 */
final class ConfigReloader {
    private static final long POLL_INTERVAL_MS = 500;

    private final BalancerServer balancer;
    private final BalancerConfig currentConfig;
    private final Map<String, String> environment;
    private final Consumer<String> log;

    /**
     * Creates a reloader for a running balancer.
     *
     * @param currentConfig the configuration that the balancer was started with
     * @param environment the environment variables, which name the configuration file
     */
    ConfigReloader(
            BalancerServer balancer,
            BalancerConfig currentConfig,
            Map<String, String> environment,
            Consumer<String> log) {
        this.balancer = balancer;
        this.currentConfig = currentConfig;
        this.environment = environment;
        this.log = log;
    }

    /** Reads the configuration and applies it. An invalid one is logged and ignored. */
    void reload() {
        try {
            BalancerConfig newConfig = BalancerConfig.readForReload(environment);
            InetSocketAddress discoveryAddress = newConfig.discoveryAddress();
            log.accept(
                    "configuration reloaded: discovery="
                            + discoveryAddress.getAddress().getHostAddress()
                            + ":"
                            + discoveryAddress.getPort());
            currentConfig
                    .localSettings()
                    .changedKeys(newConfig.localSettings())
                    .forEach(
                            key ->
                                    log.accept(
                                            "setting changed, effective at the next start: key="
                                                    + key));
            balancer.reconnectDiscovery(discoveryAddress);
        } catch (InvalidConfigException e) {
            log.accept("configuration reload failed: reason=" + e.getMessage());
        } catch (RuntimeException e) {
            // A malformed file may cause other exceptions; they must not end the balancer.
            log.accept("configuration reload failed: reason=" + e);
        }
    }

    /**
     * Reloads the configuration whenever its file changes, for processes in which SIGHUP is
     * ignored. A balancer that missed a new address of discovery would keep sending requests to
     * upstreams that are draining.
     */
    void pollForChanges() {
        FileChangeDetector configFile =
                new FileChangeDetector(Path.of(environment.get("ROUTER_CONFIG")));
        balancer.loop()
                .scheduleWithFixedDelay(
                        () -> {
                            if (configFile.hasChanged()) {
                                reload();
                            }
                        },
                        POLL_INTERVAL_MS,
                        POLL_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
    }
}
