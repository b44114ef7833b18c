package junctionhead;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Whether a request is within its tenant's share: each tenant has a bucket that is filled at this
 * balancer's part of its rate. That part is learnt in a second: those that stay when most balancers
 * are killed get the others' traffic at once, and with a part learnt over ten seconds refused most
 * of it as over its share.
 */
final class Shares {
    // µs, time constant of what each tenant brings
    private static final double NEWS = 1e6;
    // First tries that say little of a tenant's rate
    private static final double FEW = 3;
    // Requests of a small tenant that chance bunches
    private static final double BURST_LEAST = 4;
    // s of its rate that a tenant may bring at once
    private static final double BURST = 1;

    private final int balancers;
    // Per second, of all balancers
    private final double[] allowed;
    // Faded first tries of each tenant
    private final double[] brought;
    // Requests each may still bring within its share
    private final double[] tokens;
    private final long[] tokensAt;

    Shares(Policy.Settings settings, SplittableRandom random) {
        balancers = settings.balancers();
        allowed =
                settings.tenants().stream()
                        .mapToDouble(Policy.Tenant::allowancePerSecond)
                        .toArray();
        brought = new double[allowed.length];
        // Not all full: all at once overran servers at a start.
        tokens = Arrays.stream(allowed).map(a -> BURST_LEAST * random.nextDouble()).toArray();
        tokensAt = new long[allowed.length];
    }

    void start(long now) {
        Arrays.fill(tokensAt, now);
    }

    void fade(double elapsed) {
        double keep = Math.exp(-elapsed / NEWS);
        for (int i = 0; i < brought.length; i++) {
            brought[i] *= keep;
        }
    }

    /** Whether this request, which has come in now, is over its tenant's share. */
    boolean over(int tenant, boolean resubmission, long now) {
        if (allowed.length == 0) {
            return false;
        }
        brought[tenant] += resubmission ? 0 : 1;
        double rate = allowed[tenant] * part();
        double most = Math.max(BURST_LEAST, rate * BURST);
        tokens[tenant] = Math.min(most, tokens[tenant] + rate * (now - tokensAt[tenant]) / 1e6);
        tokensAt[tenant] = now;
        if (tokens[tenant] < 1) {
            return true;
        }
        tokens[tenant]--;
        return false;
    }

    // This balancer's part of the traffic: even, or more where its middle tenant brings more.
    // Traffic is not
    // spread evenly over balancers; one tenant far over its share must not widen the shares of all.
    private double part() {
        double[] ratios = new double[brought.length];
        for (int i = 0; i < ratios.length; i++) {
            double even = allowed[i] / balancers * NEWS / 1e6;
            ratios[i] = (brought[i] + FEW) / (even + FEW);
        }
        Arrays.sort(ratios);
        return Math.min(1, Math.max(1, ratios[(ratios.length - 1) / 2]) / balancers);
    }
}
