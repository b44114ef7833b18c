package loadbalancer.testbed.modelcheck;

import java.util.Arrays;
import java.util.List;
import loadbalancer.lease.LeaseManager;
import loadbalancer.lease.LeaseTiming;
import loadbalancer.lease.VoterPromise;

/**
 * Checks a few members of {@link LeaseManager} and one slot under messages in any order, lost and
 * duplicated; disks that are slow, fail, or come back empty or older; crashes and pauses; clocks up
 * to 5% fast or slow and hours apart; views of who is present that are wrong.
 *
 * <p>In each state at most one member may act, epochs have not decreased, and no member has
 * accepted an action under an older epoch after one under a newer. Some time after the last fault
 * there is a stable holder again.
 */
public final class LeaseModelChecker implements StateSpaceSearch.Model<LeaseClusterState> {
    private static final long STEP_MICROS = LeaseTransitions.STEP_MICROS;
    // How long after the last fault a holder must exist, in lease durations
    private static final int CONVERGENCE_LEASES = 12;
    // The last part of that, in which the lease must not be transferred
    private static final int STABLE_LEASES = 4;

    private final LeaseMembers members;
    private final LeaseTransitions transitions;

    /** A bug built into the model, to show that the check finds it. */
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
     * @param timing with one slot; short times make more happen within few steps
     */
    public LeaseModelChecker(int memberCount, LeaseTiming timing, InjectedBug injectedBug) {
        members = new LeaseMembers(memberCount, timing, injectedBug);
        transitions = new LeaseTransitions(members);
    }

    /**
     * Explores until that many distinct states were visited.
     *
     * @param stepsPerWalk length of one random walk from the start
     * @param maxFaults upper bound of crashes, losses, pauses, wrong views and the like on one path
     * @param convergenceCheckInterval from one state in that many it is checked whether there is a
     *     holder in the end
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
        return Fingerprints.of(
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
                    return "n" + holder + " and n" + member + " may both act";
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
            return "epoch "
                    + stableEpoch
                    + " became "
                    + builder.highestEpoch()
                    + " long after the last fault";
        }
        LeaseClusterState settled = builder.build("settled");
        for (int member = 0; member < members.count(); member++) {
            if (members.actingEpoch(settled, member) > 0) {
                return "";
            }
        }
        return "nobody holds it " + CONVERGENCE_LEASES + " leases after the last fault";
    }

    // Messages arrive and writes succeed within one step; nobody acts as a holder.
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
