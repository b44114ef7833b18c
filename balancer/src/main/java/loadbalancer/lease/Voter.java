package loadbalancer.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * One member as a voter of all slots.
 *
 * <p>A grant binds it for a lease: until then, by its own clock, no other process is granted the
 * slot, and no lower epoch ever. It abstains for a lease after its start, because it does not know
 * what an earlier process granted: no grant is forgotten while it binds, whatever has become of the
 * disk. Promises are persisted before they are sent so that epochs never go back.
 */
final class Voter {
    private static final long PERSIST_RETRY_MICROS = 1_000_000;

    private final LeaseTiming timing;
    private final VoterPromise[] promises;
    // What is known to be on disk; only grants under these promises are sent.
    private final VoterPromise[] persistedPromises;
    private final long[] grantedUntilMicros;
    // By slot: the grant that waits for its promise to be persisted, or null.
    private final PendingGrant[] pendingGrants;
    private final boolean durable;
    // What is being written, or null.
    private VoterPromise[] writingPromises;
    private long lastWriteId;
    // Whether promises have changed since the last write began.
    private boolean dirty;
    private long persistNotBeforeMicros;
    private long abstainsUntilMicros;

    /** A grant to be sent once the promise for it is persisted. */
    record PendingGrant(int to, int processId, int sequenceNumber, int slot, long epoch) {}

    /** The entries to be granted and denied at once; those in neither wait for the disk. */
    record VoteResult(List<LeaseMessage.Entry> granted, List<LeaseMessage.Entry> denied) {
        VoteResult() {
            this(new ArrayList<>(), new ArrayList<>());
        }

        private void deny(int slot, VoterPromise promise) {
            denied.add(new LeaseMessage.Entry(slot, promise.epoch()));
        }
    }

    /**
     * Makes a voter that abstains for a lease.
     *
     * @param promises of all slots
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

    /** Abstains for a lease from now on: an earlier process may have granted until now. */
    void startAbstaining(long nowMicros) {
        abstainsUntilMicros = nowMicros + timing.leaseMicros();
    }

    long abstainsUntilMicros() {
        return abstainsUntilMicros;
    }

    long promisedEpoch(int slot) {
        return promises[slot].epoch();
    }

    /** Whether the slots of a pre-vote would be granted now; nothing is promised. */
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

    /** Grants what of a request can be granted. */
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

    /** Frees the slots that the sender was granted under these epochs. */
    void release(long nowMicros, int from, LeaseMessage message) {
        int granteeId = VoterPromise.granteeId(from, message.processId());
        for (LeaseMessage.Entry entry : message.entries()) {
            if (promises[entry.slot()].equals(new VoterPromise(entry.epoch(), granteeId))) {
                grantedUntilMicros[entry.slot()] = nowMicros;
                pendingGrants[entry.slot()] = null;
            }
        }
    }

    /** A write of all promises, if one is due; at most one is under way. */
    Optional<LeaseManager.Persist> takePersist(long nowMicros) {
        if (!canWrite() || nowMicros < persistNotBeforeMicros) {
            return Optional.empty();
        }
        dirty = false;
        writingPromises = promises.clone();
        return Optional.of(new LeaseManager.Persist(++lastWriteId, List.of(writingPromises)));
    }

    /** When {@link #takePersist} has to be called next; {@link Long#MAX_VALUE}: not needed. */
    long nextPersistMicros() {
        return canWrite() ? persistNotBeforeMicros : Long.MAX_VALUE;
    }

    private boolean canWrite() {
        return durable && dirty && writingPromises == null;
    }

    /** The write has ended; returns the grants that may be sent now. */
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

    /** State as a number, times relative to {@code nowMicros}. */
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
