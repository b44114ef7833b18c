package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import loadbalancer.lease.Lease;
import loadbalancer.lease.LeaseManager;
import loadbalancer.lease.LeaseMessage;
import loadbalancer.lease.LeaseTiming;
import loadbalancer.lease.VoterPromise;

/**
 * Explores the states of a few members of {@link LeaseManager} and one slot: messages in any order,
 * lost and repeated; disks that are slow, fail, or are restored empty or to an older copy; crashes,
 * pauses, clocks 5% fast and slow and hours apart, wrong views of which members are present. In
 * each state one member at most may act, epochs have not gone back, and no member has accepted an
 * older holder's action after a newer one's. After the last fault there is a holder again.
 */
public final class LeaseModelChecker
        implements StateSpaceSearch.Model<LeaseModelChecker.ClusterState> {
    private static final long STEP_MICROS = 10_000;
    private static final long WALL_CLOCK_EPOCH_MS = 1_000_000;
    // Between the clocks of two members
    private static final long CLOCK_OFFSET_MICROS = 7_200_000_000L;
    private static final int[] CLOCK_RATES_PERCENT = {105, 95, 100, 97, 103};
    // Of messages; the oldest beyond it are lost.
    private static final int MAX_IN_FLIGHT = 9;
    private static final int CONVERGENCE_LEASES = 12;
    // The last of them, in which the holder must not change.
    private static final int STABLE_LEASES = 4;

    private final int memberCount;
    private final LeaseTiming timing;
    private final InjectedBug injectedBug;

    /** A fault injected to verify that the checker finds it. */
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
     * A state: the members, their disks ({@code persisted}, the copy before it, and the write under
     * way), the highest epoch of an action that each has accepted, and the highest epoch that was
     * ever held, with its holder.
     */
    record ClusterState(
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
            List<InFlightMessage> inFlight,
            long now,
            int remainingFaults,
            ClusterState from,
            String step)
            implements StateSpaceSearch.State<ClusterState> {}

    /** {@code actionEpoch}: the epoch of a holder's action, in place of a payload; else 0. */
    record InFlightMessage(int from, int to, LeaseMessage payload, long actionEpoch) {}

    /** A state under construction. */
    private final class StateBuilder {
        final ClusterState base;
        final LeaseManager[] managers;
        final List<InFlightMessage> inFlight;
        final List<List<VoterPromise>> persisted;
        final List<List<VoterPromise>> previouslyPersisted;
        final LeaseManager.Persist[] pendingWrites;
        final long[] highestObservedEpochs;
        final boolean[] believesHolder;
        boolean[] down;
        boolean[] paused;
        boolean[] standby;
        boolean[][] views;
        long highestEpoch;
        int highestEpochHolder;
        String violation = "";
        long now;
        int remainingFaults;

        StateBuilder(ClusterState state) {
            this.base = state;
            managers = state.managers.clone();
            inFlight = new ArrayList<>(state.inFlight);
            persisted = new ArrayList<>(state.persisted);
            previouslyPersisted = new ArrayList<>(state.previouslyPersisted);
            pendingWrites = state.pendingWrites.clone();
            highestObservedEpochs = state.highestObservedEpochs.clone();
            believesHolder = state.believesHolder.clone();
            down = state.down;
            paused = state.paused;
            standby = state.standby;
            views = state.views;
            highestEpoch = state.highestEpoch;
            highestEpochHolder = state.highestEpochHolder;
            now = state.now;
            remainingFaults = state.remainingFaults;
        }

        LeaseManager copyManager(int member) {
            managers[member] = new LeaseManager(managers[member]);
            return managers[member];
        }

        StateBuilder consumeFault() {
            remainingFaults--;
            return this;
        }

        void perform(int member, List<LeaseManager.Action> actions) {
            for (LeaseManager.Action action : actions) {
                if (action instanceof LeaseManager.Send send) {
                    sendMessage(member, send);
                } else if (action instanceof LeaseManager.Persist write) {
                    pendingWrites[member] = write;
                    if (injectedBug == InjectedBug.RESPOND_BEFORE_SYNC) {
                        perform(
                                member,
                                managers[member].onPersisted(
                                        memberClockMicros(member, now), write.writeId(), true));
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
                        "n"
                                + member
                                + " holds it under epoch "
                                + epoch
                                + ", and n"
                                + highestEpochHolder
                                + " held it under "
                                + highestEpoch;
            }
            highestEpoch = epoch;
            highestEpochHolder = member;
            believesHolder[member] = true;
        }

        private void sendMessage(int member, LeaseManager.Send send) {
            if (injectedBug == InjectedBug.MAJORITY_OF_PRESENT
                    && send.message().kind() == LeaseMessage.Kind.REQUEST
                    && !views[member][send.to()]) {
                LeaseMessage request = send.message();
                perform(
                        member,
                        managers[member].onPeerMessage(
                                memberClockMicros(member, now),
                                send.to(),
                                new LeaseMessage(
                                        LeaseMessage.Kind.GRANTED,
                                        request.processId(),
                                        request.sequenceNumber(),
                                        request.entries())));
                return;
            }
            if (send.message().kind() == LeaseMessage.Kind.GRANTED) {
                long persistedEpoch =
                        persisted.get(member) == null ? -1 : persisted.get(member).get(0).epoch();
                send.message().entries().stream()
                        .filter(entry -> entry.epoch() > persistedEpoch)
                        .forEach(
                                entry ->
                                        violation =
                                                "n"
                                                        + member
                                                        + " sends its grant of epoch "
                                                        + entry.epoch()
                                                        + ", and a crash now would undo it");
            }
            addMessage(new InFlightMessage(member, send.to(), send.message(), 0));
        }

        void addMessage(InFlightMessage message) {
            inFlight.add(message);
            for (int i = 0; inFlight.size() > MAX_IN_FLIGHT && i < inFlight.size(); ) {
                // Actions stay: late ones are what fencing is for.
                if (inFlight.get(i).payload == null) {
                    i++;
                } else {
                    inFlight.remove(i);
                }
            }
        }

        ClusterState build(String step) {
            return new ClusterState(
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
                    now,
                    remainingFaults,
                    base,
                    step);
        }
    }

    /** {@code timing}: one slot, and short times to make more happen within few steps. */
    public LeaseModelChecker(int memberCount, LeaseTiming timing, InjectedBug injectedBug) {
        this.memberCount = memberCount;
        this.timing = timing;
        this.injectedBug = injectedBug;
    }

    private long memberClockMicros(int member, long nowMicros) {
        int rateOffsetPercent =
                (CLOCK_RATES_PERCENT[member] - 100)
                        * (injectedBug == InjectedBug.MARGIN_TOO_SMALL ? 3 : 1);
        return CLOCK_OFFSET_MICROS * (member + 1) + nowMicros / 100 * (100 + rateOffsetPercent);
    }

    private LeaseManager startMember(int member, List<VoterPromise> promises, long nowMicros) {
        long wallClockMs = WALL_CLOCK_EPOCH_MS + nowMicros / 1000;
        LeaseManager manager =
                new LeaseManager(
                        member,
                        memberCount,
                        timing,
                        promises == null ? List.of() : promises,
                        true,
                        wallClockMs,
                        wallClockMs * memberCount + member,
                        memberClockMicros(member, nowMicros));
        if (injectedBug == InjectedBug.SKIP_WAIT_AFTER_START) {
            manager.onReachable(memberClockMicros(member, nowMicros) - timing.leaseMicros());
        }
        return manager;
    }

    /**
     * Explores until so many states were seen.
     *
     * @param stepsPerWalk of one walk
     * @param maxFaults crashes, losses, pauses, wrong views and the like on one path at most
     * @param convergenceCheckInterval from one state in so many it is tried whether there is a
     *     holder in the end
     */
    public CheckResult explore(
            long maxStates,
            int stepsPerWalk,
            int maxFaults,
            int convergenceCheckInterval,
            long seed) {
        LeaseManager[] managers = new LeaseManager[memberCount];
        boolean[][] views = new boolean[memberCount][memberCount];
        List<List<VoterPromise>> none = new ArrayList<>();
        for (int member = 0; member < memberCount; member++) {
            managers[member] = startMember(member, null, 0);
            Arrays.fill(views[member], true);
            none.add(null);
        }
        return new StateSpaceSearch<>(this)
                .randomWalk(
                        new ClusterState(
                                managers,
                                new boolean[memberCount],
                                new boolean[memberCount],
                                views,
                                none,
                                none,
                                new LeaseManager.Persist[memberCount],
                                new long[memberCount],
                                new boolean[memberCount],
                                new boolean[memberCount],
                                0,
                                -1,
                                "",
                                List.of(),
                                0,
                                maxFaults,
                                null,
                                "all start"),
                        maxStates,
                        stepsPerWalk,
                        convergenceCheckInterval,
                        seed);
    }

    @Override
    public long fingerprint(ClusterState state) {
        long hash = state.remainingFaults * 31L + state.highestEpoch * 7 + state.highestEpochHolder;
        for (int member = 0; member < memberCount; member++) {
            hash =
                    hash * 1_000_003
                            + (state.down[member]
                                    ? 1
                                    : (state.paused[member] ? 2 : 3)
                                            + state.managers[member].fingerprint(
                                                    memberClockMicros(member, state.now)));
            hash =
                    hash * 31
                            + Arrays.hashCode(state.views[member])
                            + state.highestObservedEpochs[member] * 17
                            + (state.pendingWrites[member] == null ? 0 : 5);
            hash =
                    hash * 31
                            + (state.persisted.get(member) == null
                                    ? 0
                                    : state.persisted.get(member).hashCode());
        }
        // Messages are a set: a sum does not depend on their order.
        long messagesHash = 0;
        for (InFlightMessage message : state.inFlight) {
            long messageHash =
                    (message.from * 31L + message.to) * 31
                            + message.actionEpoch * 7
                            + (message.payload == null ? 0 : message.payload.hashCode());
            messagesHash += (messageHash ^ (messageHash >>> 17)) * 0x9e3779b97f4a7c15L;
        }
        return (hash ^ messagesHash) * 0xbf58476d1ce4e5b9L;
    }

    // ------------------------------------------------------------ transitions

    @Override
    public List<ClusterState> successors(ClusterState state) {
        List<ClusterState> successors = new ArrayList<>();
        for (InFlightMessage message : state.inFlight) {
            if (!state.paused[message.to]) {
                successors.add(deliver(state, message, true));
            }
            if (state.remainingFaults > 0) {
                StateBuilder lost = new StateBuilder(state).consumeFault();
                lost.inFlight.remove(message);
                successors.add(lost.build(describe(message) + " is lost"));
                if (!state.paused[message.to]) {
                    successors.add(deliver(state, message, false));
                }
            }
        }
        successors.add(advanceTime(state));
        for (int member = 0; member < memberCount; member++) {
            if (state.down[member]) {
                if (state.remainingFaults > 0) {
                    successors.add(
                            restart(state, member, state.persisted.get(member), "starts again"));
                    successors.add(restart(state, member, null, "starts with its disk emptied"));
                    successors.add(
                            restart(
                                    state,
                                    member,
                                    state.previouslyPersisted.get(member),
                                    "starts with an older copy of its disk"));
                }
                continue;
            }
            if (state.pendingWrites[member] != null) {
                successors.add(completeWrite(state, member, true));
                if (state.remainingFaults > 0) {
                    successors.add(completeWrite(state, member, false));
                }
            }
            // Few actions at a time: more would displace the messages of the lease protocol.
            if (!state.paused[member]
                    && actingEpoch(state, member) > 0
                    && state.inFlight.stream().filter(message -> message.payload == null).count()
                            < memberCount) {
                successors.add(takeAction(state, member));
            }
            if (state.remainingFaults > 0) {
                successors.addAll(faults(state, member));
            }
        }
        return successors;
    }

    private static String describe(InFlightMessage message) {
        return (message.payload == null
                        ? "act under " + message.actionEpoch
                        : message.payload.kind().toString())
                + " of n"
                + message.from
                + " to n"
                + message.to;
    }

    private ClusterState deliver(ClusterState state, InFlightMessage message, boolean consumed) {
        StateBuilder builder =
                consumed ? new StateBuilder(state) : new StateBuilder(state).consumeFault();
        if (consumed) {
            builder.inFlight.remove(message);
        }
        String outcome = consumed ? " arrives" : " arrives, and will once more";
        if (state.down[message.to]) {
            return builder.build(describe(message) + " finds nobody");
        }
        if (message.payload != null) {
            builder.perform(
                    message.to,
                    builder.copyManager(message.to)
                            .onPeerMessage(
                                    memberClockMicros(message.to, state.now),
                                    message.from,
                                    message.payload));
        } else if (builder.copyManager(message.to).fencingGuard().accept(0, message.actionEpoch)
                || injectedBug == InjectedBug.SKIP_EPOCH_CHECK) {
            if (message.actionEpoch < builder.highestObservedEpochs[message.to]) {
                builder.violation =
                        "n"
                                + message.to
                                + " accepts an action under epoch "
                                + message.actionEpoch
                                + " after one under "
                                + builder.highestObservedEpochs[message.to];
            }
            builder.highestObservedEpochs[message.to] = message.actionEpoch;
        }
        return builder.build(describe(message) + outcome);
    }

    private ClusterState advanceTime(ClusterState state) {
        StateBuilder builder = new StateBuilder(state);
        builder.now += STEP_MICROS;
        for (int member = 0; member < memberCount; member++) {
            if (!state.down[member]
                    && !state.paused[member]
                    && builder.managers[member].nextTickMicros()
                            <= memberClockMicros(member, builder.now)) {
                builder.perform(
                        member,
                        builder.copyManager(member).tick(memberClockMicros(member, builder.now)));
            }
        }
        return builder.build("time passes");
    }

    private ClusterState completeWrite(ClusterState state, int member, boolean succeeded) {
        StateBuilder builder =
                succeeded ? new StateBuilder(state) : new StateBuilder(state).consumeFault();
        LeaseManager.Persist write = builder.pendingWrites[member];
        builder.pendingWrites[member] = null;
        if (succeeded) {
            builder.previouslyPersisted.set(member, builder.persisted.get(member));
            builder.persisted.set(member, write.promises());
        }
        if (!state.paused[member] || injectedBug != InjectedBug.RESPOND_BEFORE_SYNC) {
            builder.perform(
                    member,
                    builder.copyManager(member)
                            .onPersisted(
                                    memberClockMicros(member, state.now),
                                    write.writeId(),
                                    succeeded));
        }
        return builder.build(
                "n"
                        + member
                        + (succeeded
                                ? " has persisted its promises"
                                : " could not persist its promises"));
    }

    private ClusterState takeAction(ClusterState state, int member) {
        StateBuilder builder = new StateBuilder(state);
        for (int recipient = 0; recipient < memberCount; recipient++) {
            if (recipient != member) {
                builder.addMessage(
                        new InFlightMessage(member, recipient, null, actingEpoch(state, member)));
            }
        }
        return builder.build("n" + member + " acts");
    }

    private List<ClusterState> faults(ClusterState state, int member) {
        List<ClusterState> successors = new ArrayList<>();
        StateBuilder crash = new StateBuilder(state).consumeFault();
        crash.down = state.down.clone();
        crash.down[member] = true;
        // The write is lost.
        crash.pendingWrites[member] = null;
        crash.believesHolder[member] = false;
        successors.add(crash.build("n" + member + " crashes"));
        StateBuilder pause = new StateBuilder(state).consumeFault();
        pause.paused = state.paused.clone();
        pause.paused[member] = !state.paused[member];
        successors.add(
                pause.build("n" + member + (state.paused[member] ? " resumes" : " is paused")));
        if (!state.paused[member]) {
            StateBuilder drain = new StateBuilder(state).consumeFault();
            drain.standby = state.standby.clone();
            drain.standby[member] = !state.standby[member];
            drain.perform(
                    member,
                    drain.copyManager(member)
                            .setDraining(
                                    memberClockMicros(member, state.now), drain.standby[member]));
            successors.add(
                    drain.build(
                            "n"
                                    + member
                                    + (state.standby[member] ? " ends draining" : " is draining")));
        }
        for (int other = 0; other < memberCount && !state.paused[member]; other++) {
            if (other != member) {
                StateBuilder view = new StateBuilder(state).consumeFault();
                view.views = state.views.clone();
                view.views[member] = state.views[member].clone();
                view.views[member][other] = !state.views[member][other];
                view.perform(
                        member,
                        view.copyManager(member)
                                .onMembershipChanged(
                                        memberClockMicros(member, state.now),
                                        who -> view.views[member][who]));
                successors.add(
                        view.build(
                                "n"
                                        + member
                                        + " holds n"
                                        + other
                                        + (state.views[member][other] ? " absent" : " present")));
            }
        }
        return successors;
    }

    private ClusterState restart(
            ClusterState state, int member, List<VoterPromise> promises, String description) {
        StateBuilder builder = new StateBuilder(state).consumeFault();
        builder.down = state.down.clone();
        builder.down[member] = false;
        builder.paused = state.paused.clone();
        builder.paused[member] = false;
        builder.views = state.views.clone();
        builder.views[member] = new boolean[memberCount];
        Arrays.fill(builder.views[member], true);
        builder.managers[member] = startMember(member, promises, state.now);
        builder.persisted.set(member, promises);
        builder.previouslyPersisted.set(member, promises);
        builder.highestObservedEpochs[member] = 0;
        builder.standby = state.standby.clone();
        builder.standby[member] = false;
        return builder.build("n" + member + " " + description);
    }

    // ------------------------------------------------------------ invariants

    // The epoch under which the member would act now; 0: it must not act.
    private long actingEpoch(ClusterState state, int member) {
        if (injectedBug == InjectedBug.SKIP_EXPIRY_CHECK) {
            return state.believesHolder[member] ? state.highestEpoch : 0;
        }
        return state.managers[member]
                .currentLease(memberClockMicros(member, state.now), 0)
                .map(Lease::epoch)
                .orElse(0L);
    }

    @Override
    public boolean isFaultTransition(ClusterState before, ClusterState state) {
        return state.remainingFaults < before.remainingFaults;
    }

    @Override
    public String findViolation(ClusterState before, ClusterState state) {
        if (!state.violation.isEmpty()) {
            return state.violation;
        }
        int holder = -1;
        for (int member = 0; member < memberCount; member++) {
            if (!state.down[member] && actingEpoch(state, member) > 0) {
                if (holder >= 0) {
                    return "n" + holder + " and n" + member + " may both act";
                }
                holder = member;
            }
        }
        return "";
    }

    // No more faults: members that are down start again, views are right, writes and messages take
    // one step.
    @Override
    public String findConvergenceViolation(ClusterState state) {
        StateBuilder builder = new StateBuilder(state);
        builder.views = new boolean[memberCount][memberCount];
        builder.paused = new boolean[memberCount];
        builder.down = new boolean[memberCount];
        for (int member = 0; member < memberCount; member++) {
            Arrays.fill(builder.views[member], true);
            builder.managers[member] =
                    state.down[member]
                            ? startMember(member, state.persisted.get(member), state.now)
                            : new LeaseManager(state.managers[member]);
            builder.perform(
                    member,
                    builder.managers[member].onMembershipChanged(
                            memberClockMicros(member, state.now), who -> true));
            builder.perform(
                    member,
                    builder.managers[member].setDraining(
                            memberClockMicros(member, state.now), false));
        }
        // The epoch held when the stable phase begins
        long stableEpoch = -1;
        for (long endMicros = state.now + CONVERGENCE_LEASES * timing.leaseMicros();
                builder.now < endMicros;
                builder.now += STEP_MICROS) {
            stableEpoch =
                    endMicros - builder.now > STABLE_LEASES * timing.leaseMicros()
                            ? builder.highestEpoch
                            : stableEpoch;
            List<InFlightMessage> arrivingMessages = new ArrayList<>(builder.inFlight);
            builder.inFlight.clear();
            for (InFlightMessage message : arrivingMessages) {
                if (message.payload != null) {
                    builder.perform(
                            message.to,
                            builder.managers[message.to].onPeerMessage(
                                    memberClockMicros(message.to, builder.now),
                                    message.from,
                                    message.payload));
                }
            }
            for (int member = 0; member < memberCount; member++) {
                LeaseManager.Persist write = builder.pendingWrites[member];
                builder.pendingWrites[member] = null;
                if (write != null) {
                    builder.persisted.set(member, write.promises());
                    builder.perform(
                            member,
                            builder.managers[member].onPersisted(
                                    memberClockMicros(member, builder.now), write.writeId(), true));
                }
                if (builder.managers[member].nextTickMicros()
                        <= memberClockMicros(member, builder.now)) {
                    builder.perform(
                            member,
                            builder.managers[member].tick(memberClockMicros(member, builder.now)));
                }
            }
            ClusterState current = builder.build("settling");
            String violation = findViolation(state, current);
            if (!violation.isEmpty()) {
                return violation;
            }
        }
        if (builder.highestEpoch != stableEpoch) {
            return "epoch "
                    + stableEpoch
                    + " became "
                    + builder.highestEpoch
                    + " long after the last fault";
        }
        ClusterState settled = builder.build("settled");
        for (int member = 0; member < memberCount; member++) {
            if (actingEpoch(settled, member) > 0) {
                return "";
            }
        }
        return "nobody holds it " + CONVERGENCE_LEASES + " leases after the last fault";
    }
}
