package loadbalancer.lease;

/**
 * One member as a candidate for one slot: the request under way, if any, and the backoff before the
 * next.
 *
 * <p>A candidate sends a pre-vote first, which raises no epoch: an epoch that rises in vain at some
 * voters would cost the present holder its renewal. A binding request follows when a majority would
 * grant it. Requests are resent with backoff to the voters that have not granted them.
 */
final class SlotCandidate {
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final int slot;
    private final int[] voters;
    private final LeaseContext context;
    // Responses to the request under way; null if there is none.
    private GrantTally tally;
    private long deadlineMicros;
    private long resendAtMicros;
    private int resends;
    // Backoff between requests
    private long nextRequestMicros;
    private int consecutiveFailures;

    SlotCandidate(int slot, int[] voters, LeaseContext context) {
        this.slot = slot;
        this.voters = voters;
        this.context = context;
    }

    SlotCandidate(SlotCandidate other, LeaseContext context) {
        this(other.slot, other.voters, context);
        tally = other.tally == null ? null : new GrantTally(other.tally);
        deadlineMicros = other.deadlineMicros;
        resendAtMicros = other.resendAtMicros;
        resends = other.resends;
        nextRequestMicros = other.nextRequestMicros;
        consecutiveFailures = other.consecutiveFailures;
    }

    /** Whether a request is under way. */
    boolean isRequesting() {
        return tally != null;
    }

    /** Whether a request of this kind is under way under this epoch. */
    boolean isRequesting(long epoch, boolean binding) {
        return tally != null && tally.epoch() == epoch && tally.isBinding() == binding;
    }

    boolean isRequestingBinding() {
        return tally != null && tally.isBinding();
    }

    /** Epoch of the request under way. */
    long epoch() {
        return tally.epoch();
    }

    /** Whether the backoff is over. */
    boolean mayRequest(long nowMicros) {
        return nowMicros >= nextRequestMicros;
    }

    /** Sends a request, or a pre-vote, in place of the one under way. */
    void request(long epoch, boolean binding, long nowMicros) {
        tally = new GrantTally(epoch, binding, voters.length);
        // A binding request is not given up before its grants end: it would cost another epoch, and
        // another sync, each time that a voter's disk is slow.
        LeaseTiming timing = context.timing();
        deadlineMicros =
                nowMicros + (binding ? timing.leaseMicros() : timing.renewIntervalMicros());
        resends = 0;
        send(nowMicros);
    }

    private void send(long nowMicros) {
        resendAtMicros = nowMicros + backoffMicros(resends++);
        tally.recordRequest(nowMicros);
        LeaseMessage.Kind kind =
                tally.isBinding() ? LeaseMessage.Kind.REQUEST : LeaseMessage.Kind.PRE_VOTE;
        for (int voterIndex = 0; voterIndex < voters.length; voterIndex++) {
            if (!tally.isGrantedBy(voterIndex)) {
                context.outbox()
                        .enqueue(
                                voters[voterIndex],
                                kind,
                                new LeaseMessage.Entry(slot, tally.epoch()));
            }
        }
    }

    boolean isTimedOut(long nowMicros) {
        return tally != null && nowMicros >= deadlineMicros;
    }

    /** Resends the request to voters that have not granted it, if that is due. */
    void resendIfDue(long nowMicros) {
        if (tally != null && nowMicros >= resendAtMicros) {
            send(nowMicros);
        }
    }

    /** Records a response to the request under way; returns whether a majority has granted it. */
    boolean recordGrant(int voterIndex, long requestedAtMicros, long nowMicros) {
        tally.recordGrant(voterIndex, requestedAtMicros);
        return nowMicros < tally.reliableUntilMicros(context.timing());
    }

    /** Records a response to the request under way; returns whether that is hopeless. */
    boolean recordDenial(long epoch, long requestedAtMicros) {
        return tally.recordDenial(requestedAtMicros) || epoch >= tally.epoch();
    }

    /** Gives up the request under way and backs off. */
    void abandon(long nowMicros) {
        tally = null;
        backOff(nowMicros);
    }

    /** Waits before the next request: longer each time, up to half more at random. */
    void backOff(long nowMicros) {
        long delayMicros = backoffMicros(consecutiveFailures++);
        nextRequestMicros = nowMicros + delayMicros + context.nextRandom(delayMicros / 2);
    }

    private long backoffMicros(int failures) {
        LeaseTiming timing = context.timing();
        return Math.min(
                timing.renewIntervalMicros(),
                timing.minBackoffMicros() << Math.min(MAX_BACKOFF_DOUBLINGS, failures));
    }

    /** Ends the backoff: the slot has been given up by its holder. */
    void resetBackoff(long nowMicros) {
        consecutiveFailures = 0;
        nextRequestMicros = Math.min(nextRequestMicros, nowMicros);
    }

    /** The request under way has a majority: its grants, which now belong to the holder. */
    GrantTally takeMajority() {
        GrantTally majority = tally;
        tally = null;
        consecutiveFailures = 0;
        return majority;
    }

    /** Ends the request under way without backoff. */
    void clear() {
        tally = null;
    }

    /** When the request under way has to be resent or given up. */
    long nextTickMicros() {
        return Math.min(deadlineMicros, resendAtMicros);
    }

    long nextRequestMicros() {
        return nextRequestMicros;
    }

    /** The request under way as a number, times relative to {@code nowMicros}. */
    long requestFingerprint(long nowMicros) {
        return tally == null
                ? 0
                : tally.fingerprint(nowMicros, context.timing())
                        + (deadlineMicros - nowMicros)
                        + 3 * (resendAtMicros - nowMicros)
                        + 5L * resends;
    }

    /** The backoff as a number, times relative to {@code nowMicros}. */
    long backoffFingerprint(long nowMicros) {
        return consecutiveFailures * 7L + Math.max(0, nextRequestMicros - nowMicros);
    }
}
