package loadbalancer.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * One member as a voter. For each slot it promises one process at a time: nobody else is granted
 * the slot until the grant's lease is over by this member's clock, and no epoch below it ever. For
 * a lease after its start it grants nothing, since it does not know what it granted before: so no
 * grant is forgotten while it binds, whatever has become of the disk. What is kept there, synced
 * before an answer is given, is for epochs never to go back.
 */
final class Voter {
    // µs after a disk that failed
    private static final long PERSIST_RETRY_MICROS = 1_000_000;

    private final LeaseTiming timing;
    private final VoterPromise[] promises;
    // The same as kept; only these are told
    private final VoterPromise[] persistedPromises;
    private final long[] grantedUntilMicros;
    // Grants that are not kept yet, one a slot at most
    private final PendingGrant[] pendingGrants;
    private final boolean durable;
    // Under way to the disk, or null
    private VoterPromise[] writingPromises;
    // Tables given to the disk
    private long lastWriteId;
    // Since the last one
    private boolean dirty;
    private long persistNotBeforeMicros;
    private long abstainsUntilMicros;

    /** A grant that may be told once the promise under it is kept. */
    record PendingGrant(int from, int processId, int sequenceNumber, int slot, long epoch) {}

    /** What an asking gets: at once, or ({@code later}) once it is kept. */
    record VoteResult(List<LeaseMessage.Entry> granted, List<LeaseMessage.Entry> denied) {}

    /** {@code durable}: promises are kept before they are told. */
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

    /** From now on it can be asked: what an earlier process has granted was granted before. */
    void startAbstaining(long nowMicros) {
        abstainsUntilMicros = nowMicros + timing.leaseMicros();
    }

    long abstainsUntilMicros() {
        return abstainsUntilMicros;
    }

    long promisedEpoch(int slot) {
        return promises[slot].epoch();
    }

    /** What these slots would get, now. */
    VoteResult preVote(long nowMicros, int from, LeaseMessage message) {
        VoteResult result = new VoteResult(new ArrayList<>(), new ArrayList<>());
        int granteeId = VoterPromise.granteeId(from, message.processId());
        for (LeaseMessage.Entry entry : message.entries()) {
            if (canGrant(nowMicros, granteeId, entry)) {
                result.granted.add(entry);
            } else {
                result.denied.add(
                        new LeaseMessage.Entry(entry.slot(), promisedEpoch(entry.slot())));
            }
        }
        return result;
    }

    private boolean canGrant(long nowMicros, int granteeId, LeaseMessage.Entry entry) {
        VoterPromise promise = promises[entry.slot()];
        boolean sameGrantee = promise.granteeId() == granteeId;
        return nowMicros >= abstainsUntilMicros
                && (sameGrantee || nowMicros >= grantedUntilMicros[entry.slot()])
                && (entry.epoch() > promise.epoch()
                        || sameGrantee && entry.epoch() == promise.epoch());
    }

    VoteResult vote(long nowMicros, int from, LeaseMessage message) {
        VoteResult result = new VoteResult(new ArrayList<>(), new ArrayList<>());
        int granteeId = VoterPromise.granteeId(from, message.processId());
        for (LeaseMessage.Entry entry : message.entries()) {
            VoterPromise promise = promises[entry.slot()];
            if (!canGrant(nowMicros, granteeId, entry)) {
                result.denied.add(new LeaseMessage.Entry(entry.slot(), promise.epoch()));
                continue;
            }
            boolean epochRises = entry.epoch() > promise.epoch();
            grantedUntilMicros[entry.slot()] = nowMicros + timing.leaseMicros();
            if (epochRises) {
                promises[entry.slot()] = new VoterPromise(entry.epoch(), granteeId);
                dirty = true;
            }
            if (durable && !persistedPromises[entry.slot()].equals(promises[entry.slot()])) {
                pendingGrants[entry.slot()] =
                        new PendingGrant(
                                from,
                                message.processId(),
                                message.sequenceNumber(),
                                entry.slot(),
                                entry.epoch());
            } else {
                result.granted.add(entry);
            }
        }
        return result;
    }

    void release(long nowMicros, int from, LeaseMessage message) {
        for (LeaseMessage.Entry entry : message.entries()) {
            if (promises[entry.slot()].equals(
                    new VoterPromise(
                            entry.epoch(), VoterPromise.granteeId(from, message.processId())))) {
                grantedUntilMicros[entry.slot()] = nowMicros;
                pendingGrants[entry.slot()] = null;
            }
        }
    }

    /** Promises to be kept now; null where there is nothing to keep, or the disk is at it still. */
    LeaseManager.Persist takePersist(long nowMicros) {
        if (!durable || !dirty || writingPromises != null || nowMicros < persistNotBeforeMicros) {
            return null;
        }
        dirty = false;
        writingPromises = promises.clone();
        return new LeaseManager.Persist(++lastWriteId, List.of(writingPromises));
    }

    long nextPersistMicros() {
        return durable && dirty && writingPromises == null
                ? persistNotBeforeMicros
                : Long.MAX_VALUE;
    }

    /**
     * The promises of that number are safe, or will never be; returns the grants that may be told
     * now.
     */
    List<PendingGrant> onPersisted(long nowMicros, long writeId, boolean succeeded) {
        if (writingPromises == null || writeId != lastWriteId) {
            return List.of();
        }
        List<PendingGrant> confirmed = new ArrayList<>();
        for (int slot = 0; succeeded && slot < promises.length; slot++) {
            persistedPromises[slot] = writingPromises[slot];
            if (pendingGrants[slot] != null && persistedPromises[slot].equals(promises[slot])) {
                confirmed.add(pendingGrants[slot]);
                pendingGrants[slot] = null;
            }
        }
        writingPromises = null;
        dirty |= !succeeded;
        persistNotBeforeMicros = succeeded ? nowMicros : nowMicros + PERSIST_RETRY_MICROS;
        return confirmed;
    }

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
