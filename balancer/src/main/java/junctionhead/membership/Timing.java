package junctionhead.membership;

/**
 * The times of the protocol, all in µs, and its counts.
 *
 * @param period between two members asked
 * @param answer how long one is waited for, before others are asked to ask; an own suspicion is
 *     checked again as often
 * @param suspicion from a member's suspicion until it is held dead by who suspects it; others wait
 *     three times as long
 * @param gossip between two messages of nothing but news, while there is any
 * @param exchange between two pages of the whole view
 * @param helpers that are asked to ask
 * @param fanout members that a message of news goes to
 * @param incarnationLead how far ahead of its reader's clock an incarnation may be, µs; beyond it
 *     is forged
 */
public record Timing(
        long period,
        long answer,
        long suspicion,
        long gossip,
        long exchange,
        int helpers,
        int fanout,
        long incarnationLead) {
    /** For balancers in one or a few sites. */
    public static final Timing USUAL =
            new Timing(200_000, 60_000, 500_000, 50_000, 1_000_000, 3, 2, 86_400_000_000L);

    public Timing {
        if (period <= 2 * answer
                || answer <= 0
                || suspicion <= 0
                || gossip <= 0
                || exchange <= 0
                || helpers < 0
                || fanout < 1
                || incarnationLead < 0) {
            throw new IllegalArgumentException("impossible times of membership");
        }
    }
}
