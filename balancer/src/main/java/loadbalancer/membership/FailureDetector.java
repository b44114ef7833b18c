package loadbalancer.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects failed members by probes, as in SWIM. In each interval it pings the next member, asks
 * others to ping it if it does not answer, and then suspects it. A suspected member is pinged again
 * until it answers, or until the suspicion times out and it is declared dead. Dead members are
 * pinged in turn, so that the two sides of a healed partition find each other. Only the caller's
 * event loop uses this class.
 */
final class FailureDetector {
    private static final int MAX_RELAYED_PROBES = 64;
    private static final int NO_MEMBER = MemberTable.NO_MEMBER;

    private final MembershipTiming timing;
    private final MemberTable members;
    private final UpdateHandler updates;
    private final MembershipOutbox outbox;
    // Pings sent on behalf of others, by the sequence number of the ping.
    private final Map<Integer, RelayedProbe> relayedProbes = new LinkedHashMap<>();
    private int lastSequenceNumber;
    // The member that was probed last.
    private int probeCursor;
    // The member whose answer is pending, or NO_MEMBER.
    private int probeTarget = NO_MEMBER;
    private int probeSequenceNumber;
    private long probeSentMicros;
    private boolean indirectProbesSent;
    private long nextProbeMicros;
    private long nextSuspectCheckMicros;

    private record RelayedProbe(
            int origin, int originSequenceNumber, int subject, long expiresAtMicros) {}

    FailureDetector(
            MembershipTiming timing,
            MemberTable members,
            UpdateHandler updates,
            MembershipOutbox outbox,
            long nowMicros) {
        this.timing = timing;
        this.members = members;
        this.updates = updates;
        this.outbox = outbox;
        probeCursor = members.self();
        nextProbeMicros = nowMicros;
        nextSuspectCheckMicros = nowMicros;
    }

    /** Creates a copy of the state that uses the given copies of its collaborators. */
    FailureDetector(
            FailureDetector other,
            MemberTable members,
            UpdateHandler updates,
            MembershipOutbox outbox) {
        this.timing = other.timing;
        this.members = members;
        this.updates = updates;
        this.outbox = outbox;
        relayedProbes.putAll(other.relayedProbes);
        lastSequenceNumber = other.lastSequenceNumber;
        probeCursor = other.probeCursor;
        probeTarget = other.probeTarget;
        probeSequenceNumber = other.probeSequenceNumber;
        probeSentMicros = other.probeSentMicros;
        indirectProbesSent = other.indirectProbesSent;
        nextProbeMicros = other.nextProbeMicros;
        nextSuspectCheckMicros = other.nextSuspectCheckMicros;
    }

    /** Returns when {@link #tick} has to be called next, µs. */
    long nextTickMicros() {
        long nextMicros = nextProbeMicros;
        if (isProbing()) {
            nextMicros = Math.min(nextMicros, probeDeadlineMicros());
        }
        for (int member = 0; members.hasSuspects() && member < members.size(); member++) {
            if (members.isSuspected(member)) {
                nextMicros = Math.min(nextMicros, members.suspicionDeadlineMicros(member));
                if (members.isLocallySuspected(member)) {
                    nextMicros = Math.min(nextMicros, nextSuspectCheckMicros);
                }
            }
        }
        return nextMicros;
    }

    private boolean isProbing() {
        return probeTarget != NO_MEMBER;
    }

    private long probeDeadlineMicros() {
        return probeSentMicros
                + (indirectProbesSent ? timing.probeIntervalMicros() : timing.probeTimeoutMicros());
    }

    /** Sends the probes that are due and updates the status of members that did not answer. */
    void tick(long nowMicros) {
        sendIndirectProbesIfDue(nowMicros);
        suspectIfUnresponsive(nowMicros);
        if (!isProbing() && nowMicros >= nextProbeMicros) {
            nextProbeMicros = nowMicros + timing.probeIntervalMicros();
            probeNext(nowMicros);
            probeNextDead(nowMicros);
        }
        checkSuspects(nowMicros);
    }

    private void sendIndirectProbesIfDue(long nowMicros) {
        if (!isProbing()
                || indirectProbesSent
                || nowMicros < probeSentMicros + timing.probeTimeoutMicros()) {
            return;
        }
        indirectProbesSent = true;
        int helper = probeTarget;
        for (int i = 0; i < timing.indirectProbes(); i++) {
            helper = members.nextPresent(helper);
            if (helper == NO_MEMBER || helper == probeTarget) {
                return;
            }
            outbox.send(helper, MembershipMessage.Kind.PING_REQ, probeTarget, probeSequenceNumber);
        }
    }

    private void suspectIfUnresponsive(long nowMicros) {
        if (!isProbing() || nowMicros < probeSentMicros + timing.probeIntervalMicros()) {
            return;
        }
        int unresponsiveMember = probeTarget;
        probeTarget = NO_MEMBER;
        if (members.status(unresponsiveMember) == MemberStatus.ALIVE) {
            members.markLocallySuspected(unresponsiveMember);
            updates.apply(
                    nowMicros,
                    members.latestUpdate(unresponsiveMember).withStatus(MemberStatus.SUSPECTED));
            nextSuspectCheckMicros = nowMicros;
        }
    }

    private void probeNext(long nowMicros) {
        int member = members.nextPresent(probeCursor);
        if (member == NO_MEMBER) {
            probeCursor = members.self();
            return;
        }
        probeCursor = member;
        probeTarget = member;
        probeSentMicros = nowMicros;
        indirectProbesSent = false;
        probeSequenceNumber = ping(member);
    }

    private void probeNextDead(long nowMicros) {
        long interval = nowMicros / timing.probeIntervalMicros();
        int deadMember = members.nextDead(Math.floorMod(interval, members.size()));
        if (deadMember != NO_MEMBER) {
            ping(deadMember);
        }
    }

    private int ping(int member) {
        int sequenceNumber = ++lastSequenceNumber;
        outbox.send(member, MembershipMessage.Kind.PING, member, sequenceNumber);
        return sequenceNumber;
    }

    private void checkSuspects(long nowMicros) {
        boolean pingDue = nowMicros >= nextSuspectCheckMicros;
        for (int member = 0; members.hasSuspects() && member < members.size(); member++) {
            if (!members.isSuspected(member)) {
                continue;
            }
            if (nowMicros >= members.suspicionDeadlineMicros(member)) {
                updates.apply(
                        nowMicros, members.latestUpdate(member).withStatus(MemberStatus.DEAD));
            } else if (members.isLocallySuspected(member) && pingDue) {
                nextSuspectCheckMicros = nowMicros + timing.probeTimeoutMicros();
                ping(member);
            }
        }
    }

    /**
     * Handles the end of a pause of this process. Abandons the current probe without a suspicion,
     * because its answer may have been lost during the pause.
     */
    void onResumed(long nowMicros) {
        probeTarget = NO_MEMBER;
        nextProbeMicros = nowMicros;
    }

    /** Answers a ping of another member. */
    void onPing(int from, int sequenceNumber) {
        outbox.send(from, MembershipMessage.Kind.ACK, members.self(), sequenceNumber);
    }

    /**
     * Pings {@code message.subject()} on behalf of another member. Ignores the request if {@value
     * #MAX_RELAYED_PROBES} such pings are pending.
     */
    void onPingRequest(long nowMicros, int from, MembershipMessage message) {
        relayedProbes.values().removeIf(probe -> probe.expiresAtMicros < nowMicros);
        int subject = message.subject();
        if (subject == members.self()) {
            onPing(from, message.sequenceNumber());
        } else if (relayedProbes.size() < MAX_RELAYED_PROBES) {
            relayedProbes.put(
                    ping(subject),
                    new RelayedProbe(
                            from,
                            message.sequenceNumber(),
                            subject,
                            nowMicros + timing.probeIntervalMicros()));
        }
    }

    /** Handles the answer to a ping; relays it if the ping was sent on behalf of another member. */
    void onAck(long nowMicros, MembershipMessage message) {
        int subject = message.subject();
        if (isProbing()
                && message.sequenceNumber() == probeSequenceNumber
                && subject == probeTarget) {
            probeTarget = NO_MEMBER;
        }
        RelayedProbe probe = relayedProbes.remove(message.sequenceNumber());
        if (probe != null && probe.subject == subject && probe.expiresAtMicros >= nowMicros) {
            outbox.send(
                    probe.origin,
                    MembershipMessage.Kind.ACK,
                    probe.subject,
                    probe.originSequenceNumber);
        }
    }

    /** Returns the values that make up the state, with times relative to {@code nowMicros}. */
    long[] fingerprintValues(long nowMicros) {
        return new long[] {
            relayedProbes.hashCode(),
            probeCursor,
            probeTarget,
            isProbing() ? nowMicros - probeSentMicros : 0,
            indirectProbesSent ? 1 : 0,
            nextProbeMicros - nowMicros,
            nextSuspectCheckMicros - nowMicros
        };
    }
}
