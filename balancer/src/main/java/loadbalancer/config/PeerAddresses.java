package loadbalancer.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Addresses for datagrams between balancers. Immutable.
 *
 * @param listenAddress where this balancer receives them; null: peer messages are off
 * @param addresses all balancers of the fleet by their rank, this one included; empty: no peers
 * @param broadcastAddress where one datagram reaches all peers; null: each peer is sent its own
 */
public record PeerAddresses(
        InetSocketAddress listenAddress,
        List<InetSocketAddress> addresses,
        InetSocketAddress broadcastAddress) {
    /** Peer messages are off. */
    static final PeerAddresses NONE = new PeerAddresses(null, List.of(), null);
}
