package loadbalancer.lease;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import loadbalancer.util.Hashing;

/**
 * Leases of all slots at one member, as voter, candidate and holder: leases as by Gray and
 * Cheriton, granted by a majority of each slot's voters under epochs as in Paxos.
 *
 * <p>Of the members present, the one that {@link RendezvousPlacement} prefers sends a slot's voters
 * a pre-vote, and requests the lease if a majority would grant it. A voter denies all others while
 * its grant binds it, so a member that comes and goes unseats no holder. A holder may act until the
 * grants of a majority, counted from when it <em>requested</em> them, have run for nine tenths of
 * the lease: the first of these voters is free later than that by any clock within 5%. It has to
 * check {@link #currentLease} before each act. It transfers the slot when it leaves or when another
 * member has been preferred for the handover delay; after a crash its lease has to expire.
 *
 * <p>A deterministic state machine: time, messages and the view go in, {@link Action actions} come
 * out, to be taken in their order. Not thread-safe: one thread, the caller's event loop. A renewal
 * costs one message to each voter of the slots held, and its response.
 */
public final class LeaseManager {
    private static final long FINGERPRINT_MULTIPLIER = 0x9e3779b97f4a7c15L;
    private static final long AT_ONCE_MICROS = Long.MIN_VALUE / 2;
    // A draining member repeats its notice so often before others forget it.
    private static final int TRANSFER_NOTICES_PER_HANDOVER_DELAY = 3;

    private final LeaseContext context;
    private final LeaseOutbox outbox;
    private final Voter voter;
    private final LeaseSlot[] slots;
    private boolean viewChanged = true;
    private boolean departed;
    private long nextTransferNoticeMicros;

    /** What the caller has to do. */
    public sealed interface Action permits Send, Persist, Acquired, Released {}

    /** Send a datagram to that member. */
    public record Send(int to, LeaseMessage message) implements Action {}

    /** Persist the promises of all slots, synced, and then call {@link #onPersisted}. */
    public record Persist(long writeId, List<VoterPromise> promises) implements Action {}

    /** This member holds the slot under that epoch, as long as {@link #currentLease} says so. */
    public record Acquired(int slot, long epoch) implements Action {}

    /**
     * This member no longer holds the slot under that epoch.
     *
     * @param successor the member that it is transferred to, if {@link ReleaseReason#TRANSFERRED}
     */
    public record Released(int slot, long epoch, ReleaseReason reason, OptionalInt successor)
            implements Action {}

    /**
     * Makes a member that holds nothing and, as a voter, abstains for one lease.
     *
     * @param self its number, from 0
     * @param memberCount number of configured members
     * @param promises as persisted, one for each slot; empty if none were found
     * @param durable whether the caller persists promises
     * @param epochFloor epochs begin above it if there are no promises: the wall clock in ms
     * @param seed of random numbers; it has to differ between the processes of one member
     * @param nowMicros µs, monotonic, as in all methods
     * @throws InvalidLeaseArgumentException if {@code self} is no member or the promises are not
     *     for each slot
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
        InvalidLeaseArgumentException.require(
                self >= 0 && self < memberCount, "self", self, "0 or more, below " + memberCount);
        InvalidLeaseArgumentException.require(
                promises.isEmpty() || promises.size() == timing.slotCount(),
                "number of promises",
                promises.size(),
                "0 or " + timing.slotCount());
        long initialEpoch = Math.min(Math.max(0, epochFloor), LeaseMessage.MAX_EPOCH / 2);
        int processId =
                (int) Long.remainderUnsigned(Hashing.mix(seed), LeaseMessage.PROCESS_ID_LIMIT);
        outbox = new LeaseOutbox(self, processId, timing);
        context = new LeaseContext(self, memberCount, timing, outbox, seed);
        voter =
                new Voter(
                        timing,
                        promises.isEmpty()
                                ? initialPromises(timing.slotCount(), initialEpoch)
                                : promises,
                        durable,
                        nowMicros);
        slots =
                IntStream.range(0, timing.slotCount())
                        .mapToObj(slot -> newSlot(slot, initialEpoch))
                        .toArray(LeaseSlot[]::new);
    }

    private static List<VoterPromise> initialPromises(int slotCount, long initialEpoch) {
        return Collections.nCopies(slotCount, VoterPromise.initial(initialEpoch));
    }

    private LeaseSlot newSlot(int slot, long initialEpoch) {
        int[] voters =
                RendezvousPlacement.votersOf(
                        slot, context.memberCount(), context.timing().maxVoters());
        long highestEpoch = Math.max(initialEpoch, voter.promisedEpoch(slot));
        return new LeaseSlot(slot, voters, highestEpoch, context);
    }

    /** An independent copy of the same state, for model checking. */
    public LeaseManager(LeaseManager other) {
        context = new LeaseContext(other.context);
        outbox = context.outbox();
        voter = new Voter(other.voter);
        slots =
                Arrays.stream(other.slots)
                        .map(slot -> new LeaseSlot(slot, context))
                        .toArray(LeaseSlot[]::new);
        viewChanged = other.viewChanged;
        departed = other.departed;
        nextTransferNoticeMicros = other.nextTransferNoticeMicros;
    }

    /**
     * The state as a number, times relative to {@code nowMicros}, for model checking: equal for
     * states that differ in nothing that matters.
     */
    public long fingerprint(long nowMicros) {
        long hash = voter.fingerprint(nowMicros) * 31 + context.presenceHash();
        hash += departed ? 1 : 0;
        if (context.isDraining()) {
            hash += 2 + Math.max(0, nextTransferNoticeMicros - nowMicros);
        }
        for (LeaseSlot slot : slots) {
            hash = slot.appendFingerprint(hash, nowMicros);
        }
        return outbox.appendFingerprint(hash, nowMicros) * FINGERPRINT_MULTIPLIER;
    }

    // ------------------------------------------------------------ leases held

    /**
     * The lease that this member holds of a slot at this time. A caller that acts on another thread
     * or later has to compare {@link Lease#expiresAtMicros} with the clock once more.
     */
    public Optional<Lease> currentLease(long nowMicros, int slot) {
        SlotHolder holder = slots[slot].holder();
        if (!holder.isHolding()) {
            return Optional.empty();
        }
        Lease lease = new Lease(holder.epoch(), holder.expiresAtMicros());
        return nowMicros < lease.expiresAtMicros() ? Optional.of(lease) : Optional.empty();
    }

    /** The lease that this member holds of a key's slot at this time. */
    public Optional<Lease> currentLease(long nowMicros, String key) {
        return currentLease(nowMicros, RendezvousPlacement.slotOf(key, slots.length));
    }

    /** Decides which messages of holders to accept. */
    public FencingGuard fencingGuard() {
        return context.fencingGuard();
    }

    /** Until when this member grants nothing, because it may not know what it granted before. */
    public long abstainsUntilMicros() {
        return voter.abstainsUntilMicros();
    }

    // ------------------------------------------------------------ time and view

    /** Others can reach this member from now on; until now, an earlier process may have granted. */
    public void onReachable(long nowMicros) {
        voter.startAbstaining(nowMicros);
    }

    /** The view of which members are present has changed. */
    public List<Action> onMembershipChanged(long nowMicros, IntPredicate isPresent) {
        viewChanged |= context.updatePresence(isPresent);
        return tick(nowMicros);
    }

    /** When {@link #tick} has to be called next, µs; {@link Long#MAX_VALUE}: not at all. */
    public long nextTickMicros() {
        if (departed) {
            return Long.MAX_VALUE;
        }
        long nextMicros = viewChanged ? AT_ONCE_MICROS : voter.nextPersistMicros();
        if (context.isDraining()) {
            nextMicros = Math.min(nextMicros, nextTransferNoticeMicros);
        }
        for (LeaseSlot slot : slots) {
            nextMicros = Math.min(nextMicros, slot.nextTickMicros());
        }
        return nextMicros;
    }

    /** Time has passed. */
    public List<Action> tick(long nowMicros) {
        if (departed) {
            return List.of();
        }
        if (viewChanged) {
            viewChanged = false;
            for (LeaseSlot slot : slots) {
                slot.preference().update(context);
            }
        }
        for (LeaseSlot slot : slots) {
            slot.preference().expireResignation(context, nowMicros);
            slot.advance(nowMicros);
        }
        announceDrainingIfDue(nowMicros);
        renewIfDue(nowMicros);
        return takeActions(nowMicros);
    }

    private void announceDrainingIfDue(long nowMicros) {
        if (!context.isDraining() || nowMicros < nextTransferNoticeMicros) {
            return;
        }
        nextTransferNoticeMicros =
                nowMicros
                        + context.timing().handoverDelayMicros()
                                / TRANSFER_NOTICES_PER_HANDOVER_DELAY;
        for (LeaseSlot slot : slots) {
            slot.announceDraining();
        }
    }

    // Leases to be renewed soon go into the same datagrams.
    private void renewIfDue(long nowMicros) {
        if (Arrays.stream(slots).noneMatch(slot -> slot.holder().isRenewalDue(nowMicros, 0))) {
            return;
        }
        long withinMicros = context.timing().renewIntervalMicros() / 2;
        for (LeaseSlot slot : slots) {
            slot.renewIfDue(nowMicros, withinMicros);
        }
    }

    /**
     * Operators drain this member ({@code draining}), or no longer do. While it is draining it
     * wants no slot: it transfers at once what it holds and repeats this to those concerned, who
     * forget it after the handover delay. It remains a voter.
     */
    public List<Action> setDraining(long nowMicros, boolean draining) {
        if (departed) {
            return List.of();
        }
        context.setDraining(draining);
        nextTransferNoticeMicros = nowMicros;
        for (LeaseSlot slot : slots) {
            slot.onDrainingChanged(nowMicros);
        }
        return tick(nowMicros);
    }

    /** This member shuts down: gives up what it holds, and takes part in nothing after that. */
    public List<Action> leave(long nowMicros) {
        if (departed) {
            return List.of();
        }
        for (LeaseSlot slot : slots) {
            slot.leave();
        }
        List<Action> actions = takeActions(nowMicros);
        departed = true;
        return actions;
    }

    // ------------------------------------------------------------ messages

    /** A message has arrived from another member. */
    public List<Action> onPeerMessage(long nowMicros, int from, LeaseMessage message) {
        if (departed || !isOtherMember(from) || !hasKnownSlots(message)) {
            return List.of();
        }
        dispatch(nowMicros, from, message);
        return takeActions(nowMicros);
    }

    private boolean isOtherMember(int from) {
        return from >= 0 && from < context.memberCount() && from != context.self();
    }

    private boolean hasKnownSlots(LeaseMessage message) {
        return message.entries().stream().allMatch(entry -> entry.slot() < slots.length);
    }

    private void dispatch(long nowMicros, int from, LeaseMessage message) {
        switch (message.kind()) {
            case REQUEST, PRE_VOTE -> onRequest(nowMicros, from, message);
            case RELEASE, TRANSFER -> onRelease(nowMicros, from, message);
            case PRE_VOTE_GRANTED, GRANTED, DENIED -> onResponse(nowMicros, from, message);
        }
    }

    private void onRequest(long nowMicros, int from, LeaseMessage message) {
        for (LeaseMessage.Entry entry : message.entries()) {
            slots[entry.slot()].preference().onRequest(from, context);
        }
        boolean binding = message.kind() == LeaseMessage.Kind.REQUEST;
        Voter.VoteResult result =
                binding
                        ? voter.vote(nowMicros, from, message)
                        : voter.preVote(nowMicros, from, message);
        LeaseMessage.Kind grantKind =
                binding ? LeaseMessage.Kind.GRANTED : LeaseMessage.Kind.PRE_VOTE_GRANTED;
        respond(nowMicros, from, response(grantKind, message, result.granted()));
        respond(nowMicros, from, response(LeaseMessage.Kind.DENIED, message, result.denied()));
    }

    private static LeaseMessage response(
            LeaseMessage.Kind kind, LeaseMessage request, List<LeaseMessage.Entry> entries) {
        return new LeaseMessage(kind, request.processId(), request.sequenceNumber(), entries);
    }

    private void respond(long nowMicros, int to, LeaseMessage message) {
        if (message.entries().isEmpty()) {
            return;
        }
        if (to == context.self()) {
            onResponse(nowMicros, to, message);
        } else {
            outbox.add(new Send(to, message));
        }
    }

    private void onRelease(long nowMicros, int from, LeaseMessage message) {
        voter.release(nowMicros, from, message);
        for (LeaseMessage.Entry entry : message.entries()) {
            LeaseSlot slot = slots[entry.slot()];
            if (message.kind() == LeaseMessage.Kind.TRANSFER && from != context.self()) {
                slot.onTransfer(from, entry.epoch(), nowMicros);
            } else {
                slot.onRelease(entry.epoch());
            }
        }
    }

    private void onResponse(long nowMicros, int from, LeaseMessage message) {
        OptionalLong requestedAtMicros = outbox.requestedAtMicros(message);
        if (requestedAtMicros.isEmpty()) {
            // To another process of this member, or too late to count.
            return;
        }
        boolean binding = message.kind() == LeaseMessage.Kind.GRANTED;
        for (LeaseMessage.Entry entry : message.entries()) {
            LeaseSlot slot = slots[entry.slot()];
            long epoch = entry.epoch();
            if (message.kind() == LeaseMessage.Kind.DENIED) {
                slot.onDenied(from, epoch, requestedAtMicros.getAsLong(), nowMicros);
            } else {
                slot.onGranted(from, binding, epoch, requestedAtMicros.getAsLong(), nowMicros);
            }
        }
    }

    /** The write of {@link Persist} has ended; after a failure it is tried again later. */
    public List<Action> onPersisted(long nowMicros, long writeId, boolean succeeded) {
        List<Voter.PendingGrant> confirmed = voter.onPersisted(nowMicros, writeId, succeeded);
        if (departed) {
            return List.of();
        }
        for (Voter.PendingGrant grant : confirmed) {
            LeaseMessage.Entry entry = new LeaseMessage.Entry(grant.slot(), grant.epoch());
            LeaseMessage message =
                    new LeaseMessage(
                            LeaseMessage.Kind.GRANTED,
                            grant.processId(),
                            grant.sequenceNumber(),
                            List.of(entry));
            respond(nowMicros, grant.to(), message);
        }
        return takeActions(nowMicros);
    }

    private List<Action> takeActions(long nowMicros) {
        outbox.flush(nowMicros, message -> dispatch(nowMicros, context.self(), message));
        voter.takePersist(nowMicros).ifPresent(outbox::add);
        return outbox.takeActions();
    }
}
