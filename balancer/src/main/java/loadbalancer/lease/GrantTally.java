package loadbalancer.lease;

import java.util.Arrays;

/**
 * What one member has been granted of a slot under one epoch, by its voters; or, while it only
 * sounds them ({@code binding} false), who would grant it.
 */
final class GrantTally {
    private static final long NEVER = Long.MIN_VALUE / 2;

    final long epoch;
    final boolean binding;
    // When each voter's newest grant was asked for
    private final long[] grantRequestedMicros;
    // The newest asking, whose refusals count
    private long lastRequestMicros;
    private int denials;

    GrantTally(long epoch, boolean binding, int voterCount) {
        this.epoch = epoch;
        this.binding = binding;
        this.grantRequestedMicros = new long[voterCount];
        Arrays.fill(grantRequestedMicros, NEVER);
    }

    GrantTally(GrantTally other) {
        epoch = other.epoch;
        binding = other.binding;
        grantRequestedMicros = other.grantRequestedMicros.clone();
        lastRequestMicros = other.lastRequestMicros;
        denials = other.denials;
    }

    void recordGrant(int voter, long requestedAtMicros) {
        grantRequestedMicros[voter] = Math.max(grantRequestedMicros[voter], requestedAtMicros);
    }

    void recordRequest(long sentAtMicros) {
        lastRequestMicros = sentAtMicros;
        denials = 0;
    }

    boolean isGrantedBy(int voter) {
        return grantRequestedMicros[voter] != NEVER;
    }

    /** A refusal of what was asked then; whether a majority can't be had by that asking. */
    boolean recordDenial(long requestedAtMicros) {
        denials += requestedAtMicros == lastRequestMicros ? 1 : 0;
        return denials > grantRequestedMicros.length - majoritySize();
    }

    private int majoritySize() {
        return grantRequestedMicros.length / 2 + 1;
    }

    /**
     * Until when it may be relied on, by the clock of who asked: then one of the majority may be
     * free again.
     */
    long reliableUntilMicros(LeaseTiming timing) {
        long[] sortedRequestMicros = grantRequestedMicros.clone();
        Arrays.sort(sortedRequestMicros);
        return sortedRequestMicros[sortedRequestMicros.length - majoritySize()]
                + timing.usableMicros();
    }

    long fingerprint(long nowMicros, LeaseTiming timing) {
        long hash = (epoch * 31 + denials) * 31 + lastRequestMicros - nowMicros + (binding ? 1 : 0);
        for (long requestedAtMicros : grantRequestedMicros) {
            hash = hash * 31 + Math.max(0, requestedAtMicros + timing.usableMicros() - nowMicros);
        }
        return hash;
    }
}
