package loadbalancer.membership;

/**
 * A statement about the status of a member.
 *
 * @param member its number in the configuration, from 0
 * @param incarnation that the statement is about: raised by the member at each start and each
 *     refutation of a suspicion; 0 if none is known
 */
public record MemberUpdate(int member, MemberStatus status, long incarnation) {
    /** Whether this overrides another statement about the same member. */
    public boolean supersedes(MemberUpdate other) {
        return incarnation > other.incarnation
                || (incarnation == other.incarnation && status.ordinal() > other.status.ordinal());
    }

    MemberUpdate withStatus(MemberStatus newStatus) {
        return new MemberUpdate(member, newStatus, incarnation);
    }
}
