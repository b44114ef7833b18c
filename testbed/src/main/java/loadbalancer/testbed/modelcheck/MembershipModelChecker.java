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
 * Checks a few members of {@link Membership} under messages delivered in any order, lost and
 * duplicated, and members that pause, crash and start again. In each state no incarnation that a
 * member knows has decreased; from a part of the states, once faults end, all live members must
 * come to agree that each other is present and that the rest is not.
 */
public final class MembershipModelChecker
        implements StateSpaceSearch.Model<MembershipClusterState> {
    private static final long STEP_MICROS = MembershipTransitions.STEP_MICROS;
    // How long after the last fault views must agree
    private static final long CONVERGENCE_MICROS = 6_000_000;

    private final int memberCount;
    private final MembershipTransitions transitions;

    /** A bug built into the model, to show that the check finds it. */
    public enum InjectedBug {
        NONE,
        /** A member forgets all that it knows after a pause. */
        LOSE_STATE,
        /** A member ignores that others suspect it. */
        NEVER_REFUTE,
        /** A member ignores those that it has declared dead. */
        NEVER_REVIVE
    }

    /** Creates a checker; short times in {@code timing} make more happen within few steps. */
    public MembershipModelChecker(
            int memberCount, MembershipTiming timing, InjectedBug injectedBug) {
        this.memberCount = memberCount;
        transitions = new MembershipTransitions(memberCount, timing, injectedBug);
    }

    /**
     * Explores until that many distinct states were visited.
     *
     * @param maxFaults upper bound of crashes, pauses, losses and duplicates on one path
     * @param convergenceCheckInterval from one state in that many it is checked whether views come
     *     to agree
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
        return Fingerprints.of(
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

    // ------------------------------------------------------------ checks

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
                        "n%d holds incarnation %d of n%d, and held %d",
                        member,
                        currentIncarnation,
                        other,
                        previousIncarnation);
            }
        }
        return "";
    }

    // Members that are down stay down, pauses end, and messages take one step.
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
                "n%d holds n%d%s after %d ms without a fault",
                member,
                other,
                otherIsDown ? ", which is down, present" : " away, though it lives",
                CONVERGENCE_MICROS / 1000);
    }
}
