package loadbalancer.routing.admission;

import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.api.Tenant;

/**
 * How much of what comes to all balancers the servers in reach can carry. Guards against refusal
 * that is learnt from late answers: with most servers lost it began seconds late, and then went on
 * for seconds after they were back, at all balancers together. What tenants are promised tells what
 * the whole fleet can do; the part of it that is in reach and warm is known at once, and so is what
 * comes, as balancers tell each other. It only bounds what strain bids: how fast servers really
 * are, only answers tell.
 */
public final class FleetCapacity {
    // µs, time constant of the rate of requests
    private static final double RATE_DECAY_MICROS = 1e6;
    // Tenants' shares, of what the whole fleet can do
    private static final double MIN_PROMISED_FRACTION = 0.8;
    // Of what is promised, however late answers are
    private static final double MIN_USED_FRACTION = 0.6;

    // Requests per second, of the whole fleet
    private final double promisedPerSecond;
    // Servers of the fleet when first listed
    private int initialEndpointCount;
    // Faded requests
    private double recentRequests;
    // Of the whole fleet, in reach and warm
    private double availableFraction = 1;

    public FleetCapacity(RoutingSettings settings) {
        promisedPerSecond = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
    }

    /**
     * So many servers are listed, and {@code usableFraction} of what they all can do is in reach
     * and warm.
     */
    public void updateAvailability(int listedCount, double usableFraction) {
        initialEndpointCount = initialEndpointCount > 0 ? initialEndpointCount : listedCount;
        availableFraction =
                initialEndpointCount > 0 ? usableFraction * listedCount / initialEndpointCount : 1;
    }

    public void onRequest() {
        recentRequests++;
    }

    public void decay(double elapsedMicros) {
        recentRequests *= Math.exp(-elapsedMicros / RATE_DECAY_MICROS);
    }

    /** Requests that this balancer gets a second. */
    public double requestsPerSecond() {
        return recentRequests / RATE_DECAY_MICROS * 1e6;
    }

    /**
     * The part of {@code fleetRatePerSecond} requests a second that is more than the fleet in reach
     * can carry, at best.
     */
    public double excessFraction(double fleetRatePerSecond) {
        return promisedPerSecond > 0
                ? Math.max(
                        0,
                        1
                                - promisedPerSecond
                                        * availableFraction
                                        / MIN_PROMISED_FRACTION
                                        / Math.max(1e-9, fleetRatePerSecond))
                : 0;
    }

    /** The part of them that may be refused at most: servers in reach carry the rest, if late. */
    double maxShedFraction(double fleetRatePerSecond) {
        return promisedPerSecond > 0
                ? Math.max(
                        0,
                        1
                                - MIN_USED_FRACTION
                                        * promisedPerSecond
                                        * availableFraction
                                        / Math.max(1e-9, fleetRatePerSecond))
                : 1;
    }
}
