package junctionhead.duties;

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
    private static final long AGAIN = 1_000_000;

    private final Terms terms;
    private final Promise[] promises;
    // The same as kept; only these are told
    private final Promise[] safe;
    private final long[] until;
    // Grants that are not kept yet, one a slot at most
    private final Waiting[] waiting;
    private final boolean durable;
    // Under way to the disk, or null
    private Promise[] keeping;
    // Tables given to the disk
    private long keeps;
    // Since the last one
    private boolean changed;
    private long keepAt;
    private long abstains;

    /** A grant that may be told once the promise under it is kept. */
    record Waiting(int from, int process, int number, int slot, long epoch) {}

    /** What an asking gets: at once, or ({@code later}) once it is kept. */
    record Verdict(List<Word.Entry> granted, List<Word.Entry> refused) {}

    /** {@code durable}: promises are kept before they are told. */
    Voter(Terms terms, List<Promise> promises, boolean durable, long now) {
        this.terms = terms;
        this.promises = promises.toArray(Promise[]::new);
        this.safe = this.promises.clone();
        this.until = new long[this.promises.length];
        this.waiting = new Waiting[this.promises.length];
        this.durable = durable;
        opened(now);
    }

    Voter(Voter other) {
        terms = other.terms;
        promises = other.promises.clone();
        safe = other.safe.clone();
        until = other.until.clone();
        waiting = other.waiting.clone();
        durable = other.durable;
        keeping = other.keeping;
        keeps = other.keeps;
        changed = other.changed;
        keepAt = other.keepAt;
        abstains = other.abstains;
    }

    /** From now on it can be asked: what an earlier process has granted was granted before. */
    void opened(long now) {
        abstains = now + terms.lease();
    }

    long abstains() {
        return abstains;
    }

    long promised(int slot) {
        return promises[slot].epoch();
    }

    /** What these slots would get, now. */
    Verdict sound(long now, int from, Word word) {
        Verdict verdict = new Verdict(new ArrayList<>(), new ArrayList<>());
        int claimant = Promise.claimant(from, word.process());
        for (Word.Entry e : word.entries()) {
            if (admits(now, claimant, e)) {
                verdict.granted.add(e);
            } else {
                verdict.refused.add(new Word.Entry(e.slot(), promised(e.slot())));
            }
        }
        return verdict;
    }

    private boolean admits(long now, int claimant, Word.Entry e) {
        Promise given = promises[e.slot()];
        boolean same = given.claimant() == claimant;
        return now >= abstains
                && (same || now >= until[e.slot()])
                && (e.epoch() > given.epoch() || same && e.epoch() == given.epoch());
    }

    Verdict ask(long now, int from, Word word) {
        Verdict verdict = new Verdict(new ArrayList<>(), new ArrayList<>());
        int claimant = Promise.claimant(from, word.process());
        for (Word.Entry e : word.entries()) {
            Promise given = promises[e.slot()];
            if (!admits(now, claimant, e)) {
                verdict.refused.add(new Word.Entry(e.slot(), given.epoch()));
                continue;
            }
            boolean higher = e.epoch() > given.epoch();
            until[e.slot()] = now + terms.lease();
            if (higher) {
                promises[e.slot()] = new Promise(e.epoch(), claimant);
                changed = true;
            }
            if (durable && !safe[e.slot()].equals(promises[e.slot()])) {
                waiting[e.slot()] =
                        new Waiting(from, word.process(), word.number(), e.slot(), e.epoch());
            } else {
                verdict.granted.add(e);
            }
        }
        return verdict;
    }

    void release(long now, int from, Word word) {
        for (Word.Entry e : word.entries()) {
            if (promises[e.slot()].equals(
                    new Promise(e.epoch(), Promise.claimant(from, word.process())))) {
                until[e.slot()] = now;
                waiting[e.slot()] = null;
            }
        }
    }

    /** Promises to be kept now; null where there is nothing to keep, or the disk is at it still. */
    Duties.Keep keep(long now) {
        if (!durable || !changed || keeping != null || now < keepAt) {
            return null;
        }
        changed = false;
        keeping = promises.clone();
        return new Duties.Keep(++keeps, List.of(keeping));
    }

    long nextKeep() {
        return durable && changed && keeping == null ? keepAt : Long.MAX_VALUE;
    }

    /**
     * The promises of that number are safe, or will never be; returns the grants that may be told
     * now.
     */
    List<Waiting> kept(long now, long number, boolean whole) {
        if (keeping == null || number != keeps) {
            return List.of();
        }
        List<Waiting> told = new ArrayList<>();
        for (int s = 0; whole && s < promises.length; s++) {
            safe[s] = keeping[s];
            if (waiting[s] != null && safe[s].equals(promises[s])) {
                told.add(waiting[s]);
                waiting[s] = null;
            }
        }
        keeping = null;
        changed |= !whole;
        keepAt = whole ? now : now + AGAIN;
        return told;
    }

    long fingerprint(long now) {
        long h =
                (Arrays.hashCode(promises) * 31L + Arrays.hashCode(waiting)) * 31
                        + Arrays.hashCode(safe);
        for (long u : until) {
            h = h * 31 + Math.max(0, u - now);
        }
        h = h * 31 + (keeping == null ? 0 : Arrays.hashCode(keeping));
        return (h * 31 + Math.max(0, abstains - now)) * 31
                + (changed ? 1 : 0)
                + Math.max(0, keepAt - now) * 7;
    }
}
