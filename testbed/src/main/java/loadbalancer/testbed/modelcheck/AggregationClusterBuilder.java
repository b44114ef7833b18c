package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.routing.gossip.FleetLoadAggregator;
import loadbalancer.testbed.modelcheck.AggregationClusterState.InFlightDatagram;
import loadbalancer.testbed.modelcheck.AggregationClusterState.RateSince;

/** Builds a successor of a state, which remains unchanged. Used by one thread. */
final class AggregationClusterBuilder extends ClusterBuilder<AggregationClusterState> {
    // Shared with the base until changed, because a search keeps many states in memory.
    private FleetLoadAggregator[] members;
    private boolean[] down;
    private List<InFlightDatagram> inFlight;
    private List<List<RateSince>> rateHistory;
    private boolean partitioned;

    AggregationClusterBuilder(AggregationClusterState base) {
        super(base);
        members = base.members();
        down = base.down();
        inFlight = base.inFlight();
        rateHistory = base.rateHistory();
        partitioned = base.partitioned();
    }

    void removeDatagram(int index) {
        inFlight = new ArrayList<>(inFlight);
        inFlight.remove(index);
    }

    void setInFlight(List<InFlightDatagram> newInFlight) {
        inFlight = newInFlight;
    }

    /** Replaces a balancer by a copy that may be changed, and returns the copy. */
    FleetLoadAggregator copyMember(int member) {
        replaceMember(member, new FleetLoadAggregator(members[member]));
        return members[member];
    }

    void replaceMember(int member, FleetLoadAggregator replacement) {
        if (members == base().members()) {
            members = members.clone();
        }
        members[member] = replacement;
    }

    void setDown(int member, boolean newDown) {
        down = copyWith(down, member, newDown);
    }

    boolean[] down() {
        return down;
    }

    /** Records the total that a block has from now on. */
    void addRate(int block, int rateBits) {
        List<RateSince> blockHistory = new ArrayList<>(rateHistory.get(block));
        blockHistory.add(new RateSince(nowMicros(), rateBits));
        rateHistory = new ArrayList<>(rateHistory);
        rateHistory.set(block, blockHistory);
    }

    void togglePartition() {
        partitioned = !partitioned;
    }

    /** Returns the new state, whose predecessor is the base; {@code step} describes the event. */
    AggregationClusterState build(String step) {
        return new AggregationClusterState(
                members,
                down,
                partitioned,
                inFlight,
                nowMicros(),
                remainingFaults(),
                rateHistory,
                base(),
                step);
    }
}
