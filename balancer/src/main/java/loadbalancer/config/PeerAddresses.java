package loadbalancer.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * Addresses for datagrams between balancers. Immutable.
 *
 * @param listenAddress where this balancer receives them; empty: peer messages are off
 * @param addresses all balancers of the fleet by their rank, this one included; empty: no peers
 * @param broadcastAddress where one datagram reaches all peers; empty: each peer is sent its own
 */
public record PeerAddresses(
        Optional<InetSocketAddress> listenAddress,
        List<InetSocketAddress> addresses,
        Optional<InetSocketAddress> broadcastAddress) {
    /** Peer messages are off. */
    static final PeerAddresses NONE =
            new PeerAddresses(Optional.empty(), List.of(), Optional.empty());

    /** Whether {@code address} is the one where this balancer receives datagrams. */
    public boolean isOwnAddress(InetSocketAddress address) {
        return listenAddress.isPresent() && listenAddress.get().equals(address);
    }
}
