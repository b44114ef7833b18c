package loadbalancer.proxy;

/**
 * Limits the heap, in bytes, that the peers of a process make it retain. Budgets form a tree: what
 * is reserved in a budget also counts in the one that it is a part of, so that the root has the sum
 * over all connections, and each part can have a smaller limit of its own. Confined to the event
 * loop.
 */
public final class MemoryBudget {
    private final long maxBytes;
    // Null for the root.
    private final MemoryBudget whole;
    private long usedBytes;

    /** Creates a root of which nothing is reserved. */
    public MemoryBudget(long maxBytes) {
        this(maxBytes, null);
    }

    private MemoryBudget(long maxBytes, MemoryBudget whole) {
        this.maxBytes = maxBytes;
        this.whole = whole;
    }

    /** Creates a part of this budget, with a limit of its own. */
    public MemoryBudget newPart(long maxPartBytes) {
        return new MemoryBudget(maxPartBytes, this);
    }

    /** Returns the reserved bytes, those of all parts included. */
    public long usedBytes() {
        return usedBytes;
    }

    /** Returns the limit in bytes. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Returns whether nothing more fits into this budget or into one that it is a part of. */
    public boolean isExhausted() {
        return !fits(1);
    }

    /** Returns whether {@code bytes} more would exceed no limit. */
    public boolean fits(long bytes) {
        return usedBytes + bytes <= maxBytes && (whole == null || whole.fits(bytes));
    }

    /**
     * Reserves bytes if they fit.
     *
     * @return false if they exceed a limit; nothing is reserved then
     */
    public boolean tryReserve(long bytes) {
        if (!fits(bytes)) {
            return false;
        }
        reserve(bytes);
        return true;
    }

    /**
     * Reserves bytes even if they exceed a limit, for memory that is in use already or that is
     * guaranteed to each connection.
     */
    public void reserve(long bytes) {
        for (MemoryBudget budget = this; budget != null; budget = budget.whole) {
            budget.usedBytes += bytes;
        }
    }

    /** Releases reserved bytes. */
    public void release(long bytes) {
        reserve(-bytes);
    }
}
