package loadbalancer.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the actions of one member for its caller, and piggybacks updates on each message. Only
 * the caller's event loop uses it.
 */
final class MembershipOutbox {
    // Maximum number of updates on a probe or its answer. GOSSIP messages carry the others.
    private static final int MAX_PIGGYBACKED_UPDATES = 8;

    private final MemberTable members;
    private final UpdateDissemination dissemination;
    private final List<Membership.Action> actions = new ArrayList<>();

    MembershipOutbox(MemberTable members, UpdateDissemination dissemination) {
        this.members = members;
        this.dissemination = dissemination;
    }

    /** Appends an action; the caller performs actions in the order in which they were added. */
    void add(Membership.Action action) {
        actions.add(action);
    }

    /** Sends a message with updates that still have to be sent. */
    void send(int to, MembershipMessage.Kind kind, int subject, int sequenceNumber) {
        List<MemberUpdate> updates =
                dissemination.select(MAX_PIGGYBACKED_UPDATES, members::latestUpdate);
        boolean receiverNotAlive = members.status(to) != MemberStatus.ALIVE;
        if (receiverNotAlive && updates.stream().noneMatch(update -> update.member() == to)) {
            // The receiver learns its status from the update and can refute it.
            updates.add(0, members.latestUpdate(to));
        }
        send(to, kind, subject, sequenceNumber, updates);
    }

    /** Sends a message that holds only updates to the next gossip receiver. */
    void gossip(List<MemberUpdate> updates) {
        int to = members.nextPresent(dissemination.nextGossipStart());
        if (to != MemberTable.NO_MEMBER && !updates.isEmpty()) {
            send(to, MembershipMessage.Kind.GOSSIP, members.self(), 0, updates);
        }
    }

    private void send(
            int to,
            MembershipMessage.Kind kind,
            int subject,
            int sequenceNumber,
            List<MemberUpdate> updates) {
        MembershipMessage message =
                new MembershipMessage(
                        kind, subject, sequenceNumber, members.incarnation(), updates);
        actions.add(new Membership.Send(to, message));
    }

    /** Removes and returns the actions added since the last call, in order. */
    List<Membership.Action> takeActions() {
        List<Membership.Action> taken = List.copyOf(actions);
        actions.clear();
        return taken;
    }
}
