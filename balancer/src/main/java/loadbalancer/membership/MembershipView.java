package loadbalancer.membership;

import java.util.List;

/**
 * The status of all members, as one member knows it. Immutable. The views of two members may differ
 * while updates are in transit, and while the network path between them is broken.
 *
 * @param version number of changes since the start of this process
 * @param owner number of the member that has this view
 * @param members latest update of each member, the owner included, by member number
 */
public record MembershipView(long version, int owner, List<MemberUpdate> members) {
    public MembershipView {
        members = List.copyOf(members);
    }

    /** Returns the number of members present, the owner included. */
    public int presentCount() {
        return (int) members.stream().filter(update -> update.status().isPresent()).count();
    }

    /** Returns whether a member is alive or only suspected. */
    public boolean isPresent(int member) {
        return members.get(member).status().isPresent();
    }

    /**
     * Returns whether more than half of the configured members are present; if not, the owner may
     * be partitioned from the others.
     */
    public boolean hasMajority() {
        return 2 * presentCount() > members.size();
    }
}
