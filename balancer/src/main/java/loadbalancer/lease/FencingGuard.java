package loadbalancer.lease;

/**
 * The highest epoch of each slot that was heard of here. Who acts on a holder's word asks first:
 * one that was paused may still believe in an epoch that somebody else has ended.
 */
public final class FencingGuard {
    private final long[] highestEpochs;

    FencingGuard(int slotCount) {
        highestEpochs = new long[slotCount];
    }

    FencingGuard(FencingGuard other) {
        highestEpochs = other.highestEpochs.clone();
    }

    /** Whether a word under this epoch counts: not where a later one was heard of. */
    public boolean accept(int slot, long epoch) {
        if (epoch < highestEpochs[slot]) {
            return false;
        }
        highestEpochs[slot] = epoch;
        return true;
    }
}
