package loadbalancer.testbed.modelcheck;

import java.util.List;
import loadbalancer.membership.Membership;
import loadbalancer.membership.MembershipMessage;

/**
 * A state of all members and of the messages between them. The arrays are shared between states and
 * never modified; {@link MembershipClusterBuilder} copies what it changes.
 *
 * @param members the state machine of each member
 * @param down for each member, whether its process has crashed
 * @param paused for each member, whether its process is paused
 * @param inFlight the messages in flight, oldest first
 * @param nowMicros time in µs since the start
 * @param remainingFaults number of faults that may still happen after this state
 * @param previous the preceding state; null for the initial state
 * @param step describes the event that led to this state
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

    /** A message in flight from one member to another. */
    record InFlightMessage(int from, int to, MembershipMessage payload) {
        @Override
        public String toString() {
            return payload.kind() + " from n" + from + " to n" + to;
        }
    }
}
