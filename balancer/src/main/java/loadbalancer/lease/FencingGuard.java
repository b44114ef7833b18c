package loadbalancer.lease;

/**
 * Rejects messages of holders whose lease has been superseded. A holder that was paused may still
 * send messages under an old epoch, so a receiver has to check the epoch of each message here. The
 * guard stores the highest accepted epoch of each slot. Only the caller's event loop uses it.
 */
public final class FencingGuard {
    private final long[] highestEpochs;

    FencingGuard(int slotCount) {
        highestEpochs = new long[slotCount];
    }

    FencingGuard(FencingGuard other) {
        highestEpochs = other.highestEpochs.clone();
    }

    /** Returns whether to accept a message: false if a higher epoch has already been accepted. */
    public boolean accept(int slot, long epoch) {
        if (epoch < highestEpochs[slot]) {
            return false;
        }
        highestEpochs[slot] = epoch;
        return true;
    }
}
