package loadbalancer.testbed.modelcheck;

import java.util.List;
import loadbalancer.lease.LeaseManager;
import loadbalancer.lease.VoterPromise;

/**
 * A state of all members, of their disks and of what is in flight between them. The arrays are
 * shared between states and never modified; {@link LeaseClusterBuilder} copies what it changes.
 *
 * @param managers by member
 * @param down by member: its process has crashed
 * @param paused by member: its process stands still
 * @param views by observer and member: whether the observer takes the member to be present
 * @param persisted by member: the promises on its disk; null: the disk is empty
 * @param previouslyPersisted by member: the copy before that
 * @param pendingWrites by member: the write in progress, or null
 * @param highestObservedEpochs by member: the highest epoch of an action that it accepted
 * @param believesHolder by member: whether it acquired the lease and has not been told to give it
 *     up
 * @param standby by member: whether it was asked to take no lease
 * @param highestEpoch the highest epoch under which the lease was acquired; 0: never
 * @param highestEpochHolder who acquired it then; {@link #NO_HOLDER}: nobody
 * @param violation what broke an invariant on the way here; empty: nothing
 * @param nowMicros µs since the start
 * @param remainingFaults faults that may still happen after this state
 * @param previous the state before; null at the start
 * @param step what led here
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
