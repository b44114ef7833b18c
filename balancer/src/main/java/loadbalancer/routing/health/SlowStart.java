package loadbalancer.routing.health;

import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.EndpointState;

/**
 * Slow start (the operators' rule 4): an endpoint that was started recently gets a part of what a
 * warm one of the same weight gets, which grows linearly with its age.
 *
 * <p>Each endpoint that warms up has a token bucket here, which is filled at this balancer's part
 * of the rate and from which each attempt takes a token; so the bound holds for the sum of all
 * balancers. Confined to the thread of the routing policy.
 */
public final class SlowStart {
    // Rate of a warming endpoint over its exact part of a warm one's
    private static final double RAMP_MARGIN = 1.6;
    // Successes of a warm endpoint within the shortest latency objective, before any is measured
    private static final double INITIAL_SUCCESSES_PER_OBJECTIVE = 2;
    private static final double MICROS_PER_SECOND = 1e6;
    // Part of the overload window in which a bucket fills up
    private static final double FILL_WINDOW_DIVISOR = 3;

    private final RoutingSettings settings;
    private final double minWarmRatePerSecond;
    private double warmRatePerSecondAndWeight;

    /** Starts without a measured rate of warm endpoints. */
    public SlowStart(RoutingSettings settings, long shortestLatencyObjectiveMicros) {
        this.settings = settings;
        this.minWarmRatePerSecond =
                INITIAL_SUCCESSES_PER_OBJECTIVE
                        * MICROS_PER_SECOND
                        / shortestLatencyObjectiveMicros
                        / settings.balancerCount();
    }

    /** Part of its full capacity that an endpoint has by its age, from 0 to 1; 1: it is warm. */
    public double rampFraction(EndpointState endpoint, long now) {
        RoutingBounds bounds = settings.bounds();
        long startedAtMicros = endpoint.descriptor().startedAtMicros();
        long ageMicros = now - startedAtMicros;
        boolean hasLongBeenStarted = startedAtMicros <= 0;
        if (hasLongBeenStarted
                || bounds.slowStartMicros() <= 0
                || ageMicros >= bounds.slowStartMicros()) {
            return 1;
        }
        double initialFraction = bounds.initialCapacityFraction();
        return initialFraction
                + (1 - initialFraction) * Math.max(0, ageMicros) / bounds.slowStartMicros();
    }

    /** Part of its full capacity that may be asked of an endpoint now. */
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
                        warmRatePerSecondAndWeight * endpoint.descriptor().weight());
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

    // A bucket that holds less than one token keeps one for two thirds of the overload window and
    // then loses it. If all balancers kept one in a quiet time, a burst would bring the endpoint as
    // many attempts at once as there are balancers.
    private static double boundTokens(double tokens, double maxTokens) {
        return maxTokens >= 1 ? Math.min(maxTokens, tokens) : tokens % (1 + 2 * maxTokens);
    }

    /**
     * Sets the rate of warm endpoints.
     *
     * @param successesPerSecond of all warm endpoints at this balancer
     * @param totalWeight of all warm endpoints
     */
    public void updateWarmRate(double successesPerSecond, double totalWeight) {
        warmRatePerSecondAndWeight = totalWeight <= 0 ? 0 : successesPerSecond / totalWeight;
    }
}
