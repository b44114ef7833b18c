package loadbalancer.membership;

/**
 * Handles updates about members, from messages and from the failure detector: stores them, queues
 * them for dissemination, reports changes of the view, and refutes wrong updates about this member.
 * Only the caller's event loop uses it.
 */
final class UpdateHandler {
    private static final long MICROS_PER_MS = 1000;

    private final MembershipTiming timing;
    private final MemberTable members;
    private final UpdateDissemination dissemination;
    private final MembershipOutbox outbox;
    // Wall clock at the start minus the caller's monotonic clock, ms.
    private final long wallClockOffsetMs;

    /**
     * Creates a handler.
     *
     * @param wallClockOffsetMs wall clock at the start minus the caller's monotonic clock, ms
     */
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

    // An incarnation is a time in ms. One that is far ahead of this member's clock is forged or
    // comes from a wrong clock.
    private long maxIncarnation(long nowMicros) {
        return nowMicros / MICROS_PER_MS
                + wallClockOffsetMs
                + timing.maxIncarnationLeadMicros() / MICROS_PER_MS;
    }

    // Also raises the incarnation above that of an earlier process that others still know.
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
