package loadbalancer.routing.gossip;

import loadbalancer.routing.api.RoutingActions;

/**
 * Which balancers receive the load reports of this one. In a small fleet all do. In a larger one
 * its neighbors by number do, as their parts of the hash ring overlap with its own, and the fleet's
 * rate is aggregated by {@link FleetLoadAggregator}. Immutable.
 *
 * @param ownRank number of this balancer
 * @param balancerCount of the fleet
 */
record GossipTopology(int ownRank, int balancerCount) {
    // The other balancers of the own block are among them.
    private static final int NEIGHBORS_PER_SIDE = BlockPartition.DEFAULT_BLOCK_SIZE;
    private static final int MAX_NEIGHBOR_MESSAGE_BYTES = 48;
    private static final int ALL_PEERS = -1;

    /** Whether all balancers receive the reports. */
    boolean isBroadcast() {
        return balancerCount <= 2 * NEIGHBORS_PER_SIDE + 1;
    }

    /**
     * Whether the fleet is too large to be aggregated; then only the neighbors' rates are known.
     */
    boolean exceedsAggregation() {
        return !isBroadcast() && balancerCount > BlockPartition.MAX_BALANCERS;
    }

    /** Whether {@code balancer} is the number of another balancer of the fleet. */
    boolean isPeer(int balancer) {
        return balancer >= 0 && balancer < balancerCount && balancer != ownRank;
    }

    /** Number of balancers that receive each report. */
    int receiverCount() {
        return isBroadcast() ? balancerCount - 1 : 2 * NEIGHBORS_PER_SIDE;
    }

    /** Bound on the size of a report. */
    int maxMessageBytes() {
        return isBroadcast() ? LoadGossipMessage.MAX_BYTES : MAX_NEIGHBOR_MESSAGE_BYTES;
    }

    /** Sends a report to all its receivers. */
    void send(byte[] datagram, RoutingActions actions) {
        if (isBroadcast()) {
            actions.sendToPeer(ALL_PEERS, datagram);
            return;
        }
        for (int distance = 1; distance <= NEIGHBORS_PER_SIDE; distance++) {
            actions.sendToPeer(Math.floorMod(ownRank + distance, balancerCount), datagram);
            actions.sendToPeer(Math.floorMod(ownRank - distance, balancerCount), datagram);
        }
    }
}
