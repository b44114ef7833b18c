package loadbalancer.lease;

/**
 * Tracks the lease that one member holds of one slot, if any: its grants, renewal and handover.
 * Only the caller's event loop uses it.
 */
final class SlotHolder {
    private static final long NEVER = Long.MAX_VALUE;

    private final LeaseTiming timing;
    // Grants of the lease held; null if no lease is held.
    private GrantTally grants;
    private long renewAtMicros;
    // Start of the period in which another member is preferred; NEVER if this member is preferred
    // or holds no lease.
    private long notPreferredSinceMicros = NEVER;

    SlotHolder(LeaseTiming timing) {
        this.timing = timing;
    }

    SlotHolder(SlotHolder other) {
        timing = other.timing;
        grants = other.grants == null ? null : new GrantTally(other.grants);
        renewAtMicros = other.renewAtMicros;
        notPreferredSinceMicros = other.notPreferredSinceMicros;
    }

    /** Returns whether a lease is held that has not been released yet; it may have expired. */
    boolean isHolding() {
        return grants != null;
    }

    boolean isHolding(long epoch) {
        return grants != null && grants.epoch() == epoch;
    }

    /** Returns the epoch of the lease held. */
    long epoch() {
        return grants.epoch();
    }

    /** Returns when the lease held expires, µs. */
    long expiresAtMicros() {
        return grants.reliableUntilMicros(timing);
    }

    boolean isExpired(long nowMicros) {
        return grants != null && nowMicros >= expiresAtMicros();
    }

    /** Starts to hold a lease, which replaces one under a lower epoch. */
    void acquire(GrantTally majority, long requestedAtMicros) {
        grants = majority;
        renewAtMicros = requestedAtMicros + timing.renewIntervalMicros();
    }

    void recordGrant(int voterIndex, long requestedAtMicros) {
        grants.recordGrant(voterIndex, requestedAtMicros);
    }

    /** Returns whether the lease held has to be renewed within {@code withinMicros} µs. */
    boolean isRenewalDue(long nowMicros, long withinMicros) {
        return grants != null && nowMicros + withinMicros >= renewAtMicros;
    }

    void onRenewalSent(long nowMicros) {
        renewAtMicros = nowMicros + timing.renewIntervalMicros();
    }

    /**
     * Returns whether another member has been preferred for the handover delay. Has to be called at
     * each tick, because it records when the preference changes.
     */
    boolean isHandoverDue(boolean selfPreferred, long nowMicros) {
        notPreferredSinceMicros =
                selfPreferred ? NEVER : Math.min(notPreferredSinceMicros, nowMicros);
        return notPreferredSinceMicros != NEVER
                && nowMicros >= notPreferredSinceMicros + timing.handoverDelayMicros();
    }

    /** Ends the lease held. */
    void clear() {
        grants = null;
        notPreferredSinceMicros = NEVER;
    }

    /** Returns when the lease held has to be renewed, released or transferred, µs. */
    long nextTickMicros() {
        long nextMicros = Math.min(renewAtMicros, expiresAtMicros());
        return notPreferredSinceMicros == NEVER
                ? nextMicros
                : Math.min(nextMicros, notPreferredSinceMicros + timing.handoverDelayMicros());
    }

    /** Returns a hash of the lease held, with times relative to {@code nowMicros}. */
    long fingerprint(long nowMicros) {
        return grants == null
                ? 0
                : grants.fingerprint(nowMicros, timing) + (renewAtMicros - nowMicros);
    }

    /** Returns how long another member has been preferred, µs; 0 if none is. */
    long notPreferredMicros(long nowMicros) {
        return notPreferredSinceMicros == NEVER ? 0 : nowMicros - notPreferredSinceMicros;
    }
}
