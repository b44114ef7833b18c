package junctionhead.duties;

import java.util.Arrays;

/**
 * What one member has been granted of a slot under one epoch, by its voters; or, while it only
 * sounds them ({@code binding} false), who would grant it.
 */
final class Claim {
    private static final long NEVER = Long.MIN_VALUE / 2;

    final long epoch;
    final boolean binding;
    // When each voter's newest grant was asked for
    private final long[] asked;
    // The newest asking, whose refusals count
    private long sentAt;
    private int refused;

    Claim(long epoch, boolean binding, int voters) {
        this.epoch = epoch;
        this.binding = binding;
        this.asked = new long[voters];
        Arrays.fill(asked, NEVER);
    }

    Claim(Claim other) {
        epoch = other.epoch;
        binding = other.binding;
        asked = other.asked.clone();
        sentAt = other.sentAt;
        refused = other.refused;
    }

    void granted(int voter, long at) {
        asked[voter] = Math.max(asked[voter], at);
    }

    void sent(long at) {
        sentAt = at;
        refused = 0;
    }

    boolean grantedBy(int voter) {
        return asked[voter] != NEVER;
    }

    /** A refusal of what was asked then; whether a majority can't be had by that asking. */
    boolean refused(long at) {
        refused += at == sentAt ? 1 : 0;
        return refused > asked.length - majority();
    }

    private int majority() {
        return asked.length / 2 + 1;
    }

    /**
     * Until when it may be relied on, by the clock of who asked: then one of the majority may be
     * free again.
     */
    long until(Terms terms) {
        long[] sorted = asked.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length - majority()] + terms.usable();
    }

    long fingerprint(long now, Terms terms) {
        long h = (epoch * 31 + refused) * 31 + sentAt - now + (binding ? 1 : 0);
        for (long at : asked) {
            h = h * 31 + Math.max(0, at + terms.usable() - now);
        }
        return h;
    }
}
