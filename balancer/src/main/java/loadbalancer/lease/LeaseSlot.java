package loadbalancer.lease;

import java.util.Arrays;
import java.util.OptionalInt;
import java.util.stream.IntStream;

/**
 * One slot at one member: joins the roles of {@link SlotCandidate candidate} and {@link SlotHolder
 * holder} with the {@link HolderPreference member that should hold it}. A holder may be a candidate
 * at the same time, for a higher epoch of its own slot.
 */
final class LeaseSlot {
    private final int slot;
    private final int[] voters;
    private final LeaseContext context;
    private final SlotCandidate candidate;
    private final SlotHolder holder;
    private final HolderPreference preference;
    // The highest epoch that was requested or heard of.
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

    /** When {@link #advance} has to be called next, µs. */
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

    /** Does what time or a change of preference has made due, but for renewals. */
    void advance(long nowMicros) {
        if (holder.isExpired(nowMicros)) {
            relinquish(ReleaseReason.EXPIRED);
            candidate.backOff(nowMicros);
        }
        if (holder.isHolding() && holder.isHandoverDue(isSelfPreferred(), nowMicros)) {
            relinquish(ReleaseReason.TRANSFERRED);
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

    /** Renews the lease held if that is due within {@code withinMicros}. */
    void renewIfDue(long nowMicros, long withinMicros) {
        if (holder.isRenewalDue(nowMicros, withinMicros)) {
            holder.onRenewalSent(nowMicros);
            enqueueToVoters(LeaseMessage.Kind.REQUEST, holder.epoch());
        }
    }

    // A holder that needs a higher epoch has its voters already: it sends no pre-vote.
    private void request(boolean binding, long nowMicros) {
        if (highestEpoch >= LeaseMessage.MAX_EPOCH) {
            // Only a forged message has such an epoch.
            return;
        }
        long epoch = highestEpoch + 1;
        if (binding) {
            highestEpoch = epoch;
        }
        candidate.request(epoch, binding, nowMicros);
    }

    // Beside a lease that is held the voters are not released: their grants count for it.
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

    private void relinquish(ReleaseReason reason) {
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

    // Frees the voters and lets the preferred member request at once.
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

    /** This member shuts down: gives up the slot, or the request for it. */
    void leave() {
        if (holder.isHolding()) {
            preference.excludeSelf(context);
            relinquish(ReleaseReason.LEAVING);
        } else {
            releaseRequest();
        }
    }

    /** Operators drain this member, or no longer do. */
    void onDrainingChanged(long nowMicros) {
        preference.update(context);
        if (context.isDraining() && holder.isHolding()) {
            relinquish(ReleaseReason.DRAINING);
        } else if (context.isDraining() && candidate.isRequesting()) {
            abandonRequest(nowMicros);
        }
    }

    /** Repeats, while this member is draining, that it does not want a slot it is preferred for. */
    void announceDraining() {
        if (preference.prefersSelfIgnoringDraining(context)) {
            announceTransfer(0);
        }
    }

    /** Another member, or this one, gives up a request for the slot. */
    void onRelease(long epoch) {
        highestEpoch = Math.max(highestEpoch, epoch);
    }

    /**
     * Another member gives up the slot. Only this ends a backoff: if the release of a request did,
     * two members that each prefer themselves would wake each other without end.
     */
    void onTransfer(int from, long epoch, long nowMicros) {
        highestEpoch = Math.max(highestEpoch, epoch);
        candidate.resetBackoff(nowMicros);
        preference.onTransfer(from, context, nowMicros);
        advance(nowMicros);
    }

    /** A grant, or a pre-vote that would grant ({@code binding} false), for this member. */
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

    /** A denial for this member; {@code epoch} is the highest that the voter knows. */
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

    /** Continues a hash by the state of this slot, times relative to {@code nowMicros}. */
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
