package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.membership.Membership;
import loadbalancer.testbed.modelcheck.MembershipClusterState.InFlightMessage;

/** Builds a successor of a state, which remains unchanged. Used by one thread. */
final class MembershipClusterBuilder extends ClusterBuilder<MembershipClusterState> {
    // The oldest messages are lost beyond this limit.
    private static final int MAX_IN_FLIGHT = 6;

    // Shared with the base until changed, because a search keeps a million states in memory.
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
        mutableInFlight().remove(index);
    }

    private List<InFlightMessage> mutableInFlight() {
        if (inFlight == base().inFlight()) {
            inFlight = new ArrayList<>(inFlight);
        }
        return inFlight;
    }

    /** Returns a member's state machine, which must not be changed. */
    Membership member(int member) {
        return members[member];
    }

    /** Replaces a member by a copy that may be changed, and returns the copy. */
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
        down = copyWith(down, member, newDown);
    }

    void setPaused(int member, boolean newPaused) {
        paused = copyWith(paused, member, newPaused);
    }

    /** Adds the messages that a member's actions send to those in flight. */
    void perform(int member, List<Membership.Action> actions) {
        addMessages(mutableInFlight(), member, actions);
    }

    /** Adds the messages that actions send; the oldest in flight are lost beyond a limit. */
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

    /** Returns the new state, whose predecessor is the base; {@code step} describes the event. */
    MembershipClusterState build(String step) {
        return new MembershipClusterState(
                members, down, paused, inFlight, nowMicros(), remainingFaults(), base(), step);
    }
}
