package loadbalancer.membership;

/**
 * A statement about the status of a member. Immutable.
 *
 * @param member number of the member in the configuration, from 0
 * @param incarnation incarnation that the status applies to; the member raises it at each start and
 *     each refutation of a suspicion; 0 if no incarnation is known
 */
public record MemberUpdate(int member, MemberStatus status, long incarnation) {
    /** Returns whether this overrides another update about the same member. */
    public boolean supersedes(MemberUpdate other) {
        return incarnation > other.incarnation
                || (incarnation == other.incarnation && status.ordinal() > other.status.ordinal());
    }

    MemberUpdate withStatus(MemberStatus newStatus) {
        return new MemberUpdate(member, newStatus, incarnation);
    }
}
