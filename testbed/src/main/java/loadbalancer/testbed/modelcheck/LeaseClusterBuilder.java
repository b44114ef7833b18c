package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import loadbalancer.lease.LeaseManager;
import loadbalancer.lease.LeaseMessage;
import loadbalancer.lease.VoterPromise;
import loadbalancer.testbed.modelcheck.LeaseModelChecker.InjectedBug;

/**
 * A state in the making. Begins as a copy of a state, which it leaves unchanged, and records the
 * first invariant that the lease managers' actions break. After {@link #build} it may be changed
 * and built again.
 */
final class LeaseClusterBuilder extends ClusterBuilder<LeaseClusterState> {
    // Beyond it the oldest protocol messages are lost.
    private static final int MAX_IN_FLIGHT = 9;

    private final LeaseMembers members;
    private final LeaseManager[] managers;
    private final List<LeaseInFlight> inFlight;
    private final List<List<VoterPromise>> persisted;
    private final List<List<VoterPromise>> previouslyPersisted;
    private final LeaseManager.Persist[] pendingWrites;
    private final long[] highestObservedEpochs;
    private final boolean[] believesHolder;
    // Shared with the base until changed
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

    // ------------------------------------------------------------ faults

    /** The process of a member ends; the write in progress is lost. */
    void crash(int member) {
        down = with(down, member, true);
        pendingWrites[member] = null;
        believesHolder[member] = false;
    }

    /** The process of a member starts with that content of its disk; null: empty. */
    void restart(int member, List<VoterPromise> promises) {
        down = with(down, member, false);
        paused = with(paused, member, false);
        standby = with(standby, member, false);
        views = views.clone();
        views[member] = members.completeView();
        managers[member] = members.start(member, promises, nowMicros());
        persisted.set(member, promises);
        previouslyPersisted.set(member, promises);
        highestObservedEpochs[member] = 0;
    }

    void togglePaused(int member) {
        paused = with(paused, member, !paused[member]);
    }

    /** A member is asked to take no lease, or to take leases again. */
    void toggleStandby(int member) {
        standby = with(standby, member, !standby[member]);
        long clockMicros = clockMicros(member);
        perform(member, copyManager(member).setDraining(clockMicros, standby[member]));
    }

    /** A member changes its mind about whether another is present. */
    void toggleView(int member, int other) {
        views = views.clone();
        views[member] = with(views[member], other, !views[member][other]);
        boolean[] view = views[member];
        long clockMicros = clockMicros(member);
        perform(
                member,
                copyManager(member).onMembershipChanged(clockMicros, present -> view[present]));
    }

    /**
     * Ends all faults: whoever is down starts, nobody is paused, on standby or taken to be absent.
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

    // ------------------------------------------------------------ members

    private long clockMicros(int member) {
        return members.clockMicros(member, nowMicros());
    }

    // The manager is copied unless it belongs to this builder already.
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

    /** Takes a message out of flight. */
    void remove(LeaseInFlight message) {
        inFlight.remove(message);
    }

    /** Takes all messages out of flight and returns them, oldest first. */
    List<LeaseInFlight> removeAll() {
        List<LeaseInFlight> removed = new ArrayList<>(inFlight);
        inFlight.clear();
        return removed;
    }

    /** The recipient handles a message of the protocol. */
    void deliver(LeaseInFlight.ProtocolMessage message) {
        int to = message.to();
        perform(
                to,
                copyManager(to).onPeerMessage(clockMicros(to), message.from(), message.payload()));
    }

    /** The recipient accepts a holder's action unless its fencing guard has seen a newer epoch. */
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
                            "n%d takes a word under epoch %d after one under %d",
                            to,
                            action.epoch(),
                            highestObservedEpochs[to]);
        }
        highestObservedEpochs[to] = action.epoch();
    }

    /** A member acts under an epoch towards all others. */
    void act(int member, long epoch) {
        for (int recipient = 0; recipient < members.count(); recipient++) {
            if (recipient != member) {
                add(new LeaseInFlight.FencedAction(member, recipient, epoch));
            }
        }
    }

    /** The write in progress ends, and its process is notified. */
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

    /** The write in progress, if any, succeeds; the copy before it is not kept. */
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

    // ------------------------------------------------------------ actions of the lease managers

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
                            "n%d holds it under epoch %d, and n%d held it under %d",
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
            grantInPlaceOf(send.to(), member, message);
            return;
        }
        if (message.kind() == LeaseMessage.Kind.GRANTED) {
            checkGrantPersisted(member, message);
        }
        add(new LeaseInFlight.ProtocolMessage(member, send.to(), message));
    }

    // MAJORITY_OF_PRESENT: an absent member counts as if it had granted the request.
    private void grantInPlaceOf(int absentMember, int member, LeaseMessage request) {
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
                                "n%d tells that it granted epoch %d, and a crash now would undo it",
                                member,
                                entry.epoch());
            }
        }
    }

    private void add(LeaseInFlight message) {
        inFlight.add(message);
        int index = 0;
        while (inFlight.size() > MAX_IN_FLIGHT && index < inFlight.size()) {
            // Late actions stay: the fencing guard is for them.
            if (inFlight.get(index) instanceof LeaseInFlight.FencedAction) {
                index++;
            } else {
                inFlight.remove(index);
            }
        }
    }

    /** The highest epoch under which the lease was acquired. */
    long highestEpoch() {
        return highestEpoch;
    }

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
