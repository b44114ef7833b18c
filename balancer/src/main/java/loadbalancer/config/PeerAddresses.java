package loadbalancer.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * The addresses for datagrams between balancers. Immutable.
 *
 * @param listenAddress address at which this balancer receives datagrams; empty if peer messages
 *     are disabled
 * @param addresses addresses of all balancers of the fleet, including this one, indexed by rank;
 *     empty if there are no peers
 * @param broadcastAddress address at which one datagram reaches all peers; empty if each peer is
 *     sent a datagram of its own
 */
public record PeerAddresses(
        Optional<InetSocketAddress> listenAddress,
        List<InetSocketAddress> addresses,
        Optional<InetSocketAddress> broadcastAddress) {
    /** No addresses: peer messages are disabled. */
    static final PeerAddresses NONE =
            new PeerAddresses(Optional.empty(), List.of(), Optional.empty());

    /** Returns whether this balancer receives datagrams at {@code address}. */
    public boolean isOwnAddress(InetSocketAddress address) {
        return listenAddress.isPresent() && listenAddress.get().equals(address);
    }
}
