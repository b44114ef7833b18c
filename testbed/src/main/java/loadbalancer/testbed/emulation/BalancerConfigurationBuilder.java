package loadbalancer.testbed.emulation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Builds the configuration of a balancer process in the platform's form. Keys appear in the order
 * of the calls; addresses have the form {@code host:port}. Not thread-safe.
 */
public final class BalancerConfigurationBuilder {
    private static final double CORES = 1.0;

    private final Map<String, Object> configuration = new LinkedHashMap<>();

    /** Starts a configuration with the balancer's name and its address for clients. */
    public BalancerConfigurationBuilder(String name, String listenAddress) {
        configuration.put("name", name);
        configuration.put("listen", listenAddress);
    }

    /** The address of the administration endpoint. */
    public BalancerConfigurationBuilder admin(String address) {
        configuration.put("admin", address);
        return this;
    }

    /** The address of discovery. */
    public BalancerConfigurationBuilder discovery(String address) {
        configuration.put("discovery", address);
        return this;
    }

    /** The seed of the balancer's random numbers, a hexadecimal number. */
    public BalancerConfigurationBuilder seed(String hexadecimalSeed) {
        configuration.put("seed", hexadecimalSeed);
        return this;
    }

    /**
     * The limits of the process, with one core.
     *
     * @param memoryMb resident memory, MB
     * @param sockets open file descriptors
     */
    public BalancerConfigurationBuilder limits(int memoryMb, int sockets) {
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("cores", CORES);
        limits.put("memory_mb", memoryMb);
        limits.put("sockets", sockets);
        configuration.put("limits", limits);
        return this;
    }

    /**
     * The addresses for datagrams between balancers.
     *
     * @param listenAddress the balancer's own address
     * @param peerAddresses those of all balancers by rank, its own included
     */
    public BalancerConfigurationBuilder peers(String listenAddress, List<String> peerAddresses) {
        configuration.put("peer_listen", listenAddress);
        configuration.put("peers", peerAddresses);
        return this;
    }

    /** The address whose datagrams go to all other balancers. */
    public BalancerConfigurationBuilder broadcast(String address) {
        configuration.put("peers_all", address);
        return this;
    }

    /** The initial endpoint list in discovery's form, and the settings. */
    public Map<String, Object> build(
            Map<String, Object> endpointList, Map<String, Object> settings) {
        configuration.put("known", endpointList);
        configuration.put("settings", settings);
        return new LinkedHashMap<>(configuration);
    }
}
