package loadbalancer.config;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The configuration of one balancer process, from its environment and its configuration file.
 * Immutable.
 *
 * @param name the balancer's name in the fleet
 * @param listenAddress where clients connect to
 * @param discoveryAddress where discovery's HTTP interface listens
 * @param seed seed of the routing policy's random draws
 * @param maxSockets how many sockets the process may have open
 * @param initialEndpoints the endpoint list that the configuration knows; empty: none
 * @param boot the platform's settings
 * @param peers addresses of the other balancers
 * @param adminAddress where the administration interface listens; empty: there is none
 * @param listenSocketInherited whether the clients' listening socket was inherited as descriptor 0
 * @param localSettings settings of the load balancer itself
 */
public record BalancerConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int maxSockets,
        EndpointList initialEndpoints,
        BootSettings boot,
        PeerAddresses peers,
        Optional<InetSocketAddress> adminAddress,
        boolean listenSocketInherited,
        LocalSettings localSettings) {
    /**
     * Reads the file that {@code ROUTER_CONFIG} names; other variables override its fields.
     *
     * @throws InvalidConfigException if the configuration can't be read or is invalid
     */
    public static BalancerConfig read(Map<String, String> environment) {
        return parse(environment, BalancerConfigParser.readFile(environment));
    }

    /**
     * Reads the configuration again while the process runs. The environment is that of the start,
     * so its address of discovery doesn't override the file's.
     *
     * @throws InvalidConfigException if the configuration can't be read or is invalid
     */
    public static BalancerConfig readForReload(Map<String, String> environment) {
        Map<String, String> environmentWithoutDiscovery = new HashMap<>(environment);
        environmentWithoutDiscovery.remove(BalancerConfigParser.DISCOVERY_VARIABLE);
        return read(environmentWithoutDiscovery);
    }

    /**
     * Parses the tree that a JSON reader made of a configuration file.
     *
     * @throws InvalidConfigException if the configuration is invalid
     */
    public static BalancerConfig parse(Map<String, String> environment, Map<String, Object> json) {
        return new BalancerConfigParser(environment, json).parse();
    }
}
