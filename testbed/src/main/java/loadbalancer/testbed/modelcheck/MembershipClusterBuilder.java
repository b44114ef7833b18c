package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.membership.Membership;
import loadbalancer.testbed.modelcheck.MembershipClusterState.InFlightMessage;

/** A state in the making. Begins as a copy of a state, which it leaves unchanged. */
final class MembershipClusterBuilder extends ClusterBuilder<MembershipClusterState> {
    // Beyond it the oldest messages are lost.
    private static final int MAX_IN_FLIGHT = 6;

    // Shared with the base until changed, as a search keeps a million states
    private Membership[] members;
    private List<InFlightMessage> inFlight;
    private boolean[] down;
    private boolean[] paused;

    MembershipClusterBuilder(MembershipClusterState base) {
        super(base);
        members = base.members();
        inFlight = base.inFlight();
        down = base.down();
        paused = base.paused();
    }

    void removeMessage(int index) {
        ownInFlight().remove(index);
    }

    private List<InFlightMessage> ownInFlight() {
        if (inFlight == base().inFlight()) {
            inFlight = new ArrayList<>(inFlight);
        }
        return inFlight;
    }

    /** A member as it is before its next change. */
    Membership member(int member) {
        return members[member];
    }

    /** Replaces a member by a copy that may be changed. */
    Membership copyMember(int member) {
        replaceMember(member, new Membership(members[member]));
        return members[member];
    }

    void replaceMember(int member, Membership replacement) {
        if (members == base().members()) {
            members = members.clone();
        }
        members[member] = replacement;
    }

    void setDown(int member, boolean newDown) {
        down = with(down, member, newDown);
    }

    void setPaused(int member, boolean newPaused) {
        paused = with(paused, member, newPaused);
    }

    /** Puts the messages of a member's actions in flight. */
    void perform(int member, List<Membership.Action> actions) {
        addMessages(ownInFlight(), member, actions);
    }

    /** Adds the messages of a member's actions; the oldest are lost beyond a limit. */
    static void addMessages(
            List<InFlightMessage> inFlight, int from, List<Membership.Action> actions) {
        for (Membership.Action action : actions) {
            if (action instanceof Membership.Send send) {
                inFlight.add(new InFlightMessage(from, send.to(), send.message()));
            }
        }
        while (inFlight.size() > MAX_IN_FLIGHT) {
            inFlight.remove(0);
        }
    }

    /** The state, which follows the base; {@code step} is what led to it. */
    MembershipClusterState build(String step) {
        return new MembershipClusterState(
                members, down, paused, inFlight, nowMicros(), remainingFaults(), base(), step);
    }
}
