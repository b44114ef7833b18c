package loadbalancer.testbed.modelcheck;

import java.util.List;
import loadbalancer.lease.LeaseManager;
import loadbalancer.lease.VoterPromise;

/**
 * A state of all members, of their disks and of the messages in flight. The arrays are shared
 * between states and never modified; {@link LeaseClusterBuilder} copies what it changes.
 *
 * @param managers the state machine of each member
 * @param down for each member, whether its process has crashed
 * @param paused for each member, whether its process is paused
 * @param views for each observer and member, whether the observer considers the member present
 * @param persisted for each member, the promises on its disk; null if the disk is empty
 * @param previouslyPersisted for each member, the previous content of its disk
 * @param pendingWrites for each member, the write in progress, or null
 * @param highestObservedEpochs for each member, the epoch of the latest action that it accepted
 * @param believesHolder for each member, whether it acquired the lease and has not released it
 * @param standby for each member, whether it is on standby, in which it acquires no lease
 * @param highestEpoch highest epoch under which the lease was acquired; 0 if it never was
 * @param highestEpochHolder the member that acquired it under that epoch, or {@link #NO_HOLDER}
 * @param violation describes an invariant that the event violated; empty if there is none
 * @param nowMicros time in µs since the start
 * @param remainingFaults number of faults that may still happen after this state
 * @param previous the preceding state; null for the initial state
 * @param step describes the event that led to this state
 */
record LeaseClusterState(
        LeaseManager[] managers,
        boolean[] down,
        boolean[] paused,
        boolean[][] views,
        List<List<VoterPromise>> persisted,
        List<List<VoterPromise>> previouslyPersisted,
        LeaseManager.Persist[] pendingWrites,
        long[] highestObservedEpochs,
        boolean[] believesHolder,
        boolean[] standby,
        long highestEpoch,
        int highestEpochHolder,
        String violation,
        List<LeaseInFlight> inFlight,
        long nowMicros,
        int remainingFaults,
        LeaseClusterState previous,
        String step)
        implements StateSpaceSearch.State<LeaseClusterState> {
    static final int NO_HOLDER = -1;
}
