package loadbalancer.lease;

/**
 * The highest epoch of each slot that this member has seen a holder act under. A receiver of a
 * holder's messages checks each here: a holder that was paused may still send under an epoch that
 * has been superseded.
 */
public final class FencingGuard {
    private final long[] highestEpochs;

    FencingGuard(int slotCount) {
        highestEpochs = new long[slotCount];
    }

    FencingGuard(FencingGuard other) {
        highestEpochs = other.highestEpochs.clone();
    }

    /** Whether to accept a message under this epoch: not after one under a higher epoch. */
    public boolean accept(int slot, long epoch) {
        if (epoch < highestEpochs[slot]) {
            return false;
        }
        highestEpochs[slot] = epoch;
        return true;
    }
}
