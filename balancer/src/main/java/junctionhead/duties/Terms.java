package junctionhead.duties;

/**
 * The times of leases, all in µs of each member's own monotonic clock, and their counts.
 *
 * @param lease how long a grant binds its voter, and how long a voter grants nothing after its
 *     start
 * @param renew between two askings of a holder
 * @param again the least wait before a refused candidate asks again; doubles up to {@code renew},
 *     by chance half more
 * @param settle how long somebody else must have been the better holder before a duty is handed
 *     over
 * @param slots into which keys fall; leases are held by slot
 * @param votersMost voters of a slot at most, drawn from the configured members
 */
public record Terms(long lease, long renew, long again, long settle, int slots, int votersMost) {
    /** For balancers in one or a few sites. */
    public static final Terms USUAL = new Terms(2_000_000, 500_000, 40_000, 3_000_000, 32, 9);

    public Terms {
        if (renew <= 0
                || again <= 0
                || again > renew
                || lease < 2 * renew
                || settle < 0
                || slots < 1
                || slots > Word.ENTRIES_MOST
                || votersMost < 1) {
            throw new IllegalArgumentException("impossible times of duties");
        }
    }

    /**
     * How long a grant may be relied on, from when it was asked for: clocks that run 5% fast at the
     * voter and 5% slow at the holder take a tenth of the lease.
     */
    public long usable() {
        return lease / 10 * 9;
    }
}
