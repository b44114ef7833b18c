package loadbalancer.membership;

import java.util.List;

/**
 * Runs the membership protocol at one member: SWIM (Das, Gupta, Motivala) with incarnations,
 * suspicion and updates piggybacked on its messages. As in Lifeguard (Dadgar, Phillips, Currey), a
 * member suspects others less readily if its own process was slow.
 *
 * <p>A member that does not answer a ping is pinged through others. If it still does not answer, it
 * is suspected, pinged further, and declared dead when the suspicion times out. Members other than
 * the one that started the suspicion wait three times as long for a refutation, so that one member
 * with a broken network path can't convince the others by itself. A member that learns that it is
 * suspected or declared dead raises its incarnation and announces it.
 *
 * <p>This is a deterministic state machine. Its inputs are the time and messages; its outputs are
 * {@link Action actions}, which the caller performs in order. It is not thread-safe: only the
 * caller's event loop uses it. Whatever the number of members, each member sends one ping per
 * interval, which costs one response, and sends each update a bounded number of times.
 */
public final class Membership {
    // Maximum factor on the number of gossip messages per interval if one message does not hold all
    // updates, as after a partition.
    private static final int MAX_GOSSIP_BURST = 6;
    // If there is no tick for more than this number of probe intervals, this process was paused.
    private static final int PAUSE_PROBE_INTERVALS = 2;
    private static final long FINGERPRINT_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private final MembershipTiming timing;
    private final MemberTable members;
    private final UpdateDissemination dissemination;
    private final MembershipOutbox outbox;
    private final UpdateHandler updates;
    private final FailureDetector failureDetector;
    private long nextGossipMicros;
    private long nextSyncMicros;
    private long lastTickMicros;
    private boolean departed;

    /** An operation that the caller has to perform. */
    public sealed interface Action permits Send, ViewChanged {}

    /** Asks the caller to send a datagram to member {@code to}. */
    public record Send(int to, MembershipMessage message) implements Action {}

    /** Reports that the update has changed the view. */
    public record ViewChanged(MemberUpdate update, MembershipView view) implements Action {}

    /**
     * Creates a member that considers all others present until it learns otherwise.
     *
     * @param self number of this member, from 0
     * @param memberCount number of configured members
     * @param incarnation first incarnation: the wall clock, ms; raised if others know a higher one
     * @param nowMicros monotonic clock, µs, as in all methods
     * @throws InvalidMembershipArgumentException if {@code self} is not below {@code memberCount},
     *     or if {@code memberCount} exceeds {@link MembershipMessage#MAX_MEMBERS}
     */
    public Membership(
            int self, int memberCount, MembershipTiming timing, long incarnation, long nowMicros) {
        InvalidMembershipArgumentException.require(
                memberCount <= MembershipMessage.MAX_MEMBERS,
                "memberCount",
                memberCount,
                "at most " + MembershipMessage.MAX_MEMBERS);
        InvalidMembershipArgumentException.require(
                self >= 0 && self < memberCount, "self", self, "0 or more, below " + memberCount);
        this.timing = timing;
        members = new MemberTable(self, memberCount, timing, incarnation, nowMicros);
        dissemination = new UpdateDissemination(self, memberCount);
        outbox = new MembershipOutbox(members, dissemination);
        long wallClockOffsetMs = UpdateHandler.wallClockOffsetMs(incarnation, nowMicros);
        updates = new UpdateHandler(timing, members, dissemination, outbox, wallClockOffsetMs);
        failureDetector = new FailureDetector(timing, members, updates, outbox, nowMicros);
        dissemination.enqueue(self);
        nextGossipMicros = nowMicros;
        nextSyncMicros = nowMicros + timing.syncIntervalMicros();
        lastTickMicros = nowMicros;
    }

    /** Creates an independent copy of the same state, for model checking. */
    public Membership(Membership other) {
        timing = other.timing;
        members = new MemberTable(other.members);
        dissemination = new UpdateDissemination(other.dissemination);
        outbox = new MembershipOutbox(members, dissemination);
        updates =
                new UpdateHandler(
                        timing, members, dissemination, outbox, other.updates.wallClockOffsetMs());
        failureDetector = new FailureDetector(other.failureDetector, members, updates, outbox);
        nextGossipMicros = other.nextGossipMicros;
        nextSyncMicros = other.nextSyncMicros;
        lastTickMicros = other.lastTickMicros;
        departed = other.departed;
    }

    /**
     * Returns a hash of the state, with times relative to {@code nowMicros}, for model checking.
     * States with the same future behavior have the same hash.
     */
    public long fingerprint(long nowMicros) {
        long hash = members.self();
        for (int member = 0; member < members.size(); member++) {
            hash =
                    members.appendFingerprint(
                            hash, member, dissemination.remainingTransmits(member), nowMicros);
        }
        hash = mix(hash, failureDetector.fingerprintValues(nowMicros));
        return mix(
                hash,
                dissemination.gossipCounter(),
                nextGossipMicros - nowMicros,
                nextSyncMicros - nowMicros,
                nowMicros - lastTickMicros,
                departed ? 1 : 0);
    }

    private static long mix(long initialHash, long... values) {
        long hash = initialHash;
        for (long value : values) {
            hash = (hash ^ value) * FINGERPRINT_MULTIPLIER;
            hash ^= hash >>> 29;
        }
        return hash;
    }

    /** Returns the incarnation of this member. */
    public long incarnation() {
        return members.incarnation();
    }

    /** Returns the current view of this member. */
    public MembershipView view() {
        return members.view();
    }

    /**
     * Returns when {@link #tick} has to be called next, µs; {@link Long#MAX_VALUE} if it need not
     * be called.
     */
    public long nextTickMicros() {
        if (departed) {
            return Long.MAX_VALUE;
        }
        long nextMicros = Math.min(failureDetector.nextTickMicros(), nextSyncMicros);
        return dissemination.pendingCount() > 0
                ? Math.min(nextMicros, nextGossipMicros)
                : nextMicros;
    }

    /** Performs everything that is due at this time. */
    public List<Action> tick(long nowMicros) {
        if (departed) {
            return List.of();
        }
        if (nowMicros - lastTickMicros > PAUSE_PROBE_INTERVALS * timing.probeIntervalMicros()) {
            resumeAfterPause(nowMicros);
        }
        lastTickMicros = nowMicros;
        failureDetector.tick(nowMicros);
        gossipIfDue(nowMicros);
        syncIfDue(nowMicros);
        return outbox.takeActions();
    }

    // Messages may have arrived unread during the pause, so the pause counts toward no suspicion.
    // This member announces that it is alive.
    private void resumeAfterPause(long nowMicros) {
        failureDetector.onResumed(nowMicros);
        members.extendSuspicions(nowMicros - lastTickMicros);
        dissemination.enqueue(members.self());
    }

    private void gossipIfDue(long nowMicros) {
        if (dissemination.pendingCount() == 0 || nowMicros < nextGossipMicros) {
            return;
        }
        nextGossipMicros = nowMicros + timing.gossipIntervalMicros();
        int fullMessages = dissemination.pendingCount() / MembershipMessage.MAX_UPDATES;
        int burst = Math.min(MAX_GOSSIP_BURST, 1 + fullMessages);
        for (int i = 0; i < timing.gossipFanout() * burst; i++) {
            outbox.gossip(
                    dissemination.select(MembershipMessage.MAX_UPDATES, members::latestUpdate));
        }
    }

    private void syncIfDue(long nowMicros) {
        if (nowMicros >= nextSyncMicros) {
            nextSyncMicros = nowMicros + timing.syncIntervalMicros();
            outbox.gossip(dissemination.nextSyncPage(members::latestUpdate));
        }
    }

    /** Handles a message from another member. */
    public List<Action> onPeerMessage(long nowMicros, int from, MembershipMessage message) {
        if (departed || !isOtherMember(from) || message.subject() >= members.size()) {
            return List.of();
        }
        updates.apply(nowMicros, new MemberUpdate(from, MemberStatus.ALIVE, message.incarnation()));
        message.updates().forEach(update -> updates.apply(nowMicros, update));
        switch (message.kind()) {
            case PING -> failureDetector.onPing(from, message.sequenceNumber());
            case PING_REQ -> failureDetector.onPingRequest(nowMicros, from, message);
            case ACK -> failureDetector.onAck(nowMicros, message);
            case GOSSIP -> {}
        }
        return outbox.takeActions();
    }

    private boolean isOtherMember(int from) {
        return from >= 0 && from < members.size() && from != members.self();
    }

    /** Shuts this member down: announces that it leaves, and ignores all later calls. */
    public List<Action> leave(long nowMicros) {
        if (departed) {
            return List.of();
        }
        members.updateSelf(MemberStatus.LEFT, members.incarnation());
        dissemination.enqueue(members.self());
        int receiverCount = Math.max(timing.indirectProbes(), timing.gossipFanout());
        int receiver = members.nextPresent(members.self());
        for (int i = 0; i < receiverCount && receiver != MemberTable.NO_MEMBER; i++) {
            outbox.send(receiver, MembershipMessage.Kind.GOSSIP, members.self(), 0);
            receiver = members.nextPresent(receiver);
        }
        departed = true;
        return outbox.takeActions();
    }
}
