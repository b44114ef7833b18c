package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import loadbalancer.membership.Membership;
import loadbalancer.membership.MembershipTiming;
import loadbalancer.membership.MembershipView;
import loadbalancer.testbed.modelcheck.MembershipClusterState.InFlightMessage;

/**
 * Checks {@link Membership} with a few members. Messages are reordered, lost and duplicated, and
 * members pause, crash and restart. In each state no incarnation that a member knows may have
 * decreased. From some of the states, once faults end, all live members must come to consider each
 * other present and all others absent. Used by one thread.
 */
public final class MembershipModelChecker
        implements StateSpaceSearch.Model<MembershipClusterState> {
    private static final long STEP_MICROS = MembershipTransitions.STEP_MICROS;
    // Time after the last fault within which views must agree.
    private static final long CONVERGENCE_MICROS = 6_000_000;

    private final int memberCount;
    private final MembershipTransitions transitions;

    /** A bug that a test injects to show that the check detects it. */
    public enum InjectedBug {
        NONE,
        /** A member loses its state after a pause. */
        LOSE_STATE,
        /** A member ignores updates about itself, such as suspicions. */
        NEVER_REFUTE,
        /** A member ignores messages from, and updates about, members that it considers dead. */
        NEVER_REVIVE
    }

    /** Creates a checker; short times in {@code timing} cause more events within few steps. */
    public MembershipModelChecker(
            int memberCount, MembershipTiming timing, InjectedBug injectedBug) {
        this.memberCount = memberCount;
        transitions = new MembershipTransitions(memberCount, timing, injectedBug);
    }

    /**
     * Explores until {@code maxStates} distinct states have been visited.
     *
     * @param maxFaults maximum number of faults (crashes, restarts, pauses, losses and duplicates)
     *     on one path
     * @param convergenceCheckInterval convergence is checked from one in this many states
     */
    public CheckResult explore(
            long maxStates, int maxFaults, int convergenceCheckInterval, long seed) {
        return new StateSpaceSearch<>(transitions, this)
                .explore(maxStates, maxFaults, convergenceCheckInterval, seed);
    }

    @Override
    public long fingerprint(MembershipClusterState state) {
        long hash = state.remainingFaults();
        for (int member = 0; member < memberCount; member++) {
            hash = hash * 1_000_003 + processHash(state, member);
        }
        return Fingerprints.combine(
                hash,
                state.inFlight(),
                message ->
                        Fingerprints.messageHash(
                                message.from(),
                                message.to(),
                                Arrays.hashCode(message.payload().encode())));
    }

    private static long processHash(MembershipClusterState state, int member) {
        if (state.down()[member]) {
            return 1;
        }
        return (state.paused()[member] ? 2 : 0)
                + state.members()[member].fingerprint(state.nowMicros());
    }

    @Override
    public String findViolation(MembershipClusterState before, MembershipClusterState after) {
        for (int member = 0; member < memberCount; member++) {
            if (!before.down()[member] && !after.down()[member]) {
                String violation =
                        findIncarnationRegression(
                                member,
                                before.members()[member].view(),
                                after.members()[member].view());
                if (!violation.isEmpty()) {
                    return violation;
                }
            }
        }
        return "";
    }

    private String findIncarnationRegression(
            int member, MembershipView before, MembershipView after) {
        for (int other = 0; other < memberCount; other++) {
            long previousIncarnation = before.members().get(other).incarnation();
            long currentIncarnation = after.members().get(other).incarnation();
            if (currentIncarnation < previousIncarnation) {
                return String.format(
                        Locale.ROOT,
                        "n%d knows incarnation %d of n%d, but knew %d before",
                        member,
                        currentIncarnation,
                        other,
                        previousIncarnation);
            }
        }
        return "";
    }

    // Members that are down stay down, pauses end, and messages arrive within one step.
    @Override
    public String findConvergenceViolation(MembershipClusterState state) {
        Membership[] members =
                Arrays.stream(state.members()).map(Membership::new).toArray(Membership[]::new);
        List<InFlightMessage> inFlight = new ArrayList<>(state.inFlight());
        long endMicros = state.nowMicros() + CONVERGENCE_MICROS;
        for (long nowMicros = state.nowMicros(); nowMicros < endMicros; nowMicros += STEP_MICROS) {
            runFaultFreeStep(members, state.down(), inFlight, nowMicros);
        }
        for (int member = 0; member < memberCount; member++) {
            for (int other = 0; !state.down()[member] && other < memberCount; other++) {
                if (members[member].view().isPresent(other) == state.down()[other]) {
                    return describeDisagreement(member, other, state.down()[other]);
                }
            }
        }
        return "";
    }

    private void runFaultFreeStep(
            Membership[] members, boolean[] down, List<InFlightMessage> inFlight, long nowMicros) {
        List<InFlightMessage> arrivingMessages = new ArrayList<>(inFlight);
        inFlight.clear();
        arrivingMessages.sort(Comparator.comparingInt(InFlightMessage::from));
        for (InFlightMessage message : arrivingMessages) {
            if (!down[message.to()]) {
                MembershipClusterBuilder.addMessages(
                        inFlight,
                        message.to(),
                        transitions.receive(members[message.to()], nowMicros, message));
            }
        }
        for (int member = 0; member < memberCount; member++) {
            if (!down[member] && members[member].nextTickMicros() <= nowMicros) {
                MembershipClusterBuilder.addMessages(
                        inFlight, member, members[member].tick(nowMicros));
            }
        }
    }

    private static String describeDisagreement(int member, int other, boolean otherIsDown) {
        return String.format(
                Locale.ROOT,
                "n%d considers n%d%s after %d ms without a fault",
                member,
                other,
                otherIsDown ? " present, though it is down" : " absent, though it is live",
                CONVERGENCE_MICROS / 1000);
    }
}
