package loadbalancer.routing.admission;

import java.util.Arrays;
import java.util.SplittableRandom;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.api.Tenant;

/**
 * Identifies the requests that exceed their tenant's quota, with a token bucket per tenant. A
 * bucket is refilled at this balancer's share of the tenant's quota.
 *
 * <p>The share is estimated from the traffic of the last second. When most balancers are lost, the
 * remaining ones get their traffic immediately, and a slower estimate would mark most of it as over
 * quota. Confined to the thread of the routing policy.
 */
public final class TenantQuotas {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double DEMAND_DECAY_MICROS = 1e6;
    // Added to measured and expected demand, so that a few requests have little effect.
    private static final double DEMAND_PSEUDO_COUNT = 3;
    // Smallest burst of a tenant, because a few requests may arrive together by chance.
    private static final double MIN_BURST_REQUESTS = 4;
    private static final double BURST_SECONDS = 1;

    // All arrays have one element per tenant.
    private final int balancerCount;
    private final double[] quotaPerSecond;
    private final double[] recentDemand;
    private final double[] tokens;
    private final long[] tokensUpdatedAtMicros;

    /**
     * Creates buckets with random fill levels. If all buckets were full, the balancers together
     * would admit too much traffic after a start.
     */
    public TenantQuotas(RoutingSettings settings, SplittableRandom random) {
        balancerCount = settings.balancerCount();
        quotaPerSecond = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).toArray();
        recentDemand = new double[quotaPerSecond.length];
        tokens = new double[quotaPerSecond.length];
        Arrays.setAll(tokens, tenant -> MIN_BURST_REQUESTS * random.nextDouble());
        tokensUpdatedAtMicros = new long[quotaPerSecond.length];
    }

    /** Sets the time from which the buckets are refilled. */
    public void start(long now) {
        Arrays.fill(tokensUpdatedAtMicros, now);
    }

    /** Decays the measured demand by the elapsed time. */
    public void decay(double elapsedMicros) {
        double retainedFraction = Math.exp(-elapsedMicros / DEMAND_DECAY_MICROS);
        for (int tenant = 0; tenant < recentDemand.length; tenant++) {
            recentDemand[tenant] *= retainedFraction;
        }
    }

    /**
     * Counts a request that arrives now and returns whether it exceeds its tenant's quota.
     *
     * @param tenant index of the tenant
     * @param resubmission whether the client has sent the request before; a resubmission takes a
     *     token but does not count as demand
     */
    public boolean isOverQuota(int tenant, boolean resubmission, long now) {
        if (quotaPerSecond.length == 0) {
            return false;
        }
        recentDemand[tenant] += resubmission ? 0 : 1;
        refill(tenant, now);
        if (tokens[tenant] < 1) {
            return true;
        }
        tokens[tenant]--;
        return false;
    }

    private void refill(int tenant, long now) {
        double localRatePerSecond = quotaPerSecond[tenant] * localShare();
        double maxTokens = Math.max(MIN_BURST_REQUESTS, localRatePerSecond * BURST_SECONDS);
        long elapsedMicros = now - tokensUpdatedAtMicros[tenant];
        double newTokens = localRatePerSecond * elapsedMicros / MICROS_PER_SECOND;
        tokens[tenant] = Math.min(maxTokens, tokens[tenant] + newTokens);
        tokensUpdatedAtMicros[tenant] = now;
    }

    // Returns this balancer's share of the traffic: an even share, or more if the median tenant
    // sends more here, because traffic is not spread evenly. Through the use of the median, a
    // single tenant far over its quota does not raise the rates of all tenants.
    private double localShare() {
        double[] demandRatios = new double[recentDemand.length];
        for (int tenant = 0; tenant < demandRatios.length; tenant++) {
            double evenDemand =
                    quotaPerSecond[tenant]
                            / balancerCount
                            * DEMAND_DECAY_MICROS
                            / MICROS_PER_SECOND;
            demandRatios[tenant] =
                    (recentDemand[tenant] + DEMAND_PSEUDO_COUNT)
                            / (evenDemand + DEMAND_PSEUDO_COUNT);
        }
        Arrays.sort(demandRatios);
        double medianRatio = demandRatios[(demandRatios.length - 1) / 2];
        return Math.min(1, Math.max(1, medianRatio) / balancerCount);
    }
}
