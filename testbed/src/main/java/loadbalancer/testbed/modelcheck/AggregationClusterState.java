package loadbalancer.testbed.modelcheck;

import java.util.List;
import loadbalancer.routing.gossip.FleetLoadAggregator;

/**
 * A state of all balancers and of the datagrams between them. The arrays are shared between states
 * and never modified; {@link AggregationClusterBuilder} copies what it changes.
 *
 * @param members by balancer
 * @param down by balancer: its process has crashed
 * @param partitioned whether nothing passes between the halves of the fleet
 * @param inFlight oldest first
 * @param nowMicros time of the model
 * @param remainingFaults faults that may still happen after this state
 * @param rateHistory by block: the totals of its live balancers, newest last
 * @param previous the state before; null at the start
 * @param step what led here
 */
record AggregationClusterState(
        FleetLoadAggregator[] members,
        boolean[] down,
        boolean partitioned,
        List<InFlightDatagram> inFlight,
        long nowMicros,
        int remainingFaults,
        List<List<RateSince>> rateHistory,
        AggregationClusterState previous,
        String step)
        implements StateSpaceSearch.State<AggregationClusterState> {

    /** A block's total, one bit per live balancer, and since when it holds. */
    record RateSince(long sinceMicros, int rateBits) {}

    /** A datagram on its way from one balancer to another. */
    record InFlightDatagram(long sentAtMicros, int from, int to, byte[] payload) {
        @Override
        public String toString() {
            return "the datagram of n" + from + " to n" + to;
        }
    }
}
