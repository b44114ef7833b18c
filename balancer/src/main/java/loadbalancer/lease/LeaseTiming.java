package loadbalancer.lease;

/**
 * Times and limits of the lease protocol. Times are in µs of each member's own monotonic clock.
 * Immutable.
 *
 * @param leaseMicros how long a grant is in force, and how long a voter abstains after its start
 * @param renewIntervalMicros interval between two renewals by a holder
 * @param minBackoffMicros shortest backoff of a denied candidate; it doubles up to {@code
 *     renewIntervalMicros}, and up to half of it is added at random
 * @param handoverDelayMicros how long another member has to be the preferred holder before the
 *     present holder transfers the slot to it
 * @param slotCount number of slots that keys are hashed to; each lease is for one slot
 * @param maxVoters maximum number of voters of a slot, chosen from the configured members
 */
public record LeaseTiming(
        long leaseMicros,
        long renewIntervalMicros,
        long minBackoffMicros,
        long handoverDelayMicros,
        int slotCount,
        int maxVoters) {
    /** Timing for balancers at one site or a few sites. */
    public static final LeaseTiming DEFAULT =
            new LeaseTiming(2_000_000, 500_000, 40_000, 3_000_000, 32, 9);

    /**
     * Creates a timing.
     *
     * @throws InvalidLeaseArgumentException if a value is out of range
     */
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
     * Returns how long a grant is usable from when it was requested, µs. The remaining tenth of the
     * lease allows for a voter's clock that runs 5% fast and a holder's clock that runs 5% slow.
     */
    public long usableMicros() {
        return leaseMicros / 10 * 9;
    }
}
