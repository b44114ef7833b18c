package loadbalancer.membership;

import java.util.List;

/**
 * Who is present, as one member knows it. Views of two members may differ for as long as news
 * travel, and for good while a path is cut.
 *
 * @param version raised by each change, of this process only
 * @param members by their numbers, the owner of the view included
 */
public record MembershipView(long version, int owner, List<MemberUpdate> members) {
    public MembershipView {
        members = List.copyOf(members);
    }

    /** Members that are alive or may well be; the owner counts. */
    public int presentCount() {
        return (int) members.stream().filter(m -> isPresent(m.member())).count();
    }

    /** A suspected one is present until it is held dead. */
    public boolean isPresent(int member) {
        return members.get(member).status().compareTo(MemberStatus.SUSPECTED) <= 0;
    }

    /**
     * Whether more than half of the configured members are present; else the owner may be cut off.
     */
    public boolean hasMajority() {
        return 2 * presentCount() > members.size();
    }
}
