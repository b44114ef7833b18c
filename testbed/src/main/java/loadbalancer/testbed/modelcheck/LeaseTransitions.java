package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.lease.LeaseManager;
import loadbalancer.lease.VoterPromise;

/**
 * The events of the lease model: messages and actions arrive or are lost, time passes, writes
 * complete, holders act, and processes crash, restart, pause, enter or leave standby and change
 * their membership views. The order of successors is fixed because it determines which states a
 * seed visits. Immutable.
 */
final class LeaseTransitions implements ClusterTransitions<LeaseClusterState> {
    /** Duration of one time step in µs. */
    static final long STEP_MICROS = 10_000;

    private final LeaseMembers members;

    LeaseTransitions(LeaseMembers members) {
        this.members = members;
    }

    @Override
    public LeaseClusterState initialState(int maxFaults) {
        int count = members.count();
        LeaseManager[] managers = new LeaseManager[count];
        boolean[][] views = new boolean[count][];
        List<List<VoterPromise>> emptyDisks = new ArrayList<>();
        for (int member = 0; member < count; member++) {
            managers[member] = members.start(member, null, 0);
            views[member] = members.completeView();
            emptyDisks.add(null);
        }
        return new LeaseClusterState(
                managers,
                new boolean[count],
                new boolean[count],
                views,
                emptyDisks,
                emptyDisks,
                new LeaseManager.Persist[count],
                new long[count],
                new boolean[count],
                new boolean[count],
                0,
                LeaseClusterState.NO_HOLDER,
                "",
                List.of(),
                0,
                maxFaults,
                null,
                "all processes start");
    }

    @Override
    public List<LeaseClusterState> successors(LeaseClusterState state) {
        List<LeaseClusterState> successors = new ArrayList<>();
        addMessageEvents(state, state.inFlight().size(), successors);
        successors.add(advanceTime(state));
        for (int member = 0; member < members.count(); member++) {
            if (state.down()[member]) {
                addRestarts(state, member, successors);
            } else {
                addProcessEvents(state, member, successors);
            }
        }
        return successors;
    }

    private LeaseClusterBuilder newBuilder(LeaseClusterState state) {
        return new LeaseClusterBuilder(members, state);
    }

    private LeaseClusterBuilder builderWithFault(LeaseClusterState state) {
        LeaseClusterBuilder builder = newBuilder(state);
        builder.consumeFault();
        return builder;
    }

    @Override
    public boolean canArrive(LeaseClusterState state, int index) {
        return !state.paused()[state.inFlight().get(index).to()];
    }

    @Override
    public LeaseClusterState deliver(LeaseClusterState state, int index, boolean duplicated) {
        LeaseInFlight message = state.inFlight().get(index);
        LeaseClusterBuilder builder = newBuilder(state);
        if (duplicated) {
            builder.consumeFault();
        } else {
            builder.remove(message);
        }
        if (state.down()[message.to()]) {
            return builder.build(message + " is not received: recipient down");
        }
        if (message instanceof LeaseInFlight.ProtocolMessage protocolMessage) {
            builder.deliver(protocolMessage);
        } else if (message instanceof LeaseInFlight.FencedAction action) {
            builder.deliver(action);
        }
        return builder.build(message + ClusterTransitions.describeArrival(duplicated));
    }

    @Override
    public LeaseClusterState lose(LeaseClusterState state, int index) {
        LeaseInFlight message = state.inFlight().get(index);
        LeaseClusterBuilder builder = builderWithFault(state);
        builder.remove(message);
        return builder.build(message + " is lost");
    }

    private LeaseClusterState advanceTime(LeaseClusterState state) {
        LeaseClusterBuilder builder = newBuilder(state);
        builder.advanceTime(STEP_MICROS);
        for (int member = 0; member < members.count(); member++) {
            if (!state.down()[member] && !state.paused()[member]) {
                builder.tickIfDue(member);
            }
        }
        return builder.build("time passes");
    }

    private void addRestarts(
            LeaseClusterState state, int member, List<LeaseClusterState> successors) {
        if (state.remainingFaults() == 0) {
            return;
        }
        List<VoterPromise> promises = state.persisted().get(member);
        List<VoterPromise> olderPromises = state.previouslyPersisted().get(member);
        successors.add(restart(state, member, promises, "starts again"));
        successors.add(restart(state, member, null, "starts with an empty disk"));
        successors.add(restart(state, member, olderPromises, "starts with older disk content"));
    }

    private LeaseClusterState restart(
            LeaseClusterState state, int member, List<VoterPromise> promises, String description) {
        LeaseClusterBuilder builder = builderWithFault(state);
        builder.restart(member, promises);
        return builder.build("n" + member + " " + description);
    }

    private void addProcessEvents(
            LeaseClusterState state, int member, List<LeaseClusterState> successors) {
        boolean faultsRemain = state.remainingFaults() > 0;
        if (state.pendingWrites()[member] != null) {
            successors.add(completeWrite(state, member, true));
            if (faultsRemain) {
                successors.add(completeWrite(state, member, false));
            }
        }
        if (!state.paused()[member] && members.actingEpoch(state, member) > 0) {
            addActionEvent(state, member, successors);
        }
        if (faultsRemain) {
            addProcessFaults(state, member, successors);
        }
    }

    private LeaseClusterState completeWrite(
            LeaseClusterState state, int member, boolean succeeded) {
        LeaseClusterBuilder builder = succeeded ? newBuilder(state) : builderWithFault(state);
        builder.completeWrite(member, succeeded);
        String outcome =
                succeeded ? " has persisted its promises" : " failed to persist its promises";
        return builder.build("n" + member + outcome);
    }

    // Limits the actions in flight; more would displace the messages by which leases are granted.
    private void addActionEvent(
            LeaseClusterState state, int member, List<LeaseClusterState> successors) {
        long actionsInFlight =
                state.inFlight().stream()
                        .filter(LeaseInFlight.FencedAction.class::isInstance)
                        .count();
        if (actionsInFlight < members.count()) {
            LeaseClusterBuilder builder = newBuilder(state);
            builder.sendActions(member, members.actingEpoch(state, member));
            successors.add(builder.build("n" + member + " acts as holder"));
        }
    }

    private void addProcessFaults(
            LeaseClusterState state, int member, List<LeaseClusterState> successors) {
        boolean paused = state.paused()[member];
        LeaseClusterBuilder crash = builderWithFault(state);
        crash.crash(member);
        successors.add(crash.build("n" + member + " crashes"));
        LeaseClusterBuilder pause = builderWithFault(state);
        pause.togglePaused(member);
        successors.add(pause.build("n" + member + (paused ? " is resumed" : " is paused")));
        if (paused) {
            return;
        }
        LeaseClusterBuilder standby = builderWithFault(state);
        standby.toggleStandby(member);
        successors.add(
                standby.build(
                        "n"
                                + member
                                + (state.standby()[member]
                                        ? " leaves standby"
                                        : " enters standby")));
        for (int other = 0; other < members.count(); other++) {
            if (other != member) {
                LeaseClusterBuilder view = builderWithFault(state);
                view.toggleView(member, other);
                String presence = state.views()[member][other] ? " absent" : " present";
                successors.add(view.build("n" + member + " considers n" + other + presence));
            }
        }
    }
}
