package loadbalancer.routing.admission;

import java.util.Arrays;
import java.util.SplittableRandom;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.api.Tenant;

/**
 * Whether a request is within its tenant's share: each tenant has a bucket that is filled at this
 * balancer's part of its rate. That part is learnt in a second: those that stay when most balancers
 * are killed get the others' traffic at once, and with a part learnt over ten seconds refused most
 * of it as over its share.
 */
public final class TenantQuotas {
    // µs, time constant of what each tenant brings
    private static final double DEMAND_DECAY_MICROS = 1e6;
    // First tries that say little of a tenant's rate
    private static final double DEMAND_PSEUDO_COUNT = 3;
    // Requests of a small tenant that chance bunches
    private static final double MIN_BURST_REQUESTS = 4;
    // s of its rate that a tenant may bring at once
    private static final double BURST_SECONDS = 1;

    private final int balancerCount;
    // Per second, of all balancers
    private final double[] allowedPerSecond;
    // Faded first tries of each tenant
    private final double[] recentDemand;
    // Requests each may still bring within its share
    private final double[] tokens;
    private final long[] tokensUpdatedAtMicros;

    public TenantQuotas(RoutingSettings settings, SplittableRandom random) {
        balancerCount = settings.balancerCount();
        allowedPerSecond =
                settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).toArray();
        recentDemand = new double[allowedPerSecond.length];
        // Not all full: all at once overran servers at a start.
        tokens =
                Arrays.stream(allowedPerSecond)
                        .map(allowance -> MIN_BURST_REQUESTS * random.nextDouble())
                        .toArray();
        tokensUpdatedAtMicros = new long[allowedPerSecond.length];
    }

    public void start(long now) {
        Arrays.fill(tokensUpdatedAtMicros, now);
    }

    public void decay(double elapsedMicros) {
        double retainedFraction = Math.exp(-elapsedMicros / DEMAND_DECAY_MICROS);
        for (int i = 0; i < recentDemand.length; i++) {
            recentDemand[i] *= retainedFraction;
        }
    }

    /** Whether this request, which has come in now, is over its tenant's share. */
    public boolean isOverQuota(int tenant, boolean resubmission, long now) {
        if (allowedPerSecond.length == 0) {
            return false;
        }
        recentDemand[tenant] += resubmission ? 0 : 1;
        double localRatePerSecond = allowedPerSecond[tenant] * localFraction();
        double maxTokens = Math.max(MIN_BURST_REQUESTS, localRatePerSecond * BURST_SECONDS);
        tokens[tenant] =
                Math.min(
                        maxTokens,
                        tokens[tenant]
                                + localRatePerSecond * (now - tokensUpdatedAtMicros[tenant]) / 1e6);
        tokensUpdatedAtMicros[tenant] = now;
        if (tokens[tenant] < 1) {
            return true;
        }
        tokens[tenant]--;
        return false;
    }

    // This balancer's part of the traffic: even, or more where its middle tenant brings more.
    // Traffic is not
    // spread evenly over balancers; one tenant far over its share must not widen the shares of all.
    private double localFraction() {
        double[] demandRatios = new double[recentDemand.length];
        for (int i = 0; i < demandRatios.length; i++) {
            double evenDemand = allowedPerSecond[i] / balancerCount * DEMAND_DECAY_MICROS / 1e6;
            demandRatios[i] =
                    (recentDemand[i] + DEMAND_PSEUDO_COUNT) / (evenDemand + DEMAND_PSEUDO_COUNT);
        }
        Arrays.sort(demandRatios);
        return Math.min(
                1, Math.max(1, demandRatios[(demandRatios.length - 1) / 2]) / balancerCount);
    }
}
