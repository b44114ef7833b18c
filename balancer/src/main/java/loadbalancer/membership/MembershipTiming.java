package loadbalancer.membership;

/**
 * Times and counts of the membership protocol. Times are in µs. Immutable.
 *
 * @param probeIntervalMicros interval between the probes of two members; a probe that is not
 *     answered within it starts a suspicion
 * @param probeTimeoutMicros delay before a probe is repeated through other members, and interval
 *     between two probes of a member that this one suspects; less than half of {@code
 *     probeIntervalMicros}
 * @param suspicionTimeoutMicros time from the start of a suspicion until the member that started it
 *     declares the suspect dead; others wait three times as long
 * @param gossipIntervalMicros interval between two rounds of GOSSIP messages while there are
 *     updates to send
 * @param syncIntervalMicros interval between two messages that each contain a page of the whole
 *     view
 * @param indirectProbes number of members that are asked to probe an unresponsive one
 * @param gossipFanout number of members that receive GOSSIP messages in each round
 * @param maxIncarnationLeadMicros maximum lead of an incarnation over the receiver's wall clock; an
 *     update with a higher incarnation is ignored
 */
public record MembershipTiming(
        long probeIntervalMicros,
        long probeTimeoutMicros,
        long suspicionTimeoutMicros,
        long gossipIntervalMicros,
        long syncIntervalMicros,
        int indirectProbes,
        int gossipFanout,
        long maxIncarnationLeadMicros) {
    /** Timing for balancers at one site or a few sites. */
    public static final MembershipTiming DEFAULT =
            new MembershipTiming(
                    200_000, 60_000, 500_000, 50_000, 1_000_000, 3, 2, 86_400_000_000L);

    /**
     * Creates a timing.
     *
     * @throws InvalidMembershipArgumentException if a value is out of range
     */
    public MembershipTiming {
        requirePositive(probeTimeoutMicros, "probeTimeoutMicros");
        require(
                probeIntervalMicros > 2 * probeTimeoutMicros,
                "probeIntervalMicros",
                probeIntervalMicros,
                "more than twice probeTimeoutMicros");
        requirePositive(suspicionTimeoutMicros, "suspicionTimeoutMicros");
        requirePositive(gossipIntervalMicros, "gossipIntervalMicros");
        requirePositive(syncIntervalMicros, "syncIntervalMicros");
        require(indirectProbes >= 0, "indirectProbes", indirectProbes, "0 or more");
        requirePositive(gossipFanout, "gossipFanout");
        require(
                maxIncarnationLeadMicros >= 0,
                "maxIncarnationLeadMicros",
                maxIncarnationLeadMicros,
                "0 or more");
    }

    private static void requirePositive(long value, String component) {
        require(value > 0, component, value, "positive");
    }

    private static void require(boolean valid, String component, long value, String range) {
        InvalidMembershipArgumentException.require(
                valid, "membership timing: " + component, value, range);
    }
}
