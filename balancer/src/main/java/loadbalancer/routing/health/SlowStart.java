package loadbalancer.routing.health;

import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.EndpointState;

/** Rule 4: a cold server gets its part of what warm ones of like weight take, from nothing on. */
public final class SlowStart {
    // Work sent to a cold server, as a share of what a warm one of like weight takes at the same
    // coldness.
    private static final double RAMP_MARGIN = 1.6;

    private final RoutingSettings settings;
    // Answers per second of a warm server, before any is known
    private final double minWarmRate;
    // Answers per second and weight of warm servers
    private double warmRatePerWeight;

    public SlowStart(RoutingSettings settings, long shortestLatencyObjectiveMicros) {
        this.settings = settings;
        // A warm server gives two answers in the shortest aim, to all balancers.
        this.minWarmRate = 2e6 / shortestLatencyObjectiveMicros / settings.balancerCount();
    }

    /** The part of its full speed that a server has by now, 1: it is warm. */
    public double rampFraction(EndpointState endpoint, long now) {
        RoutingBounds bounds = settings.bounds();
        long ageMicros = now - endpoint.descriptor.startedAtMicros();
        if (endpoint.descriptor.startedAtMicros() <= 0
                || bounds.slowStartMicros() <= 0
                || ageMicros >= bounds.slowStartMicros()) {
            return 1;
        }
        return bounds.initialCapacityFraction()
                + (1 - bounds.initialCapacityFraction())
                        * Math.max(0, ageMicros)
                        / bounds.slowStartMicros();
    }

    /** The part of its full speed that may be asked of a server now. */
    public double usableFraction(EndpointState endpoint, long now) {
        return Math.min(1, RAMP_MARGIN * rampFraction(endpoint, now));
    }

    public boolean hasBudget(EndpointState endpoint, long now) {
        double rampFraction = rampFraction(endpoint, now);
        if (rampFraction >= 1) {
            return true;
        }
        // Answers per second that a warm server of its weight gives this balancer.
        double ratePerSecond =
                rampFraction
                        * RAMP_MARGIN
                        * Math.max(minWarmRate, warmRatePerWeight * endpoint.descriptor.weight());
        double maxTokens = ratePerSecond * settings.bounds().overloadWindowMicros() / 3e6;
        double tokens =
                endpoint.slowStartTokens
                        + ratePerSecond * (now - endpoint.slowStartTokensAtMicros) / 1e6;
        // Less than one at a time: one is kept for two thirds of the window, then lost. Guards
        // against as
        // many at once as there are balancers, each of which had saved one while there was little
        // to do.
        endpoint.slowStartTokens =
                maxTokens >= 1 ? Math.min(maxTokens, tokens) : tokens % (1 + 2 * maxTokens);
        endpoint.slowStartTokensAtMicros = now;
        return endpoint.slowStartTokens >= 1;
    }

    /** Learns from warm servers: so many answers a second, by servers of so much weight. */
    public void updateWarmRate(double successesPerSecond, double totalWeight) {
        warmRatePerWeight = totalWeight <= 0 ? 0 : successesPerSecond / totalWeight;
    }
}
