package loadbalancer.membership;

/**
 * Status of a member. For one incarnation a later status overrides an earlier one; the ordinal is
 * on the wire.
 */
public enum MemberStatus {
    /** Present. */
    ALIVE,
    /** Somebody can't reach it, directly or through others; it can refute that. */
    SUSPECTED,
    /** It did not refute a suspicion in time. */
    DEAD,
    /** It has announced that it shuts down. */
    LEFT;

    /** Whether the member counts as present: a suspected one does until it is declared dead. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECTED;
    }
}
