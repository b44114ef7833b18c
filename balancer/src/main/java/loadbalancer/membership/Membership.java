package loadbalancer.membership;

import java.util.List;

/**
 * The membership protocol at one member: SWIM (Das, Gupta, Motivala) with incarnations and
 * suspicion, updates piggybacked on its messages, and, after Lifeguard (Dadgar, Phillips, Currey),
 * caution when this process itself was slow.
 *
 * <p>A member that is silent to a ping is pinged through others; if it is still silent, it is
 * suspected and pinged on, and declared dead when the suspicion times out. Members other than the
 * one that began the suspicion wait three times as long for a refutation, so that one with a broken
 * path of its own convinces nobody by itself. A member that learns that it is suspected or declared
 * dead raises its incarnation and says so.
 *
 * <p>A deterministic state machine: time and messages go in, {@link Action actions} come out, to be
 * taken in their order. Not thread-safe: one thread, the caller's event loop. Cost: one ping and
 * its answer per interval and member, and each update a bounded number of times, whatever the
 * number of members.
 */
public final class Membership {
    // With many updates, as after a partition, one message does not hold them all.
    private static final int MAX_GOSSIP_BURST = 6;
    // Without a tick for longer, this process was paused.
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

    /** What the caller has to do. */
    public sealed interface Action permits Send, ViewChanged {}

    /** Send a datagram to that member. */
    public record Send(int to, MembershipMessage message) implements Action {}

    /** The view has changed by that update. */
    public record ViewChanged(MemberUpdate update, MembershipView view) implements Action {}

    /**
     * Makes a member that takes all others as present until it learns better.
     *
     * @param self its number, from 0
     * @param memberCount number of configured members
     * @param incarnation wall clock, ms; raised if others know a higher one
     * @param nowMicros µs, monotonic, as in all methods
     * @throws InvalidMembershipArgumentException if {@code self} is no member or there are too many
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

    /** An independent copy of the same state, for model checking. */
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
     * The state as a number, times relative to {@code nowMicros}, for model checking: equal for
     * states that differ in nothing that matters.
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

    /** Incarnation of this member. */
    public long incarnation() {
        return members.incarnation();
    }

    /** The view of this member as it is now. */
    public MembershipView view() {
        return members.view();
    }

    // ------------------------------------------------------------ time

    /** When {@link #tick} has to be called next, µs; {@link Long#MAX_VALUE}: not at all. */
    public long nextTickMicros() {
        if (departed) {
            return Long.MAX_VALUE;
        }
        long nextMicros = Math.min(failureDetector.nextTickMicros(), nextSyncMicros);
        return dissemination.pendingCount() > 0
                ? Math.min(nextMicros, nextGossipMicros)
                : nextMicros;
    }

    /** Time has passed. */
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

    // Messages may have arrived while this process was paused, and not been read: the time counts
    // against nobody, and this member announces that it is alive.
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

    // ------------------------------------------------------------ messages

    /** A message has arrived from another member. */
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

    /** This member shuts down: it announces that, and takes part in nothing after that. */
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
