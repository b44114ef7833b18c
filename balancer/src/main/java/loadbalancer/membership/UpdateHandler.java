package loadbalancer.membership;

/**
 * Takes statements about members, from messages and from the failure detector: stores them, has
 * them sent on, reports changes of the view, and refutes those about this member that are wrong.
 */
final class UpdateHandler {
    private static final long MICROS_PER_MS = 1000;

    private final MembershipTiming timing;
    private final MemberTable members;
    private final UpdateDissemination dissemination;
    private final MembershipOutbox outbox;
    // Wall clock at the start less the caller's monotonic clock, ms
    private final long wallClockOffsetMs;

    /** {@code wallClockOffsetMs}: wall clock less the caller's monotonic clock, ms. */
    UpdateHandler(
            MembershipTiming timing,
            MemberTable members,
            UpdateDissemination dissemination,
            MembershipOutbox outbox,
            long wallClockOffsetMs) {
        this.timing = timing;
        this.members = members;
        this.dissemination = dissemination;
        this.outbox = outbox;
        this.wallClockOffsetMs = wallClockOffsetMs;
    }

    static long wallClockOffsetMs(long wallClockMs, long nowMicros) {
        return wallClockMs - nowMicros / MICROS_PER_MS;
    }

    long wallClockOffsetMs() {
        return wallClockOffsetMs;
    }

    void apply(long nowMicros, MemberUpdate update) {
        int member = update.member();
        if (member >= members.size() || update.incarnation() > maxIncarnation(nowMicros)) {
            return;
        }
        if (member == members.self()) {
            refuteIfWrong(update);
            return;
        }
        MemberTable.ApplyResult result = members.apply(nowMicros, update);
        if (result.disseminated()) {
            dissemination.enqueue(member);
        }
        if (result.viewChanged()) {
            outbox.add(new Membership.ViewChanged(update, members.view()));
        }
    }

    // An incarnation is a time in ms: one far ahead of this member's clock is forged, or that of a
    // wrong clock.
    private long maxIncarnation(long nowMicros) {
        return nowMicros / MICROS_PER_MS
                + wallClockOffsetMs
                + timing.maxIncarnationLeadMicros() / MICROS_PER_MS;
    }

    // Also overrides the incarnation of an earlier process that others still know.
    private void refuteIfWrong(MemberUpdate update) {
        long incarnation = members.incarnation();
        boolean fromEarlierProcess = update.incarnation() > incarnation;
        boolean wrong =
                update.status() != MemberStatus.ALIVE && update.incarnation() >= incarnation;
        if (wrong || fromEarlierProcess) {
            members.updateSelf(MemberStatus.ALIVE, update.incarnation() + 1);
            dissemination.enqueue(members.self());
        }
    }
}
