package loadbalancer.membership;

/**
 * Times and counts of the membership protocol; times in µs.
 *
 * @param probeIntervalMicros between two members probed; a probe without an answer by then starts a
 *     suspicion
 * @param probeTimeoutMicros before a probe is repeated through other members, and between two
 *     probes of a member suspected here; less than half of {@code probeIntervalMicros}
 * @param suspicionTimeoutMicros from the start of a suspicion until the member that began it
 *     declares the suspect dead; others wait three times as long
 * @param gossipIntervalMicros between two messages of updates only, while there are updates to send
 * @param syncIntervalMicros between two messages that each carry a page of the whole view
 * @param indirectProbes number of members asked to probe a silent one
 * @param gossipFanout number of members that a message of updates goes to
 * @param maxIncarnationLeadMicros how far an incarnation may be ahead of the reader's wall clock;
 *     one beyond it is ignored
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
    /** For balancers in one or a few sites. */
    public static final MembershipTiming DEFAULT =
            new MembershipTiming(
                    200_000, 60_000, 500_000, 50_000, 1_000_000, 3, 2, 86_400_000_000L);

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
