package loadbalancer.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The configuration of one balancer process, read from its environment and its configuration file.
 * Immutable.
 *
 * @param name name of the balancer in the fleet
 * @param listenAddress address on which the balancer accepts client connections
 * @param discoveryAddress address of discovery's HTTP interface
 * @param seed seed of the routing policy's random numbers
 * @param maxSockets maximum number of sockets that the process may have open
 * @param initialEndpoints endpoint list in the configuration; without entries if there is none
 * @param boot settings of the platform
 * @param peers addresses for datagrams between the balancers of the fleet
 * @param adminAddress address of the administration interface; empty if there is none
 * @param listenSocketInherited whether the listening socket for clients was inherited as file
 *     descriptor 0
 * @param handoverDirectory a directory that the process shares with the one that takes over from it
 *     and with no other balancer; empty unless the listening socket is inherited
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
        Optional<Path> handoverDirectory,
        LocalSettings localSettings) {
    /**
     * Reads the file that the variable {@code ROUTER_CONFIG} names. Other variables override its
     * fields.
     *
     * @throws InvalidConfigException if the configuration can't be read or is invalid
     */
    public static BalancerConfig read(Map<String, String> environment) {
        return parse(environment, BalancerConfigParser.readFile(environment));
    }

    /**
     * Reads the configuration again while the process runs. The environment dates from the start of
     * the process, so its discovery address does not override the one in the file.
     *
     * @throws InvalidConfigException if the configuration can't be read or is invalid
     */
    public static BalancerConfig readForReload(Map<String, String> environment) {
        Map<String, String> environmentWithoutDiscovery = new HashMap<>(environment);
        environmentWithoutDiscovery.remove(BalancerConfigParser.DISCOVERY_VARIABLE);
        return read(environmentWithoutDiscovery);
    }

    /**
     * Parses the JSON tree of a configuration file.
     *
     * @throws InvalidConfigException if the configuration is invalid
     */
    public static BalancerConfig parse(Map<String, String> environment, Map<String, Object> json) {
        return new BalancerConfigParser(environment, json).parse();
    }
}
