package loadbalancer.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Votes for all slots on behalf of one member.
 *
 * <p>A grant is in force for one lease by the voter's own clock. During that time the voter grants
 * the slot to no other process, and it never grants a lower epoch. After its start the voter
 * abstains for one lease because it does not know what an earlier process granted; so every grant
 * is honored while it is in force, even if the disk has lost it. Promises are persisted before
 * grants are sent so that epochs never decrease. Only the caller's event loop uses this class.
 */
final class Voter {
    private static final long PERSIST_RETRY_MICROS = 1_000_000;

    private final LeaseTiming timing;
    private final VoterPromise[] promises;
    // The promises known to be on disk. If durable, only grants under these are sent.
    private final VoterPromise[] persistedPromises;
    private final long[] grantedUntilMicros;
    // The grant of each slot that waits for its promise to be persisted, or null.
    private final PendingGrant[] pendingGrants;
    private final boolean durable;
    // The promises that are being written, or null.
    private VoterPromise[] writingPromises;
    private long lastWriteId;
    // True if promises have changed since the last write began, or if that write failed.
    private boolean dirty;
    private long persistNotBeforeMicros;
    private long abstainsUntilMicros;

    /** A grant that is sent once its promise is persisted. */
    record PendingGrant(int to, int processId, int sequenceNumber, int slot, long epoch) {}

    /**
     * The entries of a request that are granted or denied immediately. Entries in neither list wait
     * for their promise to be persisted.
     */
    record VoteResult(List<LeaseMessage.Entry> granted, List<LeaseMessage.Entry> denied) {
        VoteResult() {
            this(new ArrayList<>(), new ArrayList<>());
        }

        private void deny(int slot, VoterPromise promise) {
            denied.add(new LeaseMessage.Entry(slot, promise.epoch()));
        }
    }

    /**
     * Creates a voter that abstains for one lease.
     *
     * @param promises the promises of all slots
     * @param durable whether promises are persisted before they are sent
     */
    Voter(LeaseTiming timing, List<VoterPromise> promises, boolean durable, long nowMicros) {
        this.timing = timing;
        this.promises = promises.toArray(VoterPromise[]::new);
        this.persistedPromises = this.promises.clone();
        this.grantedUntilMicros = new long[this.promises.length];
        this.pendingGrants = new PendingGrant[this.promises.length];
        this.durable = durable;
        startAbstaining(nowMicros);
    }

    Voter(Voter other) {
        timing = other.timing;
        promises = other.promises.clone();
        persistedPromises = other.persistedPromises.clone();
        grantedUntilMicros = other.grantedUntilMicros.clone();
        pendingGrants = other.pendingGrants.clone();
        durable = other.durable;
        writingPromises = other.writingPromises;
        lastWriteId = other.lastWriteId;
        dirty = other.dirty;
        persistNotBeforeMicros = other.persistNotBeforeMicros;
        abstainsUntilMicros = other.abstainsUntilMicros;
    }

    /**
     * Abstains for one lease from now on, because an earlier process may have granted until now.
     */
    void startAbstaining(long nowMicros) {
        abstainsUntilMicros = nowMicros + timing.leaseMicros();
    }

    long abstainsUntilMicros() {
        return abstainsUntilMicros;
    }

    long promisedEpoch(int slot) {
        return promises[slot].epoch();
    }

    /** Returns which slots of a pre-vote would be granted now; makes no promise. */
    VoteResult preVote(long nowMicros, int from, LeaseMessage message) {
        VoteResult result = new VoteResult();
        int granteeId = VoterPromise.granteeId(from, message.processId());
        for (LeaseMessage.Entry entry : message.entries()) {
            if (canGrant(nowMicros, granteeId, entry)) {
                result.granted.add(entry);
            } else {
                result.deny(entry.slot(), promises[entry.slot()]);
            }
        }
        return result;
    }

    /** Grants each slot of a request that can be granted and denies the others. */
    VoteResult vote(long nowMicros, int from, LeaseMessage message) {
        VoteResult result = new VoteResult();
        int granteeId = VoterPromise.granteeId(from, message.processId());
        for (LeaseMessage.Entry entry : message.entries()) {
            int slot = entry.slot();
            if (!canGrant(nowMicros, granteeId, entry)) {
                result.deny(slot, promises[slot]);
                continue;
            }
            grantedUntilMicros[slot] = nowMicros + timing.leaseMicros();
            if (entry.epoch() > promises[slot].epoch()) {
                promises[slot] = new VoterPromise(entry.epoch(), granteeId);
                dirty = true;
            }
            if (!durable || isPersisted(slot)) {
                result.granted.add(entry);
            } else {
                pendingGrants[slot] =
                        new PendingGrant(
                                from,
                                message.processId(),
                                message.sequenceNumber(),
                                slot,
                                entry.epoch());
            }
        }
        return result;
    }

    private boolean canGrant(long nowMicros, int granteeId, LeaseMessage.Entry entry) {
        VoterPromise promise = promises[entry.slot()];
        boolean sameGrantee = promise.granteeId() == granteeId;
        boolean isFree = sameGrantee || nowMicros >= grantedUntilMicros[entry.slot()];
        boolean isRenewal = sameGrantee && entry.epoch() == promise.epoch();
        return nowMicros >= abstainsUntilMicros
                && isFree
                && (isRenewal || entry.epoch() > promise.epoch());
    }

    private boolean isPersisted(int slot) {
        return persistedPromises[slot].equals(promises[slot]);
    }

    /** Ends the grants that the sender was given under these epochs. */
    void release(long nowMicros, int from, LeaseMessage message) {
        int granteeId = VoterPromise.granteeId(from, message.processId());
        for (LeaseMessage.Entry entry : message.entries()) {
            if (promises[entry.slot()].equals(new VoterPromise(entry.epoch(), granteeId))) {
                grantedUntilMicros[entry.slot()] = nowMicros;
                pendingGrants[entry.slot()] = null;
            }
        }
    }

    /** Returns a write of all promises if one is due and no other is in progress. */
    Optional<LeaseManager.Persist> takePersist(long nowMicros) {
        if (!canWrite() || nowMicros < persistNotBeforeMicros) {
            return Optional.empty();
        }
        dirty = false;
        writingPromises = promises.clone();
        return Optional.of(new LeaseManager.Persist(++lastWriteId, List.of(writingPromises)));
    }

    /**
     * Returns when {@link #takePersist} has to be called next, µs; {@link Long#MAX_VALUE} if it
     * need not be called.
     */
    long nextPersistMicros() {
        return canWrite() ? persistNotBeforeMicros : Long.MAX_VALUE;
    }

    private boolean canWrite() {
        return durable && dirty && writingPromises == null;
    }

    /** Handles the end of a write; returns the grants that may be sent now. */
    List<PendingGrant> onPersisted(long nowMicros, long writeId, boolean succeeded) {
        if (writingPromises == null || writeId != lastWriteId) {
            return List.of();
        }
        List<PendingGrant> confirmed = new ArrayList<>();
        for (int slot = 0; succeeded && slot < promises.length; slot++) {
            persistedPromises[slot] = writingPromises[slot];
            if (pendingGrants[slot] != null && isPersisted(slot)) {
                confirmed.add(pendingGrants[slot]);
                pendingGrants[slot] = null;
            }
        }
        writingPromises = null;
        dirty |= !succeeded;
        persistNotBeforeMicros = succeeded ? nowMicros : nowMicros + PERSIST_RETRY_MICROS;
        return confirmed;
    }

    /** Returns a hash of the state, with times relative to {@code nowMicros}. */
    long fingerprint(long nowMicros) {
        long hash =
                (Arrays.hashCode(promises) * 31L + Arrays.hashCode(pendingGrants)) * 31
                        + Arrays.hashCode(persistedPromises);
        for (long untilMicros : grantedUntilMicros) {
            hash = hash * 31 + Math.max(0, untilMicros - nowMicros);
        }
        hash = hash * 31 + (writingPromises == null ? 0 : Arrays.hashCode(writingPromises));
        return (hash * 31 + Math.max(0, abstainsUntilMicros - nowMicros)) * 31
                + (dirty ? 1 : 0)
                + Math.max(0, persistNotBeforeMicros - nowMicros) * 7;
    }
}
