package loadbalancer.lease;

import java.util.Arrays;

/**
 * The voters' responses to one member's request for a slot under one epoch: grants, or, if the
 * request is a pre-vote (not {@link #isBinding}), statements that they would grant it.
 */
final class GrantTally {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long epoch;
    private final boolean binding;
    private final int majoritySize;
    // By index of the voter: when the newest request that it granted was sent.
    private final long[] grantRequestedMicros;
    private long lastRequestMicros;
    // Of the newest request
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
     * Until when a majority of the grants binds its voters for certain, µs of the requester's
     * clock; in the past if there is no majority.
     */
    long reliableUntilMicros(LeaseTiming timing) {
        long[] sortedRequestMicros = grantRequestedMicros.clone();
        Arrays.sort(sortedRequestMicros);
        long oldestOfMajorityMicros =
                sortedRequestMicros[sortedRequestMicros.length - majoritySize];
        return oldestOfMajorityMicros + timing.usableMicros();
    }

    /** State as a number, times relative to {@code nowMicros}. */
    long fingerprint(long nowMicros, LeaseTiming timing) {
        long hash = (epoch * 31 + denials) * 31 + lastRequestMicros - nowMicros + (binding ? 1 : 0);
        for (long requestedAtMicros : grantRequestedMicros) {
            hash = hash * 31 + Math.max(0, requestedAtMicros + timing.usableMicros() - nowMicros);
        }
        return hash;
    }
}
