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
 * Manages the leases of all slots at one member, in its roles as voter, candidate and holder. The
 * leases are those of Gray and Cheriton, granted by a majority of each slot's voters under epochs
 * as in Paxos.
 *
 * <p>The present member that {@link RendezvousPlacement} prefers for a slot sends a pre-vote to the
 * slot's voters and requests the lease if a majority would grant it. A voter denies all other
 * members while its grant is in force, so a member that repeatedly joins and leaves displaces no
 * holder. A holder may act for nine tenths of the lease, counted from when it <em>requested</em>
 * the grants of a majority. Every grant of that majority ends later than that if all clocks run
 * within 5% of real time. The holder has to check {@link #currentLease} before each action that
 * needs the lease. It transfers the slot when it leaves, when it is drained, or when another member
 * has been preferred for the handover delay. After a crash its lease has to expire.
 *
 * <p>This is a deterministic state machine. Its inputs are the time, messages and the view; its
 * outputs are {@link Action actions}, which the caller performs in order. It is not thread-safe:
 * only the caller's event loop uses it. A renewal costs one message to each voter of the slots
 * held, and its response.
 */
public final class LeaseManager {
    private static final long FINGERPRINT_MULTIPLIER = 0x9e3779b97f4a7c15L;
    private static final long IMMEDIATE_TICK_MICROS = Long.MIN_VALUE / 2;
    // Number of times that a draining member repeats its notice before the others forget it.
    private static final int TRANSFER_NOTICES_PER_HANDOVER_DELAY = 3;

    private final LeaseContext context;
    private final LeaseOutbox outbox;
    private final Voter voter;
    private final LeaseSlot[] slots;
    private boolean viewChanged = true;
    private boolean departed;
    private long nextTransferNoticeMicros;

    /** An operation that the caller has to perform. */
    public sealed interface Action permits Send, Persist, Acquired, Released {}

    /** Asks the caller to send a datagram to member {@code to}. */
    public record Send(int to, LeaseMessage message) implements Action {}

    /**
     * Asks the caller to persist and sync the promises of all slots, and then to call {@link
     * #onPersisted}.
     */
    public record Persist(long writeId, List<VoterPromise> promises) implements Action {}

    /** Reports that this member holds the slot while {@link #currentLease} returns its lease. */
    public record Acquired(int slot, long epoch) implements Action {}

    /**
     * Reports that this member no longer holds the slot under that epoch.
     *
     * @param successor the member that receives the slot; present if the reason is {@link
     *     ReleaseReason#TRANSFERRED}
     */
    public record Released(int slot, long epoch, ReleaseReason reason, OptionalInt successor)
            implements Action {}

    /**
     * Creates a member that holds no lease and, as a voter, abstains for the length of one lease.
     *
     * @param self number of this member, from 0
     * @param memberCount number of configured members
     * @param promises the persisted promises, one for each slot; empty if none were found
     * @param durable whether the caller persists promises
     * @param epochFloor the wall clock in ms; without promises, epochs begin above it
     * @param seed seed of the random numbers; has to differ between the processes of one member
     * @param nowMicros monotonic clock, µs, as in all methods
     * @throws InvalidLeaseArgumentException if {@code self} is not below {@code memberCount}, or if
     *     the number of promises is neither 0 nor the number of slots
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

    /** Creates an independent copy of the same state, for model checking. */
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
     * Returns a hash of the state, with times relative to {@code nowMicros}, for model checking.
     * States with the same future behavior have the same hash.
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

    /**
     * Returns the lease that this member holds of a slot at this time. A caller that acts on
     * another thread or later has to compare {@link Lease#expiresAtMicros} with the clock again.
     */
    public Optional<Lease> currentLease(long nowMicros, int slot) {
        SlotHolder holder = slots[slot].holder();
        if (!holder.isHolding()) {
            return Optional.empty();
        }
        Lease lease = new Lease(holder.epoch(), holder.expiresAtMicros());
        return nowMicros < lease.expiresAtMicros() ? Optional.of(lease) : Optional.empty();
    }

    /** Returns the lease that this member holds of a key's slot at this time. */
    public Optional<Lease> currentLease(long nowMicros, String key) {
        return currentLease(nowMicros, RendezvousPlacement.slotOf(key, slots.length));
    }

    /** Returns the guard that decides which messages of holders to accept. */
    public FencingGuard fencingGuard() {
        return context.fencingGuard();
    }

    /**
     * Returns the time, in µs, until which this member grants nothing because it may not know what
     * it granted before.
     */
    public long abstainsUntilMicros() {
        return voter.abstainsUntilMicros();
    }

    /**
     * Handles the moment from which others can reach this member. Until then, an earlier process of
     * this member may have granted leases, so the voter abstains for one lease from now on.
     */
    public void onReachable(long nowMicros) {
        voter.startAbstaining(nowMicros);
    }

    /** Handles a change of the view of which members are present. */
    public List<Action> onMembershipChanged(long nowMicros, IntPredicate isPresent) {
        viewChanged |= context.updatePresence(isPresent);
        return tick(nowMicros);
    }

    /**
     * Returns when {@link #tick} has to be called next, µs; {@link Long#MAX_VALUE} if it need not
     * be called.
     */
    public long nextTickMicros() {
        if (departed) {
            return Long.MAX_VALUE;
        }
        long nextMicros = viewChanged ? IMMEDIATE_TICK_MICROS : voter.nextPersistMicros();
        if (context.isDraining()) {
            nextMicros = Math.min(nextMicros, nextTransferNoticeMicros);
        }
        for (LeaseSlot slot : slots) {
            nextMicros = Math.min(nextMicros, slot.nextTickMicros());
        }
        return nextMicros;
    }

    /** Performs everything that is due at this time. */
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

    // Renews leases that are due soon in the same datagrams as those that are due now.
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
     * Starts or ends the draining of this member. A draining member requests no slot: it transfers
     * its slots immediately and repeats the transfer notice to the voters and successors, which
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

    /** Shuts this member down: releases its leases and requests, and ignores all later calls. */
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

    /** Handles a message from another member. */
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
            // The response is to an earlier process of this member, or is too late to count.
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

    /** Handles the end of a {@link Persist} write; a failed write is retried later. */
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
