package junctionhead.duties;

/**
 * The highest epoch of each slot that was heard of here. Who acts on a holder's word asks first:
 * one that was paused may still believe in an epoch that somebody else has ended.
 */
public final class Fence {
    private final long[] seen;

    Fence(int slots) {
        seen = new long[slots];
    }

    Fence(Fence other) {
        seen = other.seen.clone();
    }

    /** Whether a word under this epoch counts: not where a later one was heard of. */
    public boolean passes(int slot, long epoch) {
        if (epoch < seen[slot]) {
            return false;
        }
        seen[slot] = epoch;
        return true;
    }
}
