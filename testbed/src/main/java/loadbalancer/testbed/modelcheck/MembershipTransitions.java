package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import loadbalancer.membership.MemberStatus;
import loadbalancer.membership.MemberUpdate;
import loadbalancer.membership.Membership;
import loadbalancer.membership.MembershipMessage;
import loadbalancer.membership.MembershipTiming;
import loadbalancer.membership.MembershipView;
import loadbalancer.testbed.modelcheck.MembershipClusterState.InFlightMessage;
import loadbalancer.testbed.modelcheck.MembershipModelChecker.InjectedBug;

/**
 * The events of the membership model: messages arrive or are lost, time passes, and members crash,
 * restart and pause. The order of successors is fixed because it determines which states a seed
 * visits. Immutable.
 */
final class MembershipTransitions implements ClusterTransitions<MembershipClusterState> {
    /** Duration of one time step in µs. */
    static final long STEP_MICROS = 20_000;

    private static final long WALL_CLOCK_EPOCH_MS = 1_000_000;
    // The incarnation after a start with the clock set back; peers know a higher one.
    private static final long EARLY_INCARNATION = 1;

    private final int memberCount;
    private final MembershipTiming timing;
    private final InjectedBug injectedBug;

    MembershipTransitions(int memberCount, MembershipTiming timing, InjectedBug injectedBug) {
        this.memberCount = memberCount;
        this.timing = timing;
        this.injectedBug = injectedBug;
    }

    @Override
    public MembershipClusterState initialState(int maxFaults) {
        Membership[] members = new Membership[memberCount];
        for (int member = 0; member < memberCount; member++) {
            members[member] = newMember(member, WALL_CLOCK_EPOCH_MS, 0);
        }
        return new MembershipClusterState(
                members,
                new boolean[memberCount],
                new boolean[memberCount],
                List.of(),
                0,
                maxFaults,
                null,
                "all processes start");
    }

    private Membership newMember(int member, long incarnation, long nowMicros) {
        return new Membership(member, memberCount, timing, incarnation, nowMicros);
    }

    @Override
    public List<MembershipClusterState> successors(MembershipClusterState state) {
        List<MembershipClusterState> successors = new ArrayList<>();
        addMessageEvents(state, state.inFlight().size(), successors);
        successors.add(advanceTime(state));
        if (state.remainingFaults() > 0) {
            for (int member = 0; member < memberCount; member++) {
                addProcessFaults(state, member, successors);
            }
        }
        return successors;
    }

    private static MembershipClusterBuilder builderWithFault(MembershipClusterState state) {
        MembershipClusterBuilder builder = new MembershipClusterBuilder(state);
        builder.consumeFault();
        return builder;
    }

    @Override
    public boolean canArrive(MembershipClusterState state, int index) {
        return !state.paused()[state.inFlight().get(index).to()];
    }

    @Override
    public MembershipClusterState deliver(
            MembershipClusterState state, int index, boolean duplicated) {
        InFlightMessage message = state.inFlight().get(index);
        MembershipClusterBuilder builder = new MembershipClusterBuilder(state);
        if (duplicated) {
            builder.consumeFault();
        } else {
            builder.removeMessage(index);
        }
        if (state.down()[message.to()]) {
            return builder.build(message + " is not received: recipient down");
        }
        Membership recipient = builder.copyMember(message.to());
        builder.perform(message.to(), receive(recipient, state.nowMicros(), message));
        return builder.build(message + ClusterTransitions.describeArrival(duplicated));
    }

    @Override
    public MembershipClusterState lose(MembershipClusterState state, int index) {
        MembershipClusterBuilder builder = builderWithFault(state);
        builder.removeMessage(index);
        return builder.build(state.inFlight().get(index) + " is lost");
    }

    /** Delivers a message to a member; injected bugs remove updates from it or drop it. */
    List<Membership.Action> receive(Membership recipient, long nowMicros, InFlightMessage message) {
        MembershipMessage payload = message.payload();
        if (injectedBug == InjectedBug.NEVER_REFUTE) {
            payload = withoutUpdatesOf(message.to(), payload);
        } else if (injectedBug == InjectedBug.NEVER_REVIVE) {
            MembershipView view = recipient.view();
            if (isDead(view, message.from())) {
                return List.of();
            }
            payload = withoutUpdatesOfDead(view, payload);
        }
        return recipient.onPeerMessage(nowMicros, message.from(), payload);
    }

    private static boolean isDead(MembershipView view, int member) {
        return view.members().get(member).status() == MemberStatus.DEAD;
    }

    private static MembershipMessage withoutUpdatesOf(int member, MembershipMessage payload) {
        return filterUpdates(payload, update -> update.member() != member);
    }

    private MembershipMessage withoutUpdatesOfDead(MembershipView view, MembershipMessage payload) {
        return filterUpdates(
                payload,
                update -> update.member() >= memberCount || !isDead(view, update.member()));
    }

    private static MembershipMessage filterUpdates(
            MembershipMessage payload, Predicate<MemberUpdate> kept) {
        return new MembershipMessage(
                payload.kind(),
                payload.subject(),
                payload.sequenceNumber(),
                payload.incarnation(),
                payload.updates().stream().filter(kept).toList());
    }

    private MembershipClusterState advanceTime(MembershipClusterState state) {
        MembershipClusterBuilder builder = new MembershipClusterBuilder(state);
        builder.advanceTime(STEP_MICROS);
        for (int member = 0; member < memberCount; member++) {
            boolean due = builder.member(member).nextTickMicros() <= builder.nowMicros();
            if (!state.down()[member] && !state.paused()[member] && due) {
                builder.perform(member, builder.copyMember(member).tick(builder.nowMicros()));
            }
        }
        return builder.build("time passes");
    }

    private void addProcessFaults(
            MembershipClusterState state, int member, List<MembershipClusterState> successors) {
        if (state.down()[member]) {
            successors.add(start(state, member));
        } else {
            successors.add(crash(state, member));
            successors.add(togglePause(state, member));
        }
    }

    private static MembershipClusterState crash(MembershipClusterState state, int member) {
        MembershipClusterBuilder builder = builderWithFault(state);
        builder.setDown(member, true);
        return builder.build("n" + member + " crashes");
    }

    private MembershipClusterState start(MembershipClusterState state, int member) {
        // The clock is set back if the number of remaining faults is even.
        boolean clockSetBack = state.remainingFaults() % 2 == 0;
        long incarnation =
                clockSetBack ? EARLY_INCARNATION : WALL_CLOCK_EPOCH_MS + state.nowMicros() / 1000;
        MembershipClusterBuilder builder = builderWithFault(state);
        builder.setDown(member, false);
        builder.setPaused(member, false);
        builder.replaceMember(member, newMember(member, incarnation, state.nowMicros()));
        return builder.build(
                "n" + member + (clockSetBack ? " starts with its clock set back" : " starts"));
    }

    private MembershipClusterState togglePause(MembershipClusterState state, int member) {
        boolean paused = !state.paused()[member];
        MembershipClusterBuilder builder = builderWithFault(state);
        builder.setPaused(member, paused);
        if (injectedBug == InjectedBug.LOSE_STATE && !paused) {
            builder.replaceMember(
                    member, newMember(member, WALL_CLOCK_EPOCH_MS, state.nowMicros()));
        }
        return builder.build("n" + member + (paused ? " is paused" : " is resumed"));
    }
}
