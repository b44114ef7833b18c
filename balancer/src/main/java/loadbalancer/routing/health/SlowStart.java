package loadbalancer.routing.health;

import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.EndpointState;

/**
 * Limits the attempts to recently started endpoints (slow start, the operators' rule 4). Such an
 * endpoint gets a fraction of the traffic of a warm endpoint of the same weight; the fraction grows
 * linearly with its age.
 *
 * <p>Each warming endpoint has a token bucket at this balancer, and each attempt takes a token. The
 * bucket is refilled at this balancer's share of the rate, so the limit holds for the sum of all
 * balancers. Confined to the thread of the routing policy.
 */
public final class SlowStart {
    // Factor by which the rate of a warming endpoint may exceed its ramp fraction of the warm rate.
    private static final double RAMP_MARGIN = 1.6;
    // Successes of a warm endpoint during the shortest latency objective that are assumed while the
    // measured rate is lower or missing.
    private static final double INITIAL_SUCCESSES_PER_OBJECTIVE = 2;
    private static final double MICROS_PER_SECOND = 1e6;
    // A bucket fills up in the overload window divided by this number.
    private static final double FILL_WINDOW_DIVISOR = 3;

    private final RoutingSettings settings;
    private final double minWarmRatePerSecond;
    private double warmRatePerSecondPerWeight;

    /** Creates an instance without a measured rate of warm endpoints. */
    public SlowStart(RoutingSettings settings, long shortestLatencyObjectiveMicros) {
        this.settings = settings;
        this.minWarmRatePerSecond =
                INITIAL_SUCCESSES_PER_OBJECTIVE
                        * MICROS_PER_SECOND
                        / shortestLatencyObjectiveMicros
                        / settings.balancerCount();
    }

    /** Returns the fraction of its full capacity that an endpoint has at its age; 1 if warm. */
    public double rampFraction(EndpointState endpoint, long now) {
        RoutingBounds bounds = settings.bounds();
        long startedAtMicros = endpoint.descriptor().startedAtMicros();
        long ageMicros = now - startedAtMicros;
        boolean startedLongAgo = startedAtMicros <= 0;
        if (startedLongAgo
                || bounds.slowStartMicros() <= 0
                || ageMicros >= bounds.slowStartMicros()) {
            return 1;
        }
        double initialFraction = bounds.initialCapacityFraction();
        return initialFraction
                + (1 - initialFraction) * Math.max(0, ageMicros) / bounds.slowStartMicros();
    }

    /** Returns the fraction of its full capacity that may be used now, from 0 to 1. */
    public double usableFraction(EndpointState endpoint, long now) {
        return Math.min(1, RAMP_MARGIN * rampFraction(endpoint, now));
    }

    /** Refills the endpoint's bucket and returns whether it allows an attempt. */
    public boolean hasBudget(EndpointState endpoint, long now) {
        double rampFraction = rampFraction(endpoint, now);
        if (rampFraction >= 1) {
            return true;
        }
        double warmRatePerSecond =
                Math.max(
                        minWarmRatePerSecond,
                        warmRatePerSecondPerWeight * endpoint.descriptor().weight());
        double ratePerSecond = rampFraction * RAMP_MARGIN * warmRatePerSecond;
        double maxTokens =
                ratePerSecond
                        * settings.bounds().overloadWindowMicros()
                        / (FILL_WINDOW_DIVISOR * MICROS_PER_SECOND);
        long elapsedMicros = now - endpoint.slowStartTokensAtMicros();
        double tokens =
                endpoint.slowStartTokens() + ratePerSecond * elapsedMicros / MICROS_PER_SECOND;
        endpoint.refillSlowStartTokens(boundTokens(tokens, maxTokens), now);
        return endpoint.slowStartTokens() >= 1;
    }

    // A bucket with a capacity of less than one token keeps a token for two thirds of the overload
    // window and then loses it. If every balancer kept a token while idle, a burst could send as
    // many simultaneous attempts to the endpoint as there are balancers.
    private static double boundTokens(double tokens, double maxTokens) {
        return maxTokens >= 1 ? Math.min(maxTokens, tokens) : tokens % (1 + 2 * maxTokens);
    }

    /**
     * Sets the measured rate of warm endpoints.
     *
     * @param successesPerSecond successes of all warm endpoints at this balancer
     * @param totalWeight sum of the weights of all warm endpoints
     */
    public void updateWarmRate(double successesPerSecond, double totalWeight) {
        warmRatePerSecondPerWeight = totalWeight <= 0 ? 0 : successesPerSecond / totalWeight;
    }
}
