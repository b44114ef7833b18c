package loadbalancer.routing.gossip;

import loadbalancer.routing.api.RoutingActions;

/**
 * Defines which balancers receive the load reports of this one. In a small fleet all others do. In
 * a larger one its neighbors by number do, because their parts of the hash ring overlap with its
 * own, and {@link FleetLoadAggregator} aggregates the fleet's rate. Immutable.
 *
 * @param ownRank number of this balancer
 * @param balancerCount number of balancers in the fleet
 */
record GossipTopology(int ownRank, int balancerCount) {
    // At least the block size, so that the other balancers of the own block are neighbors.
    private static final int NEIGHBORS_PER_SIDE = BlockPartition.DEFAULT_BLOCK_SIZE;
    private static final int MAX_NEIGHBOR_MESSAGE_BYTES = 48;
    private static final int ALL_PEERS = -1;

    /** Returns whether all other balancers receive the reports. */
    boolean isBroadcast() {
        return balancerCount <= 2 * NEIGHBORS_PER_SIDE + 1;
    }

    /**
     * Returns whether the fleet is too large for aggregation. In that case only the rates of the
     * neighbors are known.
     */
    boolean exceedsAggregationLimit() {
        return !isBroadcast() && balancerCount > BlockPartition.MAX_BALANCERS;
    }

    /** Returns whether {@code balancer} is the number of another balancer in the fleet. */
    boolean isPeer(int balancer) {
        return balancer >= 0 && balancer < balancerCount && balancer != ownRank;
    }

    /** Returns the number of balancers that receive each report. */
    int receiverCount() {
        return isBroadcast() ? balancerCount - 1 : 2 * NEIGHBORS_PER_SIDE;
    }

    /** Returns the maximum size of a report in bytes. */
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
