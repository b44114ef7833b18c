package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import loadbalancer.lease.LeaseManager;
import loadbalancer.lease.LeaseMessage;
import loadbalancer.lease.VoterPromise;
import loadbalancer.testbed.modelcheck.LeaseModelChecker.InjectedBug;

/**
 * Builds a successor of a state, which remains unchanged. Performs the actions of the lease
 * managers and records the latest violation of an invariant by them. The builder may be changed and
 * built again after {@link #build}. Used by one thread.
 */
final class LeaseClusterBuilder extends ClusterBuilder<LeaseClusterState> {
    // The oldest protocol messages are lost beyond this limit.
    private static final int MAX_IN_FLIGHT = 9;

    private final LeaseMembers members;
    private final LeaseManager[] managers;
    private final List<LeaseInFlight> inFlight;
    private final List<List<VoterPromise>> persisted;
    private final List<List<VoterPromise>> previouslyPersisted;
    private final LeaseManager.Persist[] pendingWrites;
    private final long[] highestObservedEpochs;
    private final boolean[] believesHolder;
    // Shared with the base until changed.
    private boolean[] down;
    private boolean[] paused;
    private boolean[] standby;
    private boolean[][] views;
    private long highestEpoch;
    private int highestEpochHolder;
    private String violation = "";

    LeaseClusterBuilder(LeaseMembers members, LeaseClusterState base) {
        super(base);
        this.members = members;
        managers = base.managers().clone();
        inFlight = new ArrayList<>(base.inFlight());
        persisted = new ArrayList<>(base.persisted());
        previouslyPersisted = new ArrayList<>(base.previouslyPersisted());
        pendingWrites = base.pendingWrites().clone();
        highestObservedEpochs = base.highestObservedEpochs().clone();
        believesHolder = base.believesHolder().clone();
        down = base.down();
        paused = base.paused();
        standby = base.standby();
        views = base.views();
        highestEpoch = base.highestEpoch();
        highestEpochHolder = base.highestEpochHolder();
    }

    /** Crashes a member's process, which loses the write in progress. */
    void crash(int member) {
        down = copyWith(down, member, true);
        pendingWrites[member] = null;
        believesHolder[member] = false;
    }

    /**
     * Restarts a member's process; {@code promises} are those on its disk, null for an empty one.
     */
    void restart(int member, List<VoterPromise> promises) {
        down = copyWith(down, member, false);
        paused = copyWith(paused, member, false);
        standby = copyWith(standby, member, false);
        views = views.clone();
        views[member] = members.completeView();
        managers[member] = members.start(member, promises, nowMicros());
        persisted.set(member, promises);
        previouslyPersisted.set(member, promises);
        highestObservedEpochs[member] = 0;
    }

    /** Pauses or resumes a member's process. */
    void togglePaused(int member) {
        paused = copyWith(paused, member, !paused[member]);
    }

    /** Puts a member on standby, in which it acquires no lease, or ends its standby. */
    void toggleStandby(int member) {
        standby = copyWith(standby, member, !standby[member]);
        long clockMicros = clockMicros(member);
        perform(member, copyManager(member).setDraining(clockMicros, standby[member]));
    }

    /** Changes whether a member considers another one present. */
    void toggleView(int member, int other) {
        views = views.clone();
        views[member] = copyWith(views[member], other, !views[member][other]);
        boolean[] view = views[member];
        long clockMicros = clockMicros(member);
        perform(
                member,
                copyManager(member).onMembershipChanged(clockMicros, present -> view[present]));
    }

    /**
     * Ends all faults: restarts members that are down, and ends all pauses, standbys and wrong
     * views.
     */
    void endAllFaults() {
        boolean[] wasDown = down;
        views = new boolean[members.count()][];
        paused = new boolean[members.count()];
        down = new boolean[members.count()];
        for (int member = 0; member < members.count(); member++) {
            views[member] = members.completeView();
        }
        for (int member = 0; member < members.count(); member++) {
            managers[member] =
                    wasDown[member]
                            ? members.start(member, persisted.get(member), nowMicros())
                            : new LeaseManager(managers[member]);
            long clockMicros = clockMicros(member);
            perform(member, managers[member].onMembershipChanged(clockMicros, present -> true));
            perform(member, managers[member].setDraining(clockMicros, false));
        }
    }

    private long clockMicros(int member) {
        return members.clockMicros(member, nowMicros());
    }

    // Copies the manager unless this builder has done so already.
    private LeaseManager copyManager(int member) {
        if (managers[member] == base().managers()[member]) {
            managers[member] = new LeaseManager(managers[member]);
        }
        return managers[member];
    }

    /** Runs a member's timer if it is due. */
    void tickIfDue(int member) {
        if (managers[member].nextTickMicros() <= clockMicros(member)) {
            perform(member, copyManager(member).tick(clockMicros(member)));
        }
    }

    /** Removes a message from those in flight. */
    void remove(LeaseInFlight message) {
        inFlight.remove(message);
    }

    /** Removes all messages in flight and returns them, oldest first. */
    List<LeaseInFlight> removeAll() {
        List<LeaseInFlight> removed = new ArrayList<>(inFlight);
        inFlight.clear();
        return removed;
    }

    /** Delivers a message of the lease protocol to its recipient. */
    void deliver(LeaseInFlight.ProtocolMessage message) {
        int to = message.to();
        perform(
                to,
                copyManager(to).onPeerMessage(clockMicros(to), message.from(), message.payload()));
    }

    /**
     * Delivers a holder's action, which the recipient accepts unless its fencing guard has seen a
     * newer epoch.
     */
    void deliver(LeaseInFlight.FencedAction action) {
        int to = action.to();
        boolean accepted = copyManager(to).fencingGuard().accept(LeaseMembers.SLOT, action.epoch());
        if (!accepted && !members.hasBug(InjectedBug.SKIP_EPOCH_CHECK)) {
            return;
        }
        if (action.epoch() < highestObservedEpochs[to]) {
            violation =
                    String.format(
                            Locale.ROOT,
                            "n%d accepts an action under epoch %d after one under epoch %d",
                            to,
                            action.epoch(),
                            highestObservedEpochs[to]);
        }
        highestObservedEpochs[to] = action.epoch();
    }

    /** Sends an action of a member under an epoch to all other members. */
    void sendActions(int member, long epoch) {
        for (int recipient = 0; recipient < members.count(); recipient++) {
            if (recipient != member) {
                add(new LeaseInFlight.FencedAction(member, recipient, epoch));
            }
        }
    }

    /** Completes the write in progress and notifies the lease manager. */
    void completeWrite(int member, boolean succeeded) {
        LeaseManager.Persist write = pendingWrites[member];
        pendingWrites[member] = null;
        if (succeeded) {
            previouslyPersisted.set(member, persisted.get(member));
            persisted.set(member, write.promises());
        }
        boolean notifiedBefore = members.hasBug(InjectedBug.RESPOND_BEFORE_SYNC);
        if (!paused[member] || !notifiedBefore) {
            perform(
                    member,
                    copyManager(member)
                            .onPersisted(clockMicros(member), write.writeId(), succeeded));
        }
    }

    /**
     * Completes the write in progress, if any, with success. The previous disk content is not kept.
     */
    void completeWriteIfPending(int member) {
        LeaseManager.Persist write = pendingWrites[member];
        pendingWrites[member] = null;
        if (write != null) {
            persisted.set(member, write.promises());
            perform(
                    member,
                    managers[member].onPersisted(clockMicros(member), write.writeId(), true));
        }
    }

    private void perform(int member, List<LeaseManager.Action> actions) {
        for (LeaseManager.Action action : actions) {
            if (action instanceof LeaseManager.Send send) {
                send(member, send);
            } else if (action instanceof LeaseManager.Persist write) {
                pendingWrites[member] = write;
                if (members.hasBug(InjectedBug.RESPOND_BEFORE_SYNC)) {
                    long clockMicros = clockMicros(member);
                    perform(
                            member,
                            managers[member].onPersisted(clockMicros, write.writeId(), true));
                }
            } else if (action instanceof LeaseManager.Acquired acquired) {
                recordAcquisition(member, acquired.epoch());
            } else {
                believesHolder[member] = false;
            }
        }
    }

    private void recordAcquisition(int member, long epoch) {
        if (epoch < highestEpoch || (epoch == highestEpoch && highestEpochHolder != member)) {
            violation =
                    String.format(
                            Locale.ROOT,
                            "n%d acquired the lease under epoch %d after n%d acquired it under epoch %d",
                            member,
                            epoch,
                            highestEpochHolder,
                            highestEpoch);
        }
        highestEpoch = epoch;
        highestEpochHolder = member;
        believesHolder[member] = true;
    }

    private void send(int member, LeaseManager.Send send) {
        LeaseMessage message = send.message();
        if (members.hasBug(InjectedBug.MAJORITY_OF_PRESENT)
                && message.kind() == LeaseMessage.Kind.REQUEST
                && !views[member][send.to()]) {
            simulateGrant(send.to(), member, message);
            return;
        }
        if (message.kind() == LeaseMessage.Kind.GRANTED) {
            checkGrantPersisted(member, message);
        }
        add(new LeaseInFlight.ProtocolMessage(member, send.to(), message));
    }

    // Implements MAJORITY_OF_PRESENT: an absent member counts as if it had granted the request.
    private void simulateGrant(int absentMember, int member, LeaseMessage request) {
        LeaseMessage grant =
                new LeaseMessage(
                        LeaseMessage.Kind.GRANTED,
                        request.processId(),
                        request.sequenceNumber(),
                        request.entries());
        long clockMicros = clockMicros(member);
        perform(member, managers[member].onPeerMessage(clockMicros, absentMember, grant));
    }

    private void checkGrantPersisted(int member, LeaseMessage grant) {
        List<VoterPromise> promises = persisted.get(member);
        long persistedEpoch = promises == null ? -1 : promises.get(LeaseMembers.SLOT).epoch();
        for (LeaseMessage.Entry entry : grant.entries()) {
            if (entry.epoch() > persistedEpoch) {
                violation =
                        String.format(
                                Locale.ROOT,
                                "n%d sends a grant of epoch %d, which is not on its disk",
                                member,
                                entry.epoch());
            }
        }
    }

    private void add(LeaseInFlight message) {
        inFlight.add(message);
        int index = 0;
        while (inFlight.size() > MAX_IN_FLIGHT && index < inFlight.size()) {
            // Late actions remain in flight because they test the fencing guard.
            if (inFlight.get(index) instanceof LeaseInFlight.FencedAction) {
                index++;
            } else {
                inFlight.remove(index);
            }
        }
    }

    /** Returns the highest epoch under which the lease was acquired. */
    long highestEpoch() {
        return highestEpoch;
    }

    /** Returns the new state, whose predecessor is the base; {@code step} describes the event. */
    LeaseClusterState build(String step) {
        return new LeaseClusterState(
                managers,
                down,
                paused,
                views,
                persisted,
                previouslyPersisted,
                pendingWrites,
                highestObservedEpochs,
                believesHolder,
                standby,
                highestEpoch,
                highestEpochHolder,
                violation,
                inFlight,
                nowMicros(),
                remainingFaults(),
                base(),
                step);
    }
}
