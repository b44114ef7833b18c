package loadbalancer.lease;

import java.util.Arrays;
import java.util.OptionalInt;
import java.util.stream.IntStream;

/**
 * Coordinates one slot at one member: its roles as {@link SlotCandidate candidate} and {@link
 * SlotHolder holder}, and the {@link HolderPreference member that should hold the slot}. A holder
 * may at the same time be a candidate for a higher epoch of its own slot. Only the caller's event
 * loop uses it.
 */
final class LeaseSlot {
    private final int slot;
    private final int[] voters;
    private final LeaseContext context;
    private final SlotCandidate candidate;
    private final SlotHolder holder;
    private final HolderPreference preference;
    // The highest epoch that this member has requested or learned from others.
    private long highestEpoch;

    LeaseSlot(int slot, int[] voters, long highestEpoch, LeaseContext context) {
        this.slot = slot;
        this.voters = voters;
        this.highestEpoch = highestEpoch;
        this.context = context;
        candidate = new SlotCandidate(slot, voters, context);
        holder = new SlotHolder(context.timing());
        preference = new HolderPreference(slot);
    }

    LeaseSlot(LeaseSlot other, LeaseContext context) {
        slot = other.slot;
        voters = other.voters;
        highestEpoch = other.highestEpoch;
        this.context = context;
        candidate = new SlotCandidate(other.candidate, context);
        holder = new SlotHolder(other.holder);
        preference = new HolderPreference(other.preference);
    }

    SlotHolder holder() {
        return holder;
    }

    HolderPreference preference() {
        return preference;
    }

    /** Returns when {@link #advance} has to be called next, µs. */
    long nextTickMicros() {
        long nextMicros = preference.nextTickMicros();
        if (holder.isHolding()) {
            nextMicros = Math.min(nextMicros, holder.nextTickMicros());
        }
        if (candidate.isRequesting()) {
            nextMicros = Math.min(nextMicros, candidate.nextTickMicros());
        } else if (!holder.isHolding() && isSelfPreferred()) {
            nextMicros = Math.min(nextMicros, candidate.nextRequestMicros());
        }
        return nextMicros;
    }

    private boolean isSelfPreferred() {
        return preference.preferredMember() == context.self();
    }

    /** Performs everything that time or a change of preference has made due, except renewals. */
    void advance(long nowMicros) {
        if (holder.isExpired(nowMicros)) {
            releaseLease(ReleaseReason.EXPIRED);
            candidate.backOff(nowMicros);
        }
        if (holder.isHolding() && holder.isHandoverDue(isSelfPreferred(), nowMicros)) {
            releaseLease(ReleaseReason.TRANSFERRED);
        }
        if (candidate.isTimedOut(nowMicros)) {
            abandonRequest(nowMicros);
        }
        candidate.resendIfDue(nowMicros);
        if (!holder.isHolding()
                && !candidate.isRequesting()
                && isSelfPreferred()
                && candidate.mayRequest(nowMicros)) {
            request(false, nowMicros);
        }
    }

    /** Renews the lease held if that is due within {@code withinMicros} µs. */
    void renewIfDue(long nowMicros, long withinMicros) {
        if (holder.isRenewalDue(nowMicros, withinMicros)) {
            holder.onRenewalSent(nowMicros);
            enqueueToVoters(LeaseMessage.Kind.REQUEST, holder.epoch());
        }
    }

    // A holder that needs a higher epoch already has the grants of a majority, so it sends a
    // binding request without a pre-vote.
    private void request(boolean binding, long nowMicros) {
        if (highestEpoch >= LeaseMessage.MAX_EPOCH) {
            // Only a forged message contains such an epoch.
            return;
        }
        long epoch = highestEpoch + 1;
        if (binding) {
            highestEpoch = epoch;
        }
        candidate.request(epoch, binding, nowMicros);
    }

    // If a lease is held, the voters are not released, because their grants count for that lease.
    private void abandonRequest(long nowMicros) {
        if (!holder.isHolding()) {
            releaseRequest();
        }
        candidate.abandon(nowMicros);
    }

    private void releaseRequest() {
        if (candidate.isRequestingBinding()) {
            enqueueToVoters(LeaseMessage.Kind.RELEASE, candidate.epoch());
        }
    }

    private void releaseLease(ReleaseReason reason) {
        OptionalInt successor =
                reason == ReleaseReason.TRANSFERRED
                        ? OptionalInt.of(preference.preferredMember())
                        : OptionalInt.empty();
        context.outbox().add(new LeaseManager.Released(slot, holder.epoch(), reason, successor));
        announceTransfer(holder.epoch());
        if (candidate.isRequestingBinding()) {
            announceTransfer(candidate.epoch());
        }
        holder.clear();
        candidate.clear();
    }

    // Releases the voters' grants and allows the preferred member to request immediately.
    private void announceTransfer(long epoch) {
        enqueueToVoters(LeaseMessage.Kind.TRANSFER, epoch);
        int successor = preference.preferredMember();
        if (successor != RendezvousPlacement.NO_MEMBER
                && IntStream.of(voters).noneMatch(voter -> voter == successor)) {
            context.outbox()
                    .enqueue(
                            successor,
                            LeaseMessage.Kind.TRANSFER,
                            new LeaseMessage.Entry(slot, epoch));
        }
    }

    private void enqueueToVoters(LeaseMessage.Kind kind, long epoch) {
        context.outbox().enqueueAll(voters, kind, new LeaseMessage.Entry(slot, epoch));
    }

    /** Releases the slot, or the request for it, because this member shuts down. */
    void leave() {
        if (holder.isHolding()) {
            preference.excludeSelf(context);
            releaseLease(ReleaseReason.LEAVING);
        } else {
            releaseRequest();
        }
    }

    /** Handles the start or the end of this member's draining. */
    void onDrainingChanged(long nowMicros) {
        preference.update(context);
        if (context.isDraining() && holder.isHolding()) {
            releaseLease(ReleaseReason.DRAINING);
        } else if (context.isDraining() && candidate.isRequesting()) {
            abandonRequest(nowMicros);
        }
    }

    /** Repeats that this member, while draining, does not want the slot it is preferred for. */
    void announceDraining() {
        if (preference.prefersSelfIgnoringDraining(context)) {
            announceTransfer(0);
        }
    }

    /** Handles the release of a request for the slot by another member or this one. */
    void onRelease(long epoch) {
        highestEpoch = Math.max(highestEpoch, epoch);
    }

    /**
     * Handles the transfer of the slot by another member. Only a transfer ends a backoff: if the
     * release of a request did, two members that each prefer themselves would end each other's
     * backoff in an endless loop.
     */
    void onTransfer(int from, long epoch, long nowMicros) {
        highestEpoch = Math.max(highestEpoch, epoch);
        candidate.resetBackoff(nowMicros);
        preference.onTransfer(from, context, nowMicros);
        advance(nowMicros);
    }

    /**
     * Handles a grant for this member.
     *
     * @param binding false for the answer to a pre-vote, which only states that the voter would
     *     grant the slot
     * @param requestedAtMicros when the request was sent, µs
     */
    void onGranted(int voter, boolean binding, long epoch, long requestedAtMicros, long nowMicros) {
        int voterIndex = Arrays.binarySearch(voters, voter);
        if (voterIndex < 0) {
            return;
        }
        if (binding && holder.isHolding(epoch)) {
            holder.recordGrant(voterIndex, requestedAtMicros);
        } else if (candidate.isRequesting(epoch, binding)
                && candidate.recordGrant(voterIndex, requestedAtMicros, nowMicros)) {
            if (binding) {
                acquire(requestedAtMicros);
            } else {
                request(true, nowMicros);
            }
        }
    }

    private void acquire(long requestedAtMicros) {
        if (holder.isHolding()) {
            context.outbox()
                    .add(
                            new LeaseManager.Released(
                                    slot,
                                    holder.epoch(),
                                    ReleaseReason.SUPERSEDED,
                                    OptionalInt.empty()));
        }
        holder.acquire(candidate.takeMajority(), requestedAtMicros);
        context.fencingGuard().accept(slot, holder.epoch());
        context.outbox().add(new LeaseManager.Acquired(slot, holder.epoch()));
    }

    /**
     * Handles a denial for this member.
     *
     * @param epoch highest epoch that the voter knows
     * @param requestedAtMicros when the request was sent, µs
     */
    void onDenied(int voter, long epoch, long requestedAtMicros, long nowMicros) {
        if (Arrays.binarySearch(voters, voter) < 0) {
            return;
        }
        highestEpoch = Math.max(highestEpoch, epoch);
        if (candidate.isRequesting()) {
            if (candidate.recordDenial(epoch, requestedAtMicros)) {
                abandonRequest(nowMicros);
            }
        } else if (holder.isHolding()
                && epoch > holder.epoch()
                && candidate.mayRequest(nowMicros)) {
            // The voter has promised a higher epoch, or has lost its promise.
            request(true, nowMicros);
        }
    }

    /** Appends the state of this slot to a hash, with times relative to {@code nowMicros}. */
    long appendFingerprint(long previousHash, long nowMicros) {
        long hash = previousHash * 31 + highestEpoch;
        hash = hash * 31 + holder.fingerprint(nowMicros);
        hash = hash * 31 + candidate.requestFingerprint(nowMicros);
        hash =
                hash * 31
                        + candidate.backoffFingerprint(nowMicros)
                        + preference.fingerprint(nowMicros);
        return hash * 31 + holder.notPreferredMicros(nowMicros);
    }
}
