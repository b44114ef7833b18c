package loadbalancer.config;

import java.net.InetSocketAddress;
import java.util.List;

/** Where the balancers hear one another, by their numbers; null and empty where they may not. */
public record PeerAddresses(
        InetSocketAddress listenAddress,
        List<InetSocketAddress> addresses,
        InetSocketAddress broadcastAddress) {
    static final PeerAddresses NONE = new PeerAddresses(null, List.of(), null);
}
