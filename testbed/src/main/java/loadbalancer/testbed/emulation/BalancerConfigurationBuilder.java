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

    /** Creates a configuration with the balancer's name and its address for clients. */
    public BalancerConfigurationBuilder(String name, String listenAddress) {
        configuration.put("name", name);
        configuration.put("listen", listenAddress);
    }

    /** Sets the address of the admin server. */
    public BalancerConfigurationBuilder admin(String address) {
        configuration.put("admin", address);
        return this;
    }

    /** Sets the address of the discovery agent. */
    public BalancerConfigurationBuilder discovery(String address) {
        configuration.put("discovery", address);
        return this;
    }

    /** Sets the seed of the balancer's random numbers, a hexadecimal number. */
    public BalancerConfigurationBuilder seed(String hexadecimalSeed) {
        configuration.put("seed", hexadecimalSeed);
        return this;
    }

    /**
     * Sets the limits of the process, which has one core.
     *
     * @param memoryMb maximum resident memory in MB
     * @param sockets maximum number of open file descriptors
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
     * Sets the addresses for datagrams between balancers.
     *
     * @param listenAddress the address at which the balancer listens
     * @param peerAddresses the addresses of all balancers by rank, its own included
     */
    public BalancerConfigurationBuilder peers(String listenAddress, List<String> peerAddresses) {
        configuration.put("peer_listen", listenAddress);
        configuration.put("peers", peerAddresses);
        return this;
    }

    /** Sets the address whose datagrams go to all other balancers. */
    public BalancerConfigurationBuilder broadcast(String address) {
        configuration.put("peers_all", address);
        return this;
    }

    /**
     * Adds the initial endpoint list, in discovery's JSON form, and the settings, and returns a
     * copy of the configuration.
     */
    public Map<String, Object> build(
            Map<String, Object> endpointList, Map<String, Object> settings) {
        configuration.put("known", endpointList);
        configuration.put("settings", settings);
        return new LinkedHashMap<>(configuration);
    }
}
