package loadbalancer.lease;

/**
 * The times of leases, all in µs of each member's own monotonic clock, and their counts.
 *
 * @param leaseMicros how long a grant binds its voter, and how long a voter grants nothing after
 *     its start
 * @param renewIntervalMicros between two askings of a holder
 * @param minBackoffMicros the least wait before a refused candidate asks again; doubles up to
 *     {@code renewIntervalMicros}, by chance half more
 * @param handoverDelayMicros how long somebody else must have been the better holder before a duty
 *     is handed over
 * @param slotCount into which keys fall; leases are held by slot
 * @param maxVoters voters of a slot at most, drawn from the configured members
 */
public record LeaseTiming(
        long leaseMicros,
        long renewIntervalMicros,
        long minBackoffMicros,
        long handoverDelayMicros,
        int slotCount,
        int maxVoters) {
    /** For balancers in one or a few sites. */
    public static final LeaseTiming DEFAULT =
            new LeaseTiming(2_000_000, 500_000, 40_000, 3_000_000, 32, 9);

    public LeaseTiming {
        if (renewIntervalMicros <= 0
                || minBackoffMicros <= 0
                || minBackoffMicros > renewIntervalMicros
                || leaseMicros < 2 * renewIntervalMicros
                || handoverDelayMicros < 0
                || slotCount < 1
                || slotCount > LeaseMessage.MAX_ENTRIES
                || maxVoters < 1) {
            throw new IllegalArgumentException("impossible times of duties");
        }
    }

    /**
     * How long a grant may be relied on, from when it was asked for: clocks that run 5% fast at the
     * voter and 5% slow at the holder take a tenth of the lease.
     */
    public long usableMicros() {
        return leaseMicros / 10 * 9;
    }
}
