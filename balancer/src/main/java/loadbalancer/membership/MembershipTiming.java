package loadbalancer.membership;

/**
 * The times of the protocol, all in µs, and its counts.
 *
 * @param probeIntervalMicros between two members asked
 * @param probeTimeoutMicros how long one is waited for, before others are asked to ask; an own
 *     suspicion is checked again as often
 * @param suspicionTimeoutMicros from a member's suspicion until it is held dead by who suspects it;
 *     others wait three times as long
 * @param gossipIntervalMicros between two messages of nothing but news, while there is any
 * @param syncIntervalMicros between two pages of the whole view
 * @param indirectProbes that are asked to ask
 * @param gossipFanout members that a message of news goes to
 * @param maxIncarnationLeadMicros how far ahead of its reader's clock an incarnation may be, µs;
 *     beyond it is forged
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
        if (probeIntervalMicros <= 2 * probeTimeoutMicros
                || probeTimeoutMicros <= 0
                || suspicionTimeoutMicros <= 0
                || gossipIntervalMicros <= 0
                || syncIntervalMicros <= 0
                || indirectProbes < 0
                || gossipFanout < 1
                || maxIncarnationLeadMicros < 0) {
            throw new IllegalArgumentException("impossible times of membership");
        }
    }
}
