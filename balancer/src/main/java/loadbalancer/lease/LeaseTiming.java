package loadbalancer.lease;

/**
 * Times and bounds of the lease protocol; times in µs of each member's own monotonic clock.
 *
 * @param leaseMicros how long a grant binds its voter, and how long a voter abstains after its
 *     start
 * @param renewIntervalMicros between two renewals by a holder
 * @param minBackoffMicros shortest backoff of a denied candidate; doubles up to {@code
 *     renewIntervalMicros}, plus up to half of it at random
 * @param handoverDelayMicros how long another member has to be the preferred holder before the
 *     present holder transfers the slot to it
 * @param slotCount number of slots that keys are hashed to; leases are held by slot
 * @param maxVoters most voters of a slot, drawn from the configured members
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
        require(renewIntervalMicros > 0, "renewIntervalMicros", renewIntervalMicros, "positive");
        require(
                minBackoffMicros > 0 && minBackoffMicros <= renewIntervalMicros,
                "minBackoffMicros",
                minBackoffMicros,
                "positive and at most renewIntervalMicros");
        require(
                leaseMicros >= 2 * renewIntervalMicros,
                "leaseMicros",
                leaseMicros,
                "at least twice renewIntervalMicros");
        require(handoverDelayMicros >= 0, "handoverDelayMicros", handoverDelayMicros, "0 or more");
        require(
                slotCount >= 1 && slotCount <= LeaseMessage.MAX_ENTRIES,
                "slotCount",
                slotCount,
                "1 to " + LeaseMessage.MAX_ENTRIES);
        require(maxVoters >= 1, "maxVoters", maxVoters, "1 or more");
    }

    private static void require(boolean valid, String component, long value, String range) {
        InvalidLeaseArgumentException.require(valid, "lease timing: " + component, value, range);
    }

    /**
     * How long a grant may be relied on, from when it was requested: a tenth of the lease is left
     * for a voter's clock that runs 5% fast and a holder's that runs 5% slow.
     */
    public long usableMicros() {
        return leaseMicros / 10 * 9;
    }
}
