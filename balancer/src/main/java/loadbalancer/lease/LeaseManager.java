package loadbalancer.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loadbalancer.util.Hashing;

/**
 * Duties at one member: leases of slots by a majority of each slot's voters, after Gray and
 * Cheriton's leases with epochs as in Paxos. Time, messages and who is present come in; messages,
 * promises to be kept and what is held go out. Deterministic, one thread.
 *
 * <p>Of those present the one that {@link RendezvousPlacement} names sounds a slot's voters, and
 * asks if most would grant; voters whose grant still binds them refuse all others, so that one that
 * comes and goes unseats nobody. A holder may act until a majority's grants, counted from when it
 * <em>asked</em> for them, have run for nine tenths of the lease: the first of these voters is free
 * later than that by any clock within 5%. It looks at its clock before each act ({@link
 * #currentLease}). It hands over in order when it leaves or when somebody else has been the better
 * holder for a while; after a crash the lease has to end.
 *
 * <p>State: some words a slot and voter; messages a renewal: one to each voter of what is held
 * here, and its answer.
 */
public final class LeaseManager {
    // Askings whose answers still count, at most
    private static final int MAX_TRACKED_ROUNDS = 128;
    // Of the wait of a refused candidate
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final int self;
    private final int memberCount;
    private final LeaseTiming timing;
    private final int processId;
    private final Voter voter;
    // The highest epoch of each slot that was asked for
    private final long[] highestEpochs;
    private final FencingGuard fencingGuard;
    private final SlotState[] slotStates;
    private final boolean[] present;
    // When each asking was sent
    private final Map<Integer, Long> roundStartMicros = new LinkedHashMap<>();
    private final List<Action> pendingActions = new ArrayList<>();
    private final Map<Integer, Map<LeaseMessage.Kind, List<LeaseMessage.Entry>>> outbox =
            new LinkedHashMap<>();
    private int lastSequenceNumber;
    private long randomState;
    private boolean viewChanged = true;
    private boolean departed;
    // Wants nothing, as operators asked
    private boolean draining;
    // Those who may hold its slots meanwhile
    private long nextTransferNoticeMicros;

    /** What the caller is to do. */
    public sealed interface Action permits Send, Persist, Acquired, Released {}

    /** Send a datagram to that member. */
    public record Send(int to, LeaseMessage message) implements Action {}

    /** Keep all promises, synced, and then call {@link #onPersisted} with that number. */
    public record Persist(long writeId, List<VoterPromise> promises) implements Action {}

    /**
     * From now on this member holds the slot under that epoch, as long as {@link #currentLease}
     * says so.
     */
    public record Acquired(int slot, long epoch) implements Action {}

    /** It holds it no longer. */
    public record Released(int slot, long epoch, String reason) implements Action {}

    /**
     * Makes a member that holds nothing, and as a voter grants nothing for one lease.
     *
     * @param self its number, of {@code memberCount} configured
     * @param promises as they were kept; null: none were found, or nothing is kept
     * @param durable whether the caller keeps promises
     * @param epochFloor epochs begin above it: the wall clock's ms, for where nothing was kept
     * @param seed of what goes by chance; of two processes of one member it differs
     * @param nowMicros µs, monotonic
     */
    public LeaseManager(
            int self,
            int memberCount,
            LeaseTiming timing,
            List<VoterPromise> promises,
            boolean durable,
            long epochFloor,
            long seed,
            long nowMicros) {
        if (self < 0
                || self >= memberCount
                || promises != null && promises.size() != timing.slotCount()) {
            throw new IllegalArgumentException(
                    "no member " + self + " of " + memberCount + ", or promises of others");
        }
        this.self = self;
        this.memberCount = memberCount;
        this.timing = timing;
        this.randomState = seed;
        this.processId =
                (int) Long.remainderUnsigned(Hashing.mix(seed), LeaseMessage.PROCESS_ID_LIMIT);
        this.fencingGuard = new FencingGuard(timing.slotCount());
        this.highestEpochs = new long[timing.slotCount()];
        long initialEpoch = Math.min(Math.max(0, epochFloor), LeaseMessage.MAX_EPOCH / 2);
        this.voter =
                new Voter(
                        timing,
                        promises != null
                                ? promises
                                : Stream.generate(() -> VoterPromise.initial(initialEpoch))
                                        .limit(timing.slotCount())
                                        .toList(),
                        durable,
                        nowMicros);
        this.slotStates = new SlotState[timing.slotCount()];
        for (int slot = 0; slot < slotStates.length; slot++) {
            slotStates[slot] =
                    new SlotState(
                            slot,
                            RendezvousPlacement.votersOf(slot, memberCount, timing.maxVoters()));
            highestEpochs[slot] = Math.max(initialEpoch, voter.promisedEpoch(slot));
        }
        this.present = new boolean[memberCount];
        Arrays.fill(present, true);
    }

    /**
     * The same member in the same state, independent from here on: for those who explore what may
     * happen.
     */
    public LeaseManager(LeaseManager other) {
        self = other.self;
        memberCount = other.memberCount;
        timing = other.timing;
        processId = other.processId;
        voter = new Voter(other.voter);
        highestEpochs = other.highestEpochs.clone();
        fencingGuard = new FencingGuard(other.fencingGuard);
        slotStates = Arrays.stream(other.slotStates).map(SlotState::new).toArray(SlotState[]::new);
        present = other.present.clone();
        roundStartMicros.putAll(other.roundStartMicros);
        lastSequenceNumber = other.lastSequenceNumber;
        randomState = other.randomState;
        viewChanged = other.viewChanged;
        departed = other.departed;
        draining = other.draining;
        nextTransferNoticeMicros = other.nextTransferNoticeMicros;
    }

    /**
     * Its state in a number, times as seen from {@code nowMicros}; what differs in nothing that
     * matters is equal.
     */
    public long fingerprint(long nowMicros) {
        long hash =
                voter.fingerprint(nowMicros) * 31
                        + Arrays.hashCode(present)
                        + (departed ? 1 : 0)
                        + (draining ? 2 + Math.max(0, nextTransferNoticeMicros - nowMicros) : 0);
        for (SlotState state : slotStates) {
            hash = hash * 31 + highestEpochs[state.slot];
            hash =
                    hash * 31
                            + (state.active == null
                                    ? 0
                                    : state.active.fingerprint(nowMicros, timing)
                                            + (state.renewAtMicros - nowMicros));
            hash =
                    hash * 31
                            + (state.candidate == null
                                    ? 0
                                    : state.candidate.fingerprint(nowMicros, timing)
                                            + (state.requestDeadlineMicros - nowMicros)
                                            + 3 * (state.resendAtMicros - nowMicros)
                                            + 5 * state.resends);
            hash =
                    hash * 31
                            + state.denials * 7
                            + state.resignedMember * 11
                            + Math.max(0, state.resignedUntilMicros - nowMicros)
                            + state.preferredHolder * 13
                            + Math.max(0, state.nextRequestMicros - nowMicros);
            hash =
                    hash * 31
                            + (state.betterHolderSinceMicros == Long.MAX_VALUE
                                    ? 0
                                    : nowMicros - state.betterHolderSinceMicros);
        }
        for (Map.Entry<Integer, Long> round : roundStartMicros.entrySet()) {
            hash =
                    hash * 31
                            + round.getKey() * 7
                            + Math.max(0, round.getValue() + timing.usableMicros() - nowMicros);
        }
        return hash * 0x9e3779b97f4a7c15L;
    }

    // ------------------------------------------------------------ what others ask

    /**
     * What this member holds of a slot at this very time; null: nothing. Who acts elsewhere or
     * later than now looks at the clock once more.
     */
    public Lease currentLease(long nowMicros, int slot) {
        GrantTally active = slotStates[slot].active;
        long expiresAtMicros = active == null ? nowMicros : active.reliableUntilMicros(timing);
        return nowMicros < expiresAtMicros ? new Lease(active.epoch, expiresAtMicros) : null;
    }

    /** The same for a key's slot. */
    public Lease currentLease(long nowMicros, String key) {
        return currentLease(nowMicros, RendezvousPlacement.slotOf(key, timing.slotCount()));
    }

    /** Of what others do as holders: whether it counts. */
    public FencingGuard fencingGuard() {
        return fencingGuard;
    }

    /** Until when this member grants nothing, as it may not know what it granted. */
    public long abstainsUntilMicros() {
        return voter.abstainsUntilMicros();
    }

    // ------------------------------------------------------------ time and view

    /**
     * From now on others can reach this member: an earlier process of it may have granted until
     * now.
     */
    public void onReachable(long nowMicros) {
        voter.startAbstaining(nowMicros);
    }

    /** Who is present, as this member knows. */
    public List<Action> onMembershipChanged(long nowMicros, IntPredicate isPresent) {
        for (int member = 0; member < memberCount; member++) {
            viewChanged |= present[member] != isPresent.test(member);
            present[member] = isPresent.test(member);
        }
        return tick(nowMicros);
    }

    /** When {@link #tick} is wanted next, µs. */
    public long nextTickMicros() {
        long next = viewChanged ? Long.MIN_VALUE / 2 : voter.nextPersistMicros();
        next = draining ? Math.min(next, nextTransferNoticeMicros) : next;
        for (SlotState state : slotStates) {
            next = state.resignedMember >= 0 ? Math.min(next, state.resignedUntilMicros) : next;
            if (state.active != null) {
                next =
                        Math.min(
                                next,
                                Math.min(
                                        state.renewAtMicros,
                                        state.active.reliableUntilMicros(timing)));
                next =
                        Math.min(
                                next,
                                state.betterHolderSinceMicros == Long.MAX_VALUE
                                        ? next
                                        : state.betterHolderSinceMicros
                                                + timing.handoverDelayMicros());
            }
            if (state.candidate != null) {
                next = Math.min(next, Math.min(state.requestDeadlineMicros, state.resendAtMicros));
            } else if (state.active == null && state.preferredHolder == self) {
                next = Math.min(next, state.nextRequestMicros);
            }
        }
        return departed ? Long.MAX_VALUE : next;
    }

    /** Time has passed. */
    public List<Action> tick(long nowMicros) {
        if (departed) {
            return List.of();
        }
        if (viewChanged) {
            viewChanged = false;
            Arrays.stream(slotStates).forEach(this::updatePreferredHolder);
        }
        for (SlotState state : slotStates) {
            if (state.resignedMember >= 0 && nowMicros >= state.resignedUntilMicros) {
                state.resignedMember = -1;
                updatePreferredHolder(state);
            }
            advanceSlot(state, nowMicros);
        }
        if (draining && nowMicros >= nextTransferNoticeMicros) {
            nextTransferNoticeMicros = nowMicros + timing.handoverDelayMicros() / 3;
            Arrays.stream(slotStates)
                    .filter(state -> holderIgnoringDraining(state) == self)
                    .forEach(state -> announceTransfer(state, 0));
        }
        if (Arrays.stream(slotStates)
                .anyMatch(state -> state.active != null && nowMicros >= state.renewAtMicros)) {
            // All in the same datagrams, those that are due soon too.
            Arrays.stream(slotStates)
                    .filter(
                            state ->
                                    state.active != null
                                            && nowMicros + timing.renewIntervalMicros() / 2
                                                    >= state.renewAtMicros)
                    .forEach(
                            state -> {
                                state.renewAtMicros = nowMicros + timing.renewIntervalMicros();
                                enqueueToVoters(
                                        state, LeaseMessage.Kind.REQUEST, state.active.epoch);
                            });
        }
        return takeActions(nowMicros);
    }

    private void updatePreferredHolder(SlotState state) {
        state.resignedMember =
                state.resignedMember >= 0 && present[state.resignedMember]
                        ? state.resignedMember
                        : -1;
        state.preferredHolder =
                RendezvousPlacement.preferredHolder(
                        state.slot,
                        memberCount,
                        member ->
                                member == self
                                        ? !draining
                                        : present[member] && member != state.resignedMember);
    }

    // Who should hold it if nobody rested.
    private int holderIgnoringDraining(SlotState state) {
        return RendezvousPlacement.preferredHolder(
                state.slot, memberCount, member -> member == self || present[member]);
    }

    /**
     * This member stays and wants no duties, or ({@code drain} false) wants them again. It passes
     * on what it holds at once, and tells those concerned from time to time: they forget it a while
     * after the last time.
     */
    public List<Action> setDraining(long nowMicros, boolean drain) {
        if (departed) {
            return List.of();
        }
        draining = drain;
        nextTransferNoticeMicros = nowMicros;
        for (SlotState state : slotStates) {
            updatePreferredHolder(state);
            if (drain && state.active != null) {
                relinquish(state, "resting");
            } else if (drain && state.candidate != null) {
                abandonRequest(state, nowMicros);
            }
        }
        return tick(nowMicros);
    }

    private void advanceSlot(SlotState state, long nowMicros) {
        if (state.active != null && nowMicros >= state.active.reliableUntilMicros(timing)) {
            relinquish(state, "the lease is over");
            state.nextRequestMicros = nowMicros + nextBackoffMicros(state);
        }
        if (state.active != null) {
            state.betterHolderSinceMicros =
                    state.preferredHolder == self
                            ? Long.MAX_VALUE
                            : Math.min(state.betterHolderSinceMicros, nowMicros);
            if (state.betterHolderSinceMicros != Long.MAX_VALUE
                    && nowMicros >= state.betterHolderSinceMicros + timing.handoverDelayMicros()) {
                relinquish(state, "handed to " + state.preferredHolder);
            }
        }
        if (state.candidate != null && nowMicros >= state.requestDeadlineMicros) {
            abandonRequest(state, nowMicros);
        }
        if (state.candidate != null && nowMicros >= state.resendAtMicros) {
            sendRequests(state, nowMicros);
        }
        if (state.active == null
                && state.candidate == null
                && state.preferredHolder == self
                && nowMicros >= state.nextRequestMicros) {
            requestLease(state, false, nowMicros);
        }
    }

    // ------------------------------------------------------------ asking and giving up

    // Sounds the voters first: epochs that rise in vain at some of them would be trouble for who
    // holds it. A
    // holder that needs a higher epoch has its voters already.
    private void requestLease(SlotState state, boolean binding, long nowMicros) {
        if (highestEpochs[state.slot] >= LeaseMessage.MAX_EPOCH) {
            // Told by nobody honest
            return;
        }
        long epoch = highestEpochs[state.slot] + 1;
        highestEpochs[state.slot] = binding ? epoch : highestEpochs[state.slot];
        state.candidate = new GrantTally(epoch, binding, state.voters.length);
        // What is granted binds its voters for a lease; a disk that takes its time must not cost
        // another
        // epoch.
        state.requestDeadlineMicros =
                nowMicros + (binding ? timing.leaseMicros() : timing.renewIntervalMicros());
        state.resends = 0;
        sendRequests(state, nowMicros);
    }

    // Again and again for a while: some were bound when it came, or it was lost.
    private void sendRequests(SlotState state, long nowMicros) {
        state.resendAtMicros =
                nowMicros
                        + Math.min(
                                timing.renewIntervalMicros(),
                                timing.minBackoffMicros()
                                        << Math.min(MAX_BACKOFF_DOUBLINGS, state.resends++));
        state.candidate.recordRequest(nowMicros);
        for (int voterIndex = 0; voterIndex < state.voters.length; voterIndex++) {
            if (!state.candidate.isGrantedBy(voterIndex)) {
                enqueue(
                        state.voters[voterIndex],
                        state.candidate.binding
                                ? LeaseMessage.Kind.REQUEST
                                : LeaseMessage.Kind.PRE_VOTE,
                        new LeaseMessage.Entry(state.slot, state.candidate.epoch));
            }
        }
    }

    // Voters that granted what was asked for are free again; but not beside what is held: they are
    // counted
    // for that.
    private void abandonRequest(SlotState state, long nowMicros) {
        if (state.active == null && state.candidate.binding) {
            enqueueToVoters(state, LeaseMessage.Kind.RELEASE, state.candidate.epoch);
        }
        state.candidate = null;
        state.nextRequestMicros = nowMicros + nextBackoffMicros(state);
    }

    private long nextBackoffMicros(SlotState state) {
        long delayMicros =
                Math.min(
                        timing.renewIntervalMicros(),
                        timing.minBackoffMicros()
                                << Math.min(MAX_BACKOFF_DOUBLINGS, state.denials++));
        randomState = Hashing.mix(randomState);
        return delayMicros + Long.remainderUnsigned(randomState, delayMicros / 2 + 1);
    }

    private void relinquish(SlotState state, String reason) {
        pendingActions.add(new Released(state.slot, state.active.epoch, reason));
        for (GrantTally tally : new GrantTally[] {state.active, state.candidate}) {
            if (tally != null && tally.binding) {
                announceTransfer(state, tally.epoch);
            }
        }
        state.active = null;
        state.candidate = null;
        state.betterHolderSinceMicros = Long.MAX_VALUE;
    }

    // Its voters are free again, and who is next may ask.
    private void announceTransfer(SlotState state, long epoch) {
        enqueueToVoters(state, LeaseMessage.Kind.TRANSFER, epoch);
        if (state.preferredHolder >= 0
                && IntStream.of(state.voters).noneMatch(v -> v == state.preferredHolder)) {
            enqueue(
                    state.preferredHolder,
                    LeaseMessage.Kind.TRANSFER,
                    new LeaseMessage.Entry(state.slot, epoch));
        }
    }

    /** This member leaves in order: others may have at once what it holds. */
    public List<Action> leave(long nowMicros) {
        if (departed) {
            return List.of();
        }
        for (SlotState state : slotStates) {
            if (state.active != null) {
                state.preferredHolder =
                        RendezvousPlacement.preferredHolder(
                                state.slot,
                                memberCount,
                                member -> member != self && present[member]);
                relinquish(state, "leaving");
            } else if (state.candidate != null && state.candidate.binding) {
                enqueueToVoters(state, LeaseMessage.Kind.RELEASE, state.candidate.epoch);
            }
        }
        List<Action> actions = takeActions(nowMicros);
        departed = true;
        return actions;
    }

    // ------------------------------------------------------------ messages

    /** A message has come from the member of that number. */
    public List<Action> onPeerMessage(long nowMicros, int from, LeaseMessage message) {
        if (departed
                || from < 0
                || from >= memberCount
                || from == self
                || message.entries().stream()
                        .anyMatch(entry -> entry.slot() >= timing.slotCount())) {
            return List.of();
        }
        switch (message.kind()) {
            case REQUEST, PRE_VOTE -> onRequest(nowMicros, from, message);
            case RELEASE, TRANSFER -> onRelease(nowMicros, from, message);
            case PRE_VOTE_GRANTED, GRANTED, DENIED -> onResponse(nowMicros, from, message);
        }
        return takeActions(nowMicros);
    }

    private void onRequest(long nowMicros, int from, LeaseMessage message) {
        for (LeaseMessage.Entry entry : message.entries()) {
            if (slotStates[entry.slot()].resignedMember == from) {
                slotStates[entry.slot()].resignedMember = -1;
                updatePreferredHolder(slotStates[entry.slot()]);
            }
        }
        boolean binding = message.kind() == LeaseMessage.Kind.REQUEST;
        Voter.VoteResult result =
                binding
                        ? voter.vote(nowMicros, from, message)
                        : voter.preVote(nowMicros, from, message);
        reply(
                nowMicros,
                from,
                new LeaseMessage(
                        binding ? LeaseMessage.Kind.GRANTED : LeaseMessage.Kind.PRE_VOTE_GRANTED,
                        message.processId(),
                        message.sequenceNumber(),
                        result.granted()));
        reply(
                nowMicros,
                from,
                new LeaseMessage(
                        LeaseMessage.Kind.DENIED,
                        message.processId(),
                        message.sequenceNumber(),
                        result.denied()));
    }

    private void reply(long nowMicros, int to, LeaseMessage message) {
        if (message.entries().isEmpty()) {
            return;
        }
        if (to == self) {
            onResponse(nowMicros, self, message);
        } else {
            pendingActions.add(new Send(to, message));
        }
    }

    private void onRelease(long nowMicros, int from, LeaseMessage message) {
        voter.release(nowMicros, from, message);
        for (LeaseMessage.Entry entry : message.entries()) {
            highestEpochs[entry.slot()] = Math.max(highestEpochs[entry.slot()], entry.epoch());
            // Not after a RELEASE: two that take themselves for the best would wake each other
            // without end.
            if (message.kind() == LeaseMessage.Kind.TRANSFER && from != self) {
                SlotState state = slotStates[entry.slot()];
                state.denials = 0;
                state.nextRequestMicros = Math.min(state.nextRequestMicros, nowMicros);
                // It leaves, and the view will say so too, but later; or it rests, and says so
                // again.
                state.resignedMember = state.preferredHolder == from ? from : state.resignedMember;
                state.resignedUntilMicros =
                        state.resignedMember == from
                                ? nowMicros + timing.handoverDelayMicros()
                                : state.resignedUntilMicros;
                updatePreferredHolder(state);
                advanceSlot(state, nowMicros);
            }
        }
    }

    private void onResponse(long nowMicros, int from, LeaseMessage message) {
        Long requestedAtMicros =
                message.processId() == processId
                        ? roundStartMicros.get(message.sequenceNumber())
                        : null;
        for (LeaseMessage.Entry entry : message.entries()) {
            SlotState state = slotStates[entry.slot()];
            int voterIndex = Arrays.binarySearch(state.voters, from);
            if (voterIndex < 0) {
                continue;
            }
            if (requestedAtMicros == null) {
                // Of another process, or too late to count
                continue;
            }
            if (message.kind() == LeaseMessage.Kind.DENIED) {
                onDenied(state, entry.epoch(), requestedAtMicros, nowMicros);
            } else {
                onGranted(
                        state,
                        voterIndex,
                        message.kind() == LeaseMessage.Kind.GRANTED,
                        entry.epoch(),
                        requestedAtMicros,
                        nowMicros);
            }
        }
    }

    private void onGranted(
            SlotState state,
            int voterIndex,
            boolean binding,
            long epoch,
            long requestedAtMicros,
            long nowMicros) {
        if (binding && state.active != null && state.active.epoch == epoch) {
            state.active.recordGrant(voterIndex, requestedAtMicros);
        } else if (state.candidate != null
                && state.candidate.epoch == epoch
                && state.candidate.binding == binding) {
            state.candidate.recordGrant(voterIndex, requestedAtMicros);
            if (nowMicros < state.candidate.reliableUntilMicros(timing) && !binding) {
                requestLease(state, true, nowMicros);
            } else if (nowMicros < state.candidate.reliableUntilMicros(timing)) {
                if (state.active != null) {
                    pendingActions.add(
                            new Released(state.slot, state.active.epoch, "under a higher epoch"));
                }
                state.active = state.candidate;
                state.candidate = null;
                state.denials = 0;
                state.renewAtMicros = requestedAtMicros + timing.renewIntervalMicros();
                fencingGuard.accept(state.slot, epoch);
                pendingActions.add(new Acquired(state.slot, epoch));
            }
        }
    }

    private void onDenied(SlotState state, long epoch, long requestedAtMicros, long nowMicros) {
        highestEpochs[state.slot] = Math.max(highestEpochs[state.slot], epoch);
        if (state.candidate != null) {
            if (state.candidate.recordDenial(requestedAtMicros) || epoch >= state.candidate.epoch) {
                abandonRequest(state, nowMicros);
            }
        } else if (state.active != null
                && epoch > state.active.epoch
                && nowMicros >= state.nextRequestMicros) {
            // A voter has forgotten, or promised more than this
            requestLease(state, true, nowMicros);
        }
    }

    /**
     * The promises of that number are safe; or ({@code succeeded} false) they are not, and it has
     * to be tried again.
     */
    public List<Action> onPersisted(long nowMicros, long writeId, boolean succeeded) {
        for (Voter.PendingGrant grant : voter.onPersisted(nowMicros, writeId, succeeded)) {
            if (!departed) {
                reply(
                        nowMicros,
                        grant.from(),
                        new LeaseMessage(
                                LeaseMessage.Kind.GRANTED,
                                grant.processId(),
                                grant.sequenceNumber(),
                                List.of(new LeaseMessage.Entry(grant.slot(), grant.epoch()))));
            }
        }
        return departed ? List.of() : takeActions(nowMicros);
    }

    // ------------------------------------------------------------ letters: many slots, few
    // datagrams

    private void enqueueToVoters(SlotState state, LeaseMessage.Kind kind, long epoch) {
        for (int member : state.voters) {
            enqueue(member, kind, new LeaseMessage.Entry(state.slot, epoch));
        }
    }

    private void enqueue(int to, LeaseMessage.Kind kind, LeaseMessage.Entry entry) {
        outbox.computeIfAbsent(to, x -> new LinkedHashMap<>())
                .computeIfAbsent(kind, x -> new ArrayList<>())
                .add(entry);
    }

    private List<Action> takeActions(long nowMicros) {
        // A round's own part may be granted at once, which changes nothing that is still to be
        // written.
        while (!outbox.isEmpty()) {
            Map<Integer, Map<LeaseMessage.Kind, List<LeaseMessage.Entry>>> batches =
                    new LinkedHashMap<>(outbox);
            outbox.clear();
            int sequenceNumber = ++lastSequenceNumber;
            roundStartMicros.put(sequenceNumber, nowMicros);
            roundStartMicros
                    .values()
                    .removeIf(startMicros -> nowMicros >= startMicros + timing.usableMicros());
            if (roundStartMicros.size() > MAX_TRACKED_ROUNDS) {
                roundStartMicros.remove(roundStartMicros.keySet().iterator().next());
            }
            batches.forEach(
                    (to, kinds) ->
                            kinds.forEach(
                                    (kind, entries) ->
                                            sendBatches(
                                                    nowMicros, to, kind, sequenceNumber, entries)));
        }
        Persist persist = voter.takePersist(nowMicros);
        if (persist != null) {
            pendingActions.add(persist);
        }
        List<Action> actions = List.copyOf(pendingActions);
        pendingActions.clear();
        return actions;
    }

    private void sendBatches(
            long nowMicros,
            int to,
            LeaseMessage.Kind kind,
            int sequenceNumber,
            List<LeaseMessage.Entry> entries) {
        for (int i = 0; i < entries.size(); i += LeaseMessage.MAX_ENTRIES) {
            LeaseMessage message =
                    new LeaseMessage(
                            kind,
                            processId,
                            sequenceNumber,
                            entries.subList(
                                    i, Math.min(entries.size(), i + LeaseMessage.MAX_ENTRIES)));
            if (to != self) {
                pendingActions.add(new Send(to, message));
            } else if (kind == LeaseMessage.Kind.REQUEST || kind == LeaseMessage.Kind.PRE_VOTE) {
                onRequest(nowMicros, self, message);
            } else {
                onRelease(nowMicros, self, message);
            }
        }
    }
}
