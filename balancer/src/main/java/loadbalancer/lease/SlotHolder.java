package loadbalancer.lease;

/** One member as the holder of one slot, or, between leases, as nothing. */
final class SlotHolder {
    private static final long NEVER = Long.MAX_VALUE;

    private final LeaseTiming timing;
    // Grants of the lease held; null if none is.
    private GrantTally grants;
    private long renewAtMicros;
    // Since when another member has been preferred; NEVER if this one is, or if nothing is held.
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

    /** Whether a lease is held that has not been given up yet; it may have expired. */
    boolean isHolding() {
        return grants != null;
    }

    boolean isHolding(long epoch) {
        return grants != null && grants.epoch() == epoch;
    }

    /** Epoch of the lease held. */
    long epoch() {
        return grants.epoch();
    }

    /** When the lease held expires, µs. */
    long expiresAtMicros() {
        return grants.reliableUntilMicros(timing);
    }

    boolean isExpired(long nowMicros) {
        return grants != null && nowMicros >= expiresAtMicros();
    }

    /** Holds a lease from now on, in place of one under a lower epoch. */
    void acquire(GrantTally majority, long requestedAtMicros) {
        grants = majority;
        renewAtMicros = requestedAtMicros + timing.renewIntervalMicros();
    }

    void recordGrant(int voterIndex, long requestedAtMicros) {
        grants.recordGrant(voterIndex, requestedAtMicros);
    }

    /** Whether the lease held has to be renewed within {@code withinMicros}. */
    boolean isRenewalDue(long nowMicros, long withinMicros) {
        return grants != null && nowMicros + withinMicros >= renewAtMicros;
    }

    void onRenewalSent(long nowMicros) {
        renewAtMicros = nowMicros + timing.renewIntervalMicros();
    }

    /** Whether another member has been preferred for the handover delay; call at each tick. */
    boolean isHandoverDue(boolean selfPreferred, long nowMicros) {
        notPreferredSinceMicros =
                selfPreferred ? NEVER : Math.min(notPreferredSinceMicros, nowMicros);
        return notPreferredSinceMicros != NEVER
                && nowMicros >= notPreferredSinceMicros + timing.handoverDelayMicros();
    }

    /** Holds nothing from now on. */
    void clear() {
        grants = null;
        notPreferredSinceMicros = NEVER;
    }

    /** When the lease held has to be renewed, given up or handed over. */
    long nextTickMicros() {
        long nextMicros = Math.min(renewAtMicros, expiresAtMicros());
        return notPreferredSinceMicros == NEVER
                ? nextMicros
                : Math.min(nextMicros, notPreferredSinceMicros + timing.handoverDelayMicros());
    }

    /** The lease held as a number, times relative to {@code nowMicros}. */
    long fingerprint(long nowMicros) {
        return grants == null
                ? 0
                : grants.fingerprint(nowMicros, timing) + (renewAtMicros - nowMicros);
    }

    /** How long another member has been preferred, µs; 0 if none is. */
    long notPreferredMicros(long nowMicros) {
        return notPreferredSinceMicros == NEVER ? 0 : nowMicros - notPreferredSinceMicros;
    }
}
