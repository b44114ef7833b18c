package loadbalancer.membership;

/**
 * One statement about a member.
 *
 * @param member its number in the configuration, from 0
 * @param incarnation raised by each start and by each denial of a suspicion; 0: none was heard of
 *     yet
 */
public record MemberUpdate(int member, MemberStatus status, long incarnation) {
    /** Whether this takes the place of another statement about the same member. */
    public boolean supersedes(MemberUpdate other) {
        return incarnation > other.incarnation
                || incarnation == other.incarnation && status.ordinal() > other.status.ordinal();
    }
}
