package loadbalancer.testbed.modelcheck;

import java.util.Arrays;
import java.util.List;
import loadbalancer.lease.LeaseManager;
import loadbalancer.lease.LeaseTiming;
import loadbalancer.lease.VoterPromise;

/**
 * Checks {@link LeaseManager} with a few members and one slot. Messages are reordered, lost and
 * duplicated; disk writes are slow or fail, and disks are empty or have older content after a
 * restart; processes crash and pause; clocks are up to 5% fast or slow and hours apart; membership
 * views are wrong.
 *
 * <p>In each state at most one member may act, epochs must not have decreased, and no member may
 * have accepted an action under an older epoch after one under a newer epoch. Some time after the
 * last fault there must be a stable holder again. Used by one thread.
 */
public final class LeaseModelChecker implements StateSpaceSearch.Model<LeaseClusterState> {
    private static final long STEP_MICROS = LeaseTransitions.STEP_MICROS;
    // Time after the last fault within which a holder must exist, in lease durations.
    private static final int CONVERGENCE_LEASES = 12;
    // Final part of the convergence time, in lease durations, in which the epoch must not change.
    private static final int STABLE_LEASES = 4;

    private final LeaseMembers members;
    private final LeaseTransitions transitions;

    /** A bug that a test injects to show that the check detects it. */
    public enum InjectedBug {
        NONE,
        SKIP_WAIT_AFTER_START,
        RESPOND_BEFORE_SYNC,
        MARGIN_TOO_SMALL,
        MAJORITY_OF_PRESENT,
        SKIP_EPOCH_CHECK,
        SKIP_EXPIRY_CHECK
    }

    /**
     * Creates a checker.
     *
     * @param timing timing with one slot; short times cause more events within few steps
     */
    public LeaseModelChecker(int memberCount, LeaseTiming timing, InjectedBug injectedBug) {
        members = new LeaseMembers(memberCount, timing, injectedBug);
        transitions = new LeaseTransitions(members);
    }

    /**
     * Explores by random walks until {@code maxStates} distinct states have been visited.
     *
     * @param stepsPerWalk number of steps of one random walk from the initial state
     * @param maxFaults maximum number of faults (crashes, losses, pauses, wrong views and others)
     *     on one path
     * @param convergenceCheckInterval convergence is checked from one in this many states
     */
    public CheckResult explore(
            long maxStates,
            int stepsPerWalk,
            int maxFaults,
            int convergenceCheckInterval,
            long seed) {
        return new StateSpaceSearch<>(transitions, this)
                .randomWalk(maxStates, maxFaults, stepsPerWalk, convergenceCheckInterval, seed);
    }

    @Override
    public long fingerprint(LeaseClusterState state) {
        long hash =
                state.remainingFaults() * 31L
                        + state.highestEpoch() * 7
                        + state.highestEpochHolder();
        for (int member = 0; member < members.count(); member++) {
            hash = hash * 1_000_003 + processHash(state, member);
            hash =
                    hash * 31
                            + Arrays.hashCode(state.views()[member])
                            + state.highestObservedEpochs()[member] * 17
                            + (state.pendingWrites()[member] == null ? 0 : 5);
            List<VoterPromise> promises = state.persisted().get(member);
            hash = hash * 31 + (promises == null ? 0 : promises.hashCode());
        }
        return Fingerprints.combine(
                hash,
                state.inFlight(),
                message ->
                        Fingerprints.messageHash(
                                message.from(), message.to(), message.contentHash()));
    }

    private long processHash(LeaseClusterState state, int member) {
        if (state.down()[member]) {
            return 1;
        }
        long clockMicros = members.clockMicros(member, state.nowMicros());
        return (state.paused()[member] ? 2 : 3) + state.managers()[member].fingerprint(clockMicros);
    }

    @Override
    public String findViolation(LeaseClusterState before, LeaseClusterState state) {
        if (!state.violation().isEmpty()) {
            return state.violation();
        }
        int holder = -1;
        for (int member = 0; member < members.count(); member++) {
            if (!state.down()[member] && members.actingEpoch(state, member) > 0) {
                if (holder >= 0) {
                    return "n" + holder + " and n" + member + " may both act as holder";
                }
                holder = member;
            }
        }
        return "";
    }

    @Override
    public String findConvergenceViolation(LeaseClusterState state) {
        LeaseClusterBuilder builder = new LeaseClusterBuilder(members, state);
        builder.endAllFaults();
        long leaseMicros = members.timing().leaseMicros();
        long endMicros = state.nowMicros() + CONVERGENCE_LEASES * leaseMicros;
        long stableEpoch = -1;
        while (builder.nowMicros() < endMicros) {
            if (endMicros - builder.nowMicros() > STABLE_LEASES * leaseMicros) {
                stableEpoch = builder.highestEpoch();
            }
            runFaultFreeStep(builder);
            String violation = findViolation(state, builder.build("settling"));
            if (!violation.isEmpty()) {
                return violation;
            }
            builder.advanceTime(STEP_MICROS);
        }
        if (builder.highestEpoch() != stableEpoch) {
            return "the epoch changed from "
                    + stableEpoch
                    + " to "
                    + builder.highestEpoch()
                    + " long after the last fault";
        }
        LeaseClusterState settled = builder.build("settled");
        for (int member = 0; member < members.count(); member++) {
            if (members.actingEpoch(settled, member) > 0) {
                return "";
            }
        }
        return "no member holds the lease "
                + CONVERGENCE_LEASES
                + " lease durations after the last fault";
    }

    // Messages arrive and writes succeed within one step; no holder's actions are delivered.
    private void runFaultFreeStep(LeaseClusterBuilder builder) {
        for (LeaseInFlight message : builder.removeAll()) {
            if (message instanceof LeaseInFlight.ProtocolMessage protocolMessage) {
                builder.deliver(protocolMessage);
            }
        }
        for (int member = 0; member < members.count(); member++) {
            builder.completeWriteIfPending(member);
            builder.tickIfDue(member);
        }
    }
}
