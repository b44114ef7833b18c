package loadbalancer.lease;

/**
 * Requests one slot for one member: tracks the pending request, if any, and the backoff before the
 * next one.
 *
 * <p>A candidate first sends a pre-vote, which raises no epoch: if some voters promised a higher
 * epoch without a majority for it, they would deny the present holder's renewal. A binding request
 * follows when a majority would grant it. Requests are resent with backoff to the voters that have
 * not granted them. Only the caller's event loop uses this class.
 */
final class SlotCandidate {
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final int slot;
    private final int[] voters;
    private final LeaseContext context;
    // Responses to the pending request; null if there is none.
    private GrantTally tally;
    private long deadlineMicros;
    private long resendAtMicros;
    private int resends;
    // The backoff before the next request ends at this time.
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

    /** Returns whether a request is pending. */
    boolean isRequesting() {
        return tally != null;
    }

    /** Returns whether a request of this kind is pending under this epoch. */
    boolean isRequesting(long epoch, boolean binding) {
        return tally != null && tally.epoch() == epoch && tally.isBinding() == binding;
    }

    boolean isRequestingBinding() {
        return tally != null && tally.isBinding();
    }

    /** Returns the epoch of the pending request. */
    long epoch() {
        return tally.epoch();
    }

    /** Returns whether the backoff is over. */
    boolean mayRequest(long nowMicros) {
        return nowMicros >= nextRequestMicros;
    }

    /** Sends a request, or a pre-vote, which replaces the pending one. */
    void request(long epoch, boolean binding, long nowMicros) {
        tally = new GrantTally(epoch, binding, voters.length);
        // A binding request does not time out before its grants end. Otherwise, each delay of a
        // voter's disk would cost another epoch and another sync.
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

    /** Resends the request to the voters that have not granted it, if that is due. */
    void resendIfDue(long nowMicros) {
        if (tally != null && nowMicros >= resendAtMicros) {
            send(nowMicros);
        }
    }

    /** Records a grant of the pending request; returns whether a majority has granted it. */
    boolean recordGrant(int voterIndex, long requestedAtMicros, long nowMicros) {
        tally.recordGrant(voterIndex, requestedAtMicros);
        return nowMicros < tally.reliableUntilMicros(context.timing());
    }

    /**
     * Records a denial of the pending request; returns whether the request can no longer succeed.
     */
    boolean recordDenial(long epoch, long requestedAtMicros) {
        return tally.recordDenial(requestedAtMicros) || epoch >= tally.epoch();
    }

    /** Abandons the pending request and backs off. */
    void abandon(long nowMicros) {
        tally = null;
        backOff(nowMicros);
    }

    /**
     * Delays the next request, longer after each consecutive failure, plus up to half of the delay
     * at random.
     */
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

    /** Ends the backoff because the holder has released the slot. */
    void resetBackoff(long nowMicros) {
        consecutiveFailures = 0;
        nextRequestMicros = Math.min(nextRequestMicros, nowMicros);
    }

    /** Ends the pending request, which has a majority, and returns its grants for the holder. */
    GrantTally takeMajority() {
        GrantTally majority = tally;
        tally = null;
        consecutiveFailures = 0;
        return majority;
    }

    /** Ends the pending request without backoff. */
    void clear() {
        tally = null;
    }

    /** Returns when the pending request has to be resent or abandoned, µs. */
    long nextTickMicros() {
        return Math.min(deadlineMicros, resendAtMicros);
    }

    long nextRequestMicros() {
        return nextRequestMicros;
    }

    /** Returns a hash of the pending request, with times relative to {@code nowMicros}. */
    long requestFingerprint(long nowMicros) {
        return tally == null
                ? 0
                : tally.fingerprint(nowMicros, context.timing())
                        + (deadlineMicros - nowMicros)
                        + 3 * (resendAtMicros - nowMicros)
                        + 5L * resends;
    }

    /** Returns a hash of the backoff, with times relative to {@code nowMicros}. */
    long backoffFingerprint(long nowMicros) {
        return consecutiveFailures * 7L + Math.max(0, nextRequestMicros - nowMicros);
    }
}
