package loadbalancer.membership;

/**
 * Status of a member. For the same incarnation, a status overrides those that are declared before
 * it. The ordinal is sent on the wire.
 */
public enum MemberStatus {
    /** The member is present. */
    ALIVE,
    /** Some member can't reach it, directly or through others; it can refute the suspicion. */
    SUSPECTED,
    /** The member did not refute a suspicion in time. */
    DEAD,
    /** The member has announced that it is shutting down. */
    LEFT;

    /** Returns whether the member counts as present; a suspected one does until it is dead. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECTED;
    }
}
