package loadbalancer.membership;

import java.util.ArrayList;
import java.util.List;

/** Actions of one member on their way to its caller; updates are piggybacked on each message. */
final class MembershipOutbox {
    // Leaves most of a datagram's room to messages of updates only.
    private static final int MAX_PIGGYBACKED_UPDATES = 8;

    private final MemberTable members;
    private final UpdateDissemination dissemination;
    private final List<Membership.Action> actions = new ArrayList<>();

    MembershipOutbox(MemberTable members, UpdateDissemination dissemination) {
        this.members = members;
        this.dissemination = dissemination;
    }

    /** Has an action taken after those before it. */
    void add(Membership.Action action) {
        actions.add(action);
    }

    /** Sends a message with the updates that are due. */
    void send(int to, MembershipMessage.Kind kind, int subject, int sequenceNumber) {
        List<MemberUpdate> updates =
                dissemination.select(MAX_PIGGYBACKED_UPDATES, members::latestUpdate);
        boolean receiverDoubted = members.status(to) != MemberStatus.ALIVE;
        if (receiverDoubted && updates.stream().noneMatch(update -> update.member() == to)) {
            // So that the receiver can refute it.
            updates.add(0, members.latestUpdate(to));
        }
        send(to, kind, subject, sequenceNumber, updates);
    }

    /** Sends updates only, to the next of the scattered receivers. */
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

    /** The actions since the last call, in order. */
    List<Membership.Action> takeActions() {
        List<Membership.Action> taken = List.copyOf(actions);
        actions.clear();
        return taken;
    }
}
