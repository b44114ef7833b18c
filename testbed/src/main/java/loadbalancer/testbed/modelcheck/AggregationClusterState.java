package loadbalancer.testbed.modelcheck;

import java.util.List;
import loadbalancer.routing.gossip.FleetLoadAggregator;

/**
 * A state of all balancers and of the datagrams between them. The arrays are shared between states
 * and never modified; {@link AggregationClusterBuilder} copies what it changes.
 *
 * @param members the state machine of each balancer
 * @param down for each balancer, whether its process has crashed
 * @param partitioned whether the two halves of the fleet cannot reach each other
 * @param inFlight the datagrams in flight, oldest first
 * @param nowMicros the model's time in µs
 * @param remainingFaults number of faults that may still happen after this state
 * @param rateHistory for each block, the totals of its live balancers, newest last
 * @param previous the preceding state; null for the initial state
 * @param step describes the event that led to this state
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

    /**
     * The total of a block, one bit per live balancer, and the time in µs from which it applies.
     */
    record RateSince(long sinceMicros, int rateBits) {}

    /** A datagram on its way from one balancer to another. */
    record InFlightDatagram(long sentAtMicros, int from, int to, byte[] payload) {
        @Override
        public String toString() {
            return "datagram from n" + from + " to n" + to;
        }
    }
}
