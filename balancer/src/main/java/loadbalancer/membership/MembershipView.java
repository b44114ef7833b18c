package loadbalancer.membership;

import java.util.List;

/**
 * The status of all members, as one member knows it; immutable. The views of two members may differ
 * while updates are on their way, and as long as the path between them is cut.
 *
 * @param version raised by each change, counted by this process only
 * @param owner number of the member whose view it is
 * @param members by their numbers, the owner included
 */
public record MembershipView(long version, int owner, List<MemberUpdate> members) {
    public MembershipView {
        members = List.copyOf(members);
    }

    /** Number of members present, the owner included. */
    public int presentCount() {
        return (int) members.stream().filter(update -> update.status().isPresent()).count();
    }

    /** Whether a member is alive or only suspected. */
    public boolean isPresent(int member) {
        return members.get(member).status().isPresent();
    }

    /**
     * Whether more than half of the configured members are present; if not, the owner may be
     * partitioned from the others.
     */
    public boolean hasMajority() {
        return 2 * presentCount() > members.size();
    }
}
