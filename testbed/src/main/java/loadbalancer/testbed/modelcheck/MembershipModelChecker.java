package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import loadbalancer.membership.MemberStatus;
import loadbalancer.membership.Membership;
import loadbalancer.membership.MembershipMessage;
import loadbalancer.membership.MembershipTiming;

/**
 * Checks a few members of {@link Membership} under messages delivered in any order, lost and
 * duplicated, and members that pause, crash and start again. In each state no incarnation that a
 * member knows has decreased; from a part of the states, once faults end, all live members must
 * come to agree that each other is present and that the rest is not.
 */
public final class MembershipModelChecker
        implements StateSpaceSearch.Model<MembershipModelChecker.ClusterState> {
    // By how much time advances in one step
    private static final long STEP_MICROS = 20_000;
    private static final long WALL_CLOCK_EPOCH_MS = 1_000_000;
    // Beyond it the oldest messages are lost.
    private static final int MAX_IN_FLIGHT = 6;
    // How long after the last fault views must agree
    private static final long CONVERGENCE_MICROS = 6_000_000;

    private final int memberCount;
    private final MembershipTiming timing;
    private final InjectedBug injectedBug;

    /** A bug built into the model, to show that the check finds it. */
    public enum InjectedBug {
        NONE,
        LOSE_STATE,
        NEVER_REFUTE,
        NEVER_REVIVE
    }

    /**
     * A state of all members and messages; {@code from} and {@code step} say how it was reached.
     * Arrays are shared between states and never modified.
     */
    record ClusterState(
            Membership[] members,
            boolean[] down,
            boolean[] paused,
            List<InFlightMessage> inFlight,
            long now,
            int remainingFaults,
            ClusterState from,
            String step)
            implements StateSpaceSearch.State<ClusterState> {}

    record InFlightMessage(int from, int to, MembershipMessage payload) {}

    /** Creates a checker; short times in {@code timing} make more happen within few steps. */
    public MembershipModelChecker(
            int memberCount, MembershipTiming timing, InjectedBug injectedBug) {
        this.memberCount = memberCount;
        this.timing = timing;
        this.injectedBug = injectedBug;
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
        Membership[] members = new Membership[memberCount];
        for (int member = 0; member < memberCount; member++) {
            members[member] = new Membership(member, memberCount, timing, WALL_CLOCK_EPOCH_MS, 0);
        }
        return new StateSpaceSearch<>(this)
                .explore(
                        new ClusterState(
                                members,
                                new boolean[memberCount],
                                new boolean[memberCount],
                                List.of(),
                                0,
                                maxFaults,
                                null,
                                "all start"),
                        maxStates,
                        convergenceCheckInterval,
                        seed);
    }

    @Override
    public boolean isFaultTransition(ClusterState before, ClusterState state) {
        return state.remainingFaults < before.remainingFaults;
    }

    @Override
    public String findViolation(ClusterState before, ClusterState after) {
        return findIncarnationRegression(before, after);
    }

    @Override
    public long fingerprint(ClusterState state) {
        long hash = state.remainingFaults;
        for (int member = 0; member < memberCount; member++) {
            hash = hash * 1_000_003 + processHash(state, member);
        }
        return Fingerprints.of(
                hash,
                state.inFlight,
                message ->
                        Fingerprints.messageHash(
                                message.from, message.to, message.payload.hashCode()));
    }

    private static long processHash(ClusterState state, int member) {
        if (state.down[member]) {
            return 1;
        }
        return (state.paused[member] ? 2 : 0) + state.members[member].fingerprint(state.now);
    }

    // ------------------------------------------------------------ transitions

    @Override
    public List<ClusterState> successors(ClusterState state) {
        List<ClusterState> successors = new ArrayList<>();
        for (int i = 0; i < state.inFlight.size(); i++) {
            InFlightMessage message = state.inFlight.get(i);
            List<InFlightMessage> remaining = new ArrayList<>(state.inFlight);
            remaining.remove(i);
            if (!state.paused[message.to]) {
                successors.add(
                        deliver(state, message, remaining, state.remainingFaults, "arrives"));
            }
            if (state.remainingFaults > 0) {
                successors.add(
                        new ClusterState(
                                state.members,
                                state.down,
                                state.paused,
                                remaining,
                                state.now,
                                state.remainingFaults - 1,
                                state,
                                describe(message) + " is lost"));
                if (!state.paused[message.to]) {
                    successors.add(
                            deliver(
                                    state,
                                    message,
                                    state.inFlight,
                                    state.remainingFaults - 1,
                                    "arrives, and will once more"));
                }
            }
        }
        successors.add(advanceTime(state, STEP_MICROS, "time passes"));
        if (state.remainingFaults > 0) {
            for (int member = 0; member < memberCount; member++) {
                successors.add(state.down[member] ? start(state, member) : crash(state, member));
                if (!state.down[member]) {
                    successors.add(togglePause(state, member));
                }
            }
        }
        return successors;
    }

    private static String describe(InFlightMessage message) {
        return message.payload.kind() + " of n" + message.from + " to n" + message.to;
    }

    private ClusterState deliver(
            ClusterState state,
            InFlightMessage message,
            List<InFlightMessage> remaining,
            int remainingFaults,
            String outcome) {
        if (state.down[message.to]) {
            return new ClusterState(
                    state.members,
                    state.down,
                    state.paused,
                    remaining,
                    state.now,
                    remainingFaults,
                    state,
                    describe(message) + " finds nobody");
        }
        Membership[] members = state.members.clone();
        members[message.to] = new Membership(members[message.to]);
        List<InFlightMessage> inFlight = new ArrayList<>(remaining);
        addMessages(inFlight, message.to, receive(members[message.to], state.now, message));
        return new ClusterState(
                members,
                state.down,
                state.paused,
                inFlight,
                state.now,
                remainingFaults,
                state,
                describe(message) + " " + outcome);
    }

    // Injected bugs act on the messages that a member receives.
    private List<Membership.Action> receive(
            Membership member, long nowMicros, InFlightMessage message) {
        MembershipMessage payload = message.payload;
        if (injectedBug == InjectedBug.NEVER_REFUTE) {
            payload =
                    new MembershipMessage(
                            payload.kind(),
                            payload.subject(),
                            payload.sequenceNumber(),
                            payload.incarnation(),
                            payload.updates().stream()
                                    .filter(update -> update.member() != message.to)
                                    .toList());
        } else if (injectedBug == InjectedBug.NEVER_REVIVE) {
            var view = member.view();
            if (view.members().get(message.from).status() == MemberStatus.DEAD) {
                return List.of();
            }
            payload =
                    new MembershipMessage(
                            payload.kind(),
                            payload.subject(),
                            payload.sequenceNumber(),
                            payload.incarnation(),
                            payload.updates().stream()
                                    .filter(
                                            update ->
                                                    update.member() >= memberCount
                                                            || view.members()
                                                                            .get(update.member())
                                                                            .status()
                                                                    != MemberStatus.DEAD)
                                    .toList());
        }
        return member.onPeerMessage(nowMicros, message.from, payload);
    }

    private static void addMessages(
            List<InFlightMessage> inFlight, int from, List<Membership.Action> acts) {
        for (Membership.Action action : acts) {
            if (action instanceof Membership.Send send) {
                inFlight.add(new InFlightMessage(from, send.to(), send.message()));
            }
        }
        while (inFlight.size() > MAX_IN_FLIGHT) {
            inFlight.remove(0);
        }
    }

    private ClusterState advanceTime(ClusterState state, long stepMicros, String description) {
        long nowMicros = state.now + stepMicros;
        Membership[] members = state.members.clone();
        List<InFlightMessage> inFlight = new ArrayList<>(state.inFlight);
        for (int member = 0; member < memberCount; member++) {
            if (!state.down[member]
                    && !state.paused[member]
                    && members[member].nextTickMicros() <= nowMicros) {
                members[member] = new Membership(members[member]);
                addMessages(inFlight, member, members[member].tick(nowMicros));
            }
        }
        return new ClusterState(
                members,
                state.down,
                state.paused,
                inFlight,
                nowMicros,
                state.remainingFaults,
                state,
                description);
    }

    private ClusterState crash(ClusterState state, int member) {
        boolean[] down = state.down.clone();
        down[member] = true;
        return new ClusterState(
                state.members,
                down,
                state.paused,
                state.inFlight,
                state.now,
                state.remainingFaults - 1,
                state,
                "n" + member + " crashes");
    }

    private ClusterState start(ClusterState state, int member) {
        boolean[] down = state.down.clone();
        boolean[] paused = state.paused.clone();
        down[member] = false;
        paused[member] = false;
        Membership[] members = state.members.clone();
        // Each second start finds the clock set back: peers know a higher incarnation than this
        // one.
        boolean clockSetBack = state.remainingFaults % 2 == 0;
        members[member] =
                new Membership(
                        member,
                        memberCount,
                        timing,
                        clockSetBack ? 1 : WALL_CLOCK_EPOCH_MS + state.now / 1000,
                        state.now);
        return new ClusterState(
                members,
                down,
                paused,
                state.inFlight,
                state.now,
                state.remainingFaults - 1,
                state,
                "n" + member + (clockSetBack ? " starts with its clock set back" : " starts"));
    }

    private ClusterState togglePause(ClusterState state, int member) {
        boolean[] paused = state.paused.clone();
        paused[member] = !paused[member];
        Membership[] members = state.members.clone();
        if (injectedBug == InjectedBug.LOSE_STATE && !paused[member]) {
            members[member] =
                    new Membership(member, memberCount, timing, WALL_CLOCK_EPOCH_MS, state.now);
        }
        return new ClusterState(
                members,
                state.down,
                paused,
                state.inFlight,
                state.now,
                state.remainingFaults - 1,
                state,
                "n" + member + (paused[member] ? " stands still" : " goes on"));
    }

    // ------------------------------------------------------------ checks

    private String findIncarnationRegression(ClusterState before, ClusterState after) {
        for (int member = 0; member < memberCount; member++) {
            if (before.down[member] || after.down[member]) {
                continue;
            }
            for (int other = 0; other < memberCount; other++) {
                long previousIncarnation =
                        before.members[member].view().members().get(other).incarnation();
                long currentIncarnation =
                        after.members[member].view().members().get(other).incarnation();
                if (currentIncarnation < previousIncarnation) {
                    return "n"
                            + member
                            + " holds incarnation "
                            + currentIncarnation
                            + " of n"
                            + other
                            + ", and held "
                            + previousIncarnation;
                }
            }
        }
        return "";
    }

    // Members that are down stay down, pauses end, and messages take one step.
    @Override
    public String findConvergenceViolation(ClusterState state) {
        Membership[] members =
                Arrays.stream(state.members).map(Membership::new).toArray(Membership[]::new);
        List<InFlightMessage> inFlight = new ArrayList<>(state.inFlight);
        long nowMicros = state.now;
        for (long endMicros = nowMicros + CONVERGENCE_MICROS;
                nowMicros < endMicros;
                nowMicros += STEP_MICROS) {
            List<InFlightMessage> arrivingMessages = new ArrayList<>(inFlight);
            inFlight.clear();
            arrivingMessages.sort(Comparator.comparingInt(InFlightMessage::from));
            for (InFlightMessage message : arrivingMessages) {
                if (!state.down[message.to]) {
                    addMessages(
                            inFlight, message.to, receive(members[message.to], nowMicros, message));
                }
            }
            for (int member = 0; member < memberCount; member++) {
                if (!state.down[member] && members[member].nextTickMicros() <= nowMicros) {
                    addMessages(inFlight, member, members[member].tick(nowMicros));
                }
            }
        }
        for (int member = 0; member < memberCount; member++) {
            for (int other = 0; !state.down[member] && other < memberCount; other++) {
                if (members[member].view().isPresent(other) == state.down[other]) {
                    return "n"
                            + member
                            + " holds n"
                            + other
                            + (state.down[other]
                                    ? ", which is down, present"
                                    : " away, though it lives")
                            + " after "
                            + CONVERGENCE_MICROS / 1000
                            + " ms without a fault";
                }
            }
        }
        return "";
    }
}
