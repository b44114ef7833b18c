package loadbalancer.testbed.modelcheck;

import java.util.List;
import loadbalancer.membership.Membership;
import loadbalancer.membership.MembershipMessage;

/**
 * A state of all members and of the messages between them. The arrays are shared between states and
 * never modified; {@link MembershipClusterBuilder} copies what it changes.
 *
 * @param members by member
 * @param down by member: its process has crashed
 * @param paused by member: its process stands still
 * @param inFlight oldest first
 * @param nowMicros µs since the start
 * @param remainingFaults faults that may still happen after this state
 * @param previous the state before; null at the start
 * @param step what led here
 */
record MembershipClusterState(
        Membership[] members,
        boolean[] down,
        boolean[] paused,
        List<InFlightMessage> inFlight,
        long nowMicros,
        int remainingFaults,
        MembershipClusterState previous,
        String step)
        implements StateSpaceSearch.State<MembershipClusterState> {

    /** A message on its way from one member to another. */
    record InFlightMessage(int from, int to, MembershipMessage payload) {
        @Override
        public String toString() {
            return payload.kind() + " of n" + from + " to n" + to;
        }
    }
}
