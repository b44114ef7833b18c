package loadbalancer.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * The protocol of membership at one member: SWIM (Das, Gupta, Motivala) with incarnations and
 * suspicion, told on the back of its own messages, and after Lifeguard (Dadgar, Phillips, Currey)
 * with caution where this process itself was slow. Time and messages come in; messages and changes
 * of the view go out. Deterministic, one thread.
 *
 * <p>Who finds a member silent asks others to ask; only then it suspects, goes on asking, and holds
 * the member dead when all of that stays without an answer. Everybody else waits three times as
 * long for the member's own word, so that one with a broken path of its own convinces nobody by
 * itself. A member that hears that it is suspected, or held dead, raises its incarnation and says
 * so. Dead ones are asked now and then: after a cut is healed the two sides find each other.
 *
 * <p>Cost: a message and its answer a period and member, and news a bounded number of times each,
 * whatever the number of members. State: a few words a member; at most {@value #MAX_RELAYED_PROBES}
 * questions for others.
 */
public final class Membership {
    private static final int MAX_RELAYED_PROBES = 64;
    // Times the suspicion of who began it
    private static final int REMOTE_SUSPICION_MULTIPLIER = 3;
    // tellings of a piece of news, times log2 of members
    private static final int RETRANSMIT_MULTIPLIER = 3;
    // times as many messages of news, if there is much
    private static final int MAX_GOSSIP_BURST = 6;
    // News on the back of a question or an answer
    private static final int MAX_PIGGYBACKED_UPDATES = 8;
    // periods without a tick that mean: this was paused
    // µs after a start, in which a process is slow
    private static final long STARTUP_MICROS = 5_000_000;
    // Times as long as others, then
    private static final int STARTUP_SUSPICION_MULTIPLIER = 4;
    private static final int PAUSE_PROBE_INTERVALS = 2;
    private static final long MICROS_PER_MS = 1000;
    private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;

    private final int self;
    private final MembershipTiming timing;
    private final MemberUpdate[] latestUpdates;
    // When each was learnt
    private final long[] statusSinceMicros;
    // Times that each is still to be told
    private final int[] remainingTransmits;
    // Suspicions that began here
    private final boolean[] locallySuspected;
    // when its return was learnt; this member's start at first
    private final long[] startedAtMicros;
    // Members of whom there is news to tell
    private int pendingUpdateCount;
    private int suspectCount;
    private final Map<Integer, RelayedProbe> relayedProbes = new LinkedHashMap<>();
    private final List<Action> pendingActions = new ArrayList<>();
    private final int transmitLimit;
    // Of the wall clock before the caller's, ms
    private final long wallClockOffsetMs;
    private long viewVersion;
    // Of questions
    private int lastSequenceNumber;
    // Of members asked
    private int probeCursor;
    // Counts members told
    private long gossipCounter;
    private int syncCursor;
    // Who is being asked, or -1
    private int probeTarget = -1;
    private int probeSequenceNumber;
    private long probeSentMicros;
    private boolean indirectProbesSent;
    private long nextProbeMicros;
    private long nextSuspectCheckMicros;
    private long nextGossipMicros;
    private long nextSyncMicros;
    private long lastTickMicros;
    private boolean departed;

    private record RelayedProbe(
            int origin, int originSequenceNumber, int subject, long expiresAtMicros) {}

    /** What the caller is to do. */
    public sealed interface Action permits Send, ViewChanged {}

    /** Send a datagram to that member. */
    public record Send(int to, MembershipMessage message) implements Action {}

    /** The view has changed: what is said now and was not before. */
    public record ViewChanged(MemberUpdate update, MembershipView view) implements Action {}

    /**
     * Makes a member that knows nobody yet and takes all as present until it learns better.
     *
     * @param self its number, from 0
     * @param memberCount members of the configuration
     * @param incarnation by the wall clock in ms; raised where peers know a higher one
     * @param nowMicros µs, monotonic
     */
    public Membership(
            int self, int memberCount, MembershipTiming timing, long incarnation, long nowMicros) {
        if (self < 0 || self >= memberCount || memberCount > MembershipMessage.MAX_MEMBERS) {
            throw new IllegalArgumentException("no member " + self + " of " + memberCount);
        }
        this.self = self;
        this.timing = timing;
        this.latestUpdates = new MemberUpdate[memberCount];
        this.statusSinceMicros = new long[memberCount];
        this.remainingTransmits = new int[memberCount];
        this.locallySuspected = new boolean[memberCount];
        this.startedAtMicros = new long[memberCount];
        this.transmitLimit =
                RETRANSMIT_MULTIPLIER * (33 - Integer.numberOfLeadingZeros(memberCount));
        for (int member = 0; member < memberCount; member++) {
            latestUpdates[member] = new MemberUpdate(member, MemberStatus.ALIVE, 0);
            statusSinceMicros[member] = nowMicros;
            startedAtMicros[member] = nowMicros;
        }
        latestUpdates[self] = new MemberUpdate(self, MemberStatus.ALIVE, incarnation);
        wallClockOffsetMs = incarnation - nowMicros / MICROS_PER_MS;
        enqueueUpdate(self);
        probeCursor = self;
        gossipCounter = (long) self << 32;
        nextProbeMicros = nowMicros;
        nextSuspectCheckMicros = nowMicros;
        nextGossipMicros = nowMicros;
        nextSyncMicros = nowMicros + timing.syncIntervalMicros();
        lastTickMicros = nowMicros;
    }

    /**
     * The same member in the same state, independent from here on: for those who explore what may
     * happen.
     */
    public Membership(Membership other) {
        self = other.self;
        timing = other.timing;
        latestUpdates = other.latestUpdates.clone();
        statusSinceMicros = other.statusSinceMicros.clone();
        remainingTransmits = other.remainingTransmits.clone();
        locallySuspected = other.locallySuspected.clone();
        startedAtMicros = other.startedAtMicros.clone();
        pendingUpdateCount = other.pendingUpdateCount;
        suspectCount = other.suspectCount;
        relayedProbes.putAll(other.relayedProbes);
        transmitLimit = other.transmitLimit;
        wallClockOffsetMs = other.wallClockOffsetMs;
        viewVersion = other.viewVersion;
        lastSequenceNumber = other.lastSequenceNumber;
        probeCursor = other.probeCursor;
        gossipCounter = other.gossipCounter;
        syncCursor = other.syncCursor;
        probeTarget = other.probeTarget;
        probeSequenceNumber = other.probeSequenceNumber;
        probeSentMicros = other.probeSentMicros;
        indirectProbesSent = other.indirectProbesSent;
        nextProbeMicros = other.nextProbeMicros;
        nextSuspectCheckMicros = other.nextSuspectCheckMicros;
        nextGossipMicros = other.nextGossipMicros;
        nextSyncMicros = other.nextSyncMicros;
        lastTickMicros = other.lastTickMicros;
        departed = other.departed;
    }

    /**
     * Its state in a number, times as seen from {@code nowMicros}; what differs in nothing that
     * matters is equal.
     */
    public long fingerprint(long nowMicros) {
        long hash = self;
        for (int member = 0; member < latestUpdates.length; member++) {
            long suspectedMicros =
                    latestUpdates[member].status() == MemberStatus.SUSPECTED
                            ? nowMicros - statusSinceMicros[member]
                            : 0;
            hash = hash * 31 + latestUpdates[member].incarnation();
            hash =
                    hash * 31
                            + latestUpdates[member].status().ordinal()
                            + 8 * remainingTransmits[member]
                            + (locallySuspected[member] ? 4 : 0)
                            + 4096 * suspectedMicros
                            + (nowMicros - startedAtMicros[member] < STARTUP_MICROS ? 1 << 30 : 0);
        }
        long[] scalars = {
            relayedProbes.hashCode(),
            probeCursor,
            gossipCounter,
            probeTarget,
            probeTarget < 0 ? 0 : nowMicros - probeSentMicros,
            indirectProbesSent ? 1 : 0,
            nextProbeMicros - nowMicros,
            nextSuspectCheckMicros - nowMicros,
            nextGossipMicros - nowMicros,
            nextSyncMicros - nowMicros,
            nowMicros - lastTickMicros,
            departed ? 1 : 0
        };
        for (long scalar : scalars) {
            hash = (hash ^ scalar) * 0x9e3779b97f4a7c15L;
            hash ^= hash >>> 29;
        }
        return hash;
    }

    public long incarnation() {
        return latestUpdates[self].incarnation();
    }

    public MembershipView view() {
        return new MembershipView(viewVersion, self, Arrays.asList(latestUpdates));
    }

    /** When {@link #tick} is wanted next, µs. */
    public long nextTickMicros() {
        long next =
                Math.min(
                        Math.min(nextProbeMicros, nextSyncMicros),
                        pendingUpdateCount > 0 ? nextGossipMicros : Long.MAX_VALUE);
        if (probeTarget >= 0) {
            next =
                    Math.min(
                            next,
                            indirectProbesSent
                                    ? probeSentMicros + timing.probeIntervalMicros()
                                    : probeSentMicros + timing.probeTimeoutMicros());
        }
        for (int member = 0; suspectCount > 0 && member < latestUpdates.length; member++) {
            if (latestUpdates[member].status() == MemberStatus.SUSPECTED) {
                next =
                        Math.min(
                                next,
                                locallySuspected[member]
                                        ? Math.min(
                                                nextSuspectCheckMicros,
                                                suspicionDeadlineMicros(member))
                                        : suspicionDeadlineMicros(member));
            }
        }
        return departed ? Long.MAX_VALUE : next;
    }

    // One that has just started is slow, and so is this member when it has: it has learnt of all
    // others then.
    private long suspicionDeadlineMicros(int member) {
        int startupMultiplier =
                statusSinceMicros[member] - startedAtMicros[member] < STARTUP_MICROS
                        ? STARTUP_SUSPICION_MULTIPLIER
                        : 1;
        return statusSinceMicros[member]
                + timing.suspicionTimeoutMicros()
                        * startupMultiplier
                        * (locallySuspected[member] ? 1 : REMOTE_SUSPICION_MULTIPLIER);
    }

    private void enqueueUpdate(int member) {
        pendingUpdateCount += remainingTransmits[member] == 0 ? 1 : 0;
        remainingTransmits[member] = transmitLimit;
    }

    private List<Action> takeActions() {
        List<Action> result = List.copyOf(pendingActions);
        pendingActions.clear();
        return result;
    }

    // ------------------------------------------------------------ time

    /** Time has passed. */
    public List<Action> tick(long nowMicros) {
        if (departed) {
            return List.of();
        }
        if (nowMicros - lastTickMicros > PAUSE_PROBE_INTERVALS * timing.probeIntervalMicros()) {
            resumeAfterPause(nowMicros);
        }
        lastTickMicros = nowMicros;
        probe(nowMicros);
        checkSuspects(nowMicros);
        if (pendingUpdateCount > 0 && nowMicros >= nextGossipMicros) {
            nextGossipMicros = nowMicros + timing.gossipIntervalMicros();
            // With much news, as after a cut, one message does not hold it all.
            int burst =
                    Math.min(
                            MAX_GOSSIP_BURST,
                            1 + pendingUpdateCount / MembershipMessage.MAX_UPDATES);
            for (int i = 0; i < timing.gossipFanout() * burst; i++) {
                gossipToNext(selectUpdates(MembershipMessage.MAX_UPDATES));
            }
        }
        if (nowMicros >= nextSyncMicros) {
            nextSyncMicros = nowMicros + timing.syncIntervalMicros();
            gossipToNext(nextSyncUpdates());
        }
        return takeActions();
    }

    // This process stood still: what it waited for may have come meanwhile and not been read.
    // Nobody is
    // blamed
    // for that time, and what others hold of this member is asked for first.
    private void resumeAfterPause(long nowMicros) {
        long pauseMicros = nowMicros - lastTickMicros;
        probeTarget = -1;
        nextProbeMicros = nowMicros;
        for (int member = 0; member < latestUpdates.length; member++) {
            statusSinceMicros[member] +=
                    latestUpdates[member].status() == MemberStatus.SUSPECTED ? pauseMicros : 0;
        }
        enqueueUpdate(self);
    }

    private void probe(long nowMicros) {
        if (probeTarget >= 0
                && !indirectProbesSent
                && nowMicros >= probeSentMicros + timing.probeTimeoutMicros()) {
            indirectProbesSent = true;
            int helper = probeTarget;
            for (int i = 0; i < timing.indirectProbes(); i++) {
                helper = nextMember(helper, true);
                if (helper < 0 || helper == probeTarget) {
                    break;
                }
                send(helper, MembershipMessage.Kind.PING_REQ, probeTarget, probeSequenceNumber);
            }
        }
        if (probeTarget >= 0 && nowMicros >= probeSentMicros + timing.probeIntervalMicros()) {
            int silent = probeTarget;
            probeTarget = -1;
            if (latestUpdates[silent].status() == MemberStatus.ALIVE) {
                locallySuspected[silent] = true;
                applyUpdate(
                        nowMicros,
                        new MemberUpdate(
                                silent,
                                MemberStatus.SUSPECTED,
                                latestUpdates[silent].incarnation()));
                nextSuspectCheckMicros = nowMicros;
            }
        }
        if (probeTarget < 0 && nowMicros >= nextProbeMicros) {
            nextProbeMicros = nowMicros + timing.probeIntervalMicros();
            probeCursor = nextMember(probeCursor, true);
            if (probeCursor >= 0) {
                probeTarget = probeCursor;
                probeSequenceNumber = ++lastSequenceNumber;
                probeSentMicros = nowMicros;
                indirectProbesSent = false;
                send(probeTarget, MembershipMessage.Kind.PING, probeTarget, probeSequenceNumber);
            } else {
                probeCursor = self;
            }
            int deadMember =
                    nextMember(
                            (int)
                                    (Math.floorMod(
                                            nowMicros / timing.probeIntervalMicros(),
                                            (long) latestUpdates.length)),
                            false);
            if (deadMember >= 0) {
                send(deadMember, MembershipMessage.Kind.PING, deadMember, ++lastSequenceNumber);
            }
        }
    }

    // The next member after one, in order of numbers, that is present ({@code present}) or dead;
    // -1: none.
    private int nextMember(int previous, boolean present) {
        for (int i = 1; i <= latestUpdates.length; i++) {
            int member = (previous + i) % latestUpdates.length;
            boolean matches =
                    present
                            ? latestUpdates[member].status().compareTo(MemberStatus.SUSPECTED) <= 0
                            : latestUpdates[member].status() == MemberStatus.DEAD;
            if (member != self && matches) {
                return member;
            }
        }
        return -1;
    }

    private void checkSuspects(long nowMicros) {
        boolean recheckDue = nowMicros >= nextSuspectCheckMicros;
        for (int member = 0; suspectCount > 0 && member < latestUpdates.length; member++) {
            if (latestUpdates[member].status() != MemberStatus.SUSPECTED) {
                continue;
            }
            if (nowMicros >= suspicionDeadlineMicros(member)) {
                applyUpdate(
                        nowMicros,
                        new MemberUpdate(
                                member, MemberStatus.DEAD, latestUpdates[member].incarnation()));
            } else if (locallySuspected[member] && recheckDue) {
                nextSuspectCheckMicros = nowMicros + timing.probeTimeoutMicros();
                send(member, MembershipMessage.Kind.PING, member, ++lastSequenceNumber);
            }
        }
    }

    // ------------------------------------------------------------ messages

    /** A message has come from the member of that number. */
    public List<Action> onPeerMessage(long nowMicros, int from, MembershipMessage message) {
        if (departed
                || from < 0
                || from >= latestUpdates.length
                || from == self
                || message.subject() >= latestUpdates.length) {
            return List.of();
        }
        applyUpdate(nowMicros, new MemberUpdate(from, MemberStatus.ALIVE, message.incarnation()));
        message.updates().forEach(update -> applyUpdate(nowMicros, update));
        switch (message.kind()) {
            case PING -> send(from, MembershipMessage.Kind.ACK, self, message.sequenceNumber());
            case PING_REQ -> relayProbe(nowMicros, from, message);
            case ACK -> onAck(nowMicros, message);
            case GOSSIP -> {}
        }
        return takeActions();
    }

    private void relayProbe(long nowMicros, int from, MembershipMessage message) {
        relayedProbes.values().removeIf(r -> r.expiresAtMicros < nowMicros);
        if (message.subject() == self) {
            send(from, MembershipMessage.Kind.ACK, self, message.sequenceNumber());
        } else if (relayedProbes.size() < MAX_RELAYED_PROBES) {
            relayedProbes.put(
                    ++lastSequenceNumber,
                    new RelayedProbe(
                            from,
                            message.sequenceNumber(),
                            message.subject(),
                            nowMicros + timing.probeIntervalMicros()));
            send(
                    message.subject(),
                    MembershipMessage.Kind.PING,
                    message.subject(),
                    lastSequenceNumber);
        }
    }

    private void onAck(long nowMicros, MembershipMessage message) {
        if (probeTarget >= 0
                && message.sequenceNumber() == probeSequenceNumber
                && message.subject() == probeTarget) {
            probeTarget = -1;
        }
        RelayedProbe relay = relayedProbes.remove(message.sequenceNumber());
        if (relay != null
                && relay.subject == message.subject()
                && relay.expiresAtMicros >= nowMicros) {
            send(
                    relay.origin,
                    MembershipMessage.Kind.ACK,
                    relay.subject,
                    relay.originSequenceNumber);
        }
    }

    /** This member leaves in order: it says so, and nothing after that. */
    public List<Action> leave(long nowMicros) {
        if (!departed) {
            latestUpdates[self] =
                    new MemberUpdate(self, MemberStatus.LEFT, latestUpdates[self].incarnation());
            enqueueUpdate(self);
            int recipient = self;
            for (int i = 0;
                    i < Math.max(timing.indirectProbes(), timing.gossipFanout())
                            && (recipient = nextMember(recipient, true)) >= 0;
                    i++) {
                send(recipient, MembershipMessage.Kind.GOSSIP, self, 0);
            }
            departed = true;
        }
        return takeActions();
    }

    // ------------------------------------------------------------ what is known

    private void applyUpdate(long nowMicros, MemberUpdate update) {
        // An incarnation is a time: one far ahead of this member's own clock is forged, or comes of
        // a
        // broken one.
        int member = update.member();
        if (member >= latestUpdates.length
                || update.incarnation()
                        > nowMicros / MICROS_PER_MS
                                + wallClockOffsetMs
                                + timing.maxIncarnationLeadMicros() / MICROS_PER_MS) {
            return;
        }
        if (member == self) {
            refute(update);
            return;
        }
        if (!update.supersedes(latestUpdates[member])) {
            return;
        }
        boolean newlySuspected =
                update.status() == MemberStatus.SUSPECTED
                        && latestUpdates[member].status() != MemberStatus.SUSPECTED;
        locallySuspected[member] =
                locallySuspected[member] && update.status() == MemberStatus.SUSPECTED;
        boolean firstUpdate = latestUpdates[member].incarnation() == 0;
        boolean changed = update.status() != latestUpdates[member].status() || !firstUpdate;
        boolean rejoined =
                latestUpdates[member].status().compareTo(MemberStatus.SUSPECTED) > 0
                        && update.status() == MemberStatus.ALIVE;
        startedAtMicros[member] = rejoined ? nowMicros : startedAtMicros[member];
        suspectCount +=
                (update.status() == MemberStatus.SUSPECTED ? 1 : 0)
                        - (latestUpdates[member].status() == MemberStatus.SUSPECTED ? 1 : 0);
        latestUpdates[member] = update;
        if (!firstUpdate || update.status() != MemberStatus.ALIVE) {
            // That one is there, each learns from itself
            enqueueUpdate(member);
        }
        if (newlySuspected || update.status() != MemberStatus.SUSPECTED) {
            statusSinceMicros[member] = nowMicros;
        }
        if (changed) {
            viewVersion++;
            pendingActions.add(new ViewChanged(update, view()));
        }
    }

    // What others hold of this member and is not so, or an incarnation of an earlier life that they
    // still
    // know.
    private void refute(MemberUpdate update) {
        boolean refutable =
                update.status() != MemberStatus.ALIVE
                                && update.incarnation() >= latestUpdates[self].incarnation()
                        || update.incarnation() > latestUpdates[self].incarnation();
        if (refutable) {
            latestUpdates[self] =
                    new MemberUpdate(self, MemberStatus.ALIVE, update.incarnation() + 1);
            enqueueUpdate(self);
        }
    }

    private void send(int to, MembershipMessage.Kind kind, int subject, int number) {
        List<MemberUpdate> piggybacked = selectUpdates(MAX_PIGGYBACKED_UPDATES);
        if (latestUpdates[to].status() != MemberStatus.ALIVE
                && piggybacked.stream().noneMatch(update -> update.member() == to)) {
            // So that it can deny it
            piggybacked.add(0, latestUpdates[to]);
        }
        pendingActions.add(
                new Send(
                        to,
                        new MembershipMessage(
                                kind,
                                subject,
                                number,
                                latestUpdates[self].incarnation(),
                                piggybacked)));
    }

    private void gossipToNext(List<MemberUpdate> updates) {
        // Scattered by the golden ratio: in order of numbers, neighbours would tell the same
        // members.
        int to =
                nextMember(
                        (int)
                                ((++gossipCounter * GOLDEN_RATIO >>> 33) * latestUpdates.length
                                        >>> 31),
                        true);
        if (to >= 0 && !updates.isEmpty()) {
            pendingActions.add(
                    new Send(
                            to,
                            new MembershipMessage(
                                    MembershipMessage.Kind.GOSSIP,
                                    self,
                                    0,
                                    latestUpdates[self].incarnation(),
                                    updates)));
        }
    }

    // The news told least often so far; each is told a bounded number of times.
    private List<MemberUpdate> selectUpdates(int limit) {
        if (pendingUpdateCount == 0) {
            return new ArrayList<>();
        }
        int[] pendingMembers =
                IntStream.range(0, latestUpdates.length)
                        .filter(member -> remainingTransmits[member] > 0)
                        .toArray();
        List<MemberUpdate> selected = new ArrayList<>();
        for (int transmits = transmitLimit;
                transmits > 0 && selected.size() < Math.min(limit, pendingMembers.length);
                transmits--) {
            for (int member : pendingMembers) {
                if (remainingTransmits[member] == transmits && selected.size() < limit) {
                    selected.add(latestUpdates[member]);
                }
            }
        }
        for (MemberUpdate update : selected) {
            remainingTransmits[update.member()]--;
            pendingUpdateCount -= remainingTransmits[update.member()] == 0 ? 1 : 0;
        }
        return selected;
    }

    private List<MemberUpdate> nextSyncUpdates() {
        List<MemberUpdate> updates = new ArrayList<>();
        for (int i = 0; i < Math.min(MembershipMessage.MAX_UPDATES, latestUpdates.length); i++) {
            updates.add(latestUpdates[syncCursor]);
            syncCursor = (syncCursor + 1) % latestUpdates.length;
        }
        return updates;
    }
}
