package loadbalancer.lease;

import java.util.Arrays;

/**
 * Counts the voters' responses to one member's request for a slot under one epoch. If the request
 * is a pre-vote (not {@link #isBinding}), a grant only states that the voter would grant the slot.
 * Only the caller's event loop uses this class.
 */
final class GrantTally {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long epoch;
    private final boolean binding;
    private final int majoritySize;
    // When the newest request that each voter granted was sent, by the voter's index; NEVER if the
    // voter has granted none.
    private final long[] grantRequestedMicros;
    private long lastRequestMicros;
    // Number of denials of the newest request.
    private int denials;

    GrantTally(long epoch, boolean binding, int voterCount) {
        this.epoch = epoch;
        this.binding = binding;
        this.majoritySize = voterCount / 2 + 1;
        this.grantRequestedMicros = new long[voterCount];
        Arrays.fill(grantRequestedMicros, NEVER);
    }

    GrantTally(GrantTally other) {
        epoch = other.epoch;
        binding = other.binding;
        majoritySize = other.majoritySize;
        grantRequestedMicros = other.grantRequestedMicros.clone();
        lastRequestMicros = other.lastRequestMicros;
        denials = other.denials;
    }

    long epoch() {
        return epoch;
    }

    boolean isBinding() {
        return binding;
    }

    void recordRequest(long sentAtMicros) {
        lastRequestMicros = sentAtMicros;
        denials = 0;
    }

    void recordGrant(int voterIndex, long requestedAtMicros) {
        grantRequestedMicros[voterIndex] =
                Math.max(grantRequestedMicros[voterIndex], requestedAtMicros);
    }

    boolean isGrantedBy(int voterIndex) {
        return grantRequestedMicros[voterIndex] != NEVER;
    }

    /** Records a denial; returns whether the newest request can no longer get a majority. */
    boolean recordDenial(long requestedAtMicros) {
        if (requestedAtMicros == lastRequestMicros) {
            denials++;
        }
        return denials > grantRequestedMicros.length - majoritySize;
    }

    /**
     * Returns until when the grants of a majority are certainly in force, µs of the requester's
     * clock; a time in the past if there is no majority.
     */
    long reliableUntilMicros(LeaseTiming timing) {
        long[] sortedRequestMicros = grantRequestedMicros.clone();
        Arrays.sort(sortedRequestMicros);
        long oldestOfMajorityMicros =
                sortedRequestMicros[sortedRequestMicros.length - majoritySize];
        return oldestOfMajorityMicros + timing.usableMicros();
    }

    /** Returns a hash of the state, with times relative to {@code nowMicros}. */
    long fingerprint(long nowMicros, LeaseTiming timing) {
        long hash = (epoch * 31 + denials) * 31 + lastRequestMicros - nowMicros + (binding ? 1 : 0);
        for (long requestedAtMicros : grantRequestedMicros) {
            hash = hash * 31 + Math.max(0, requestedAtMicros + timing.usableMicros() - nowMicros);
        }
        return hash;
    }
}
