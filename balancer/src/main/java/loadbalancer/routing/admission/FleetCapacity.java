package loadbalancer.routing.admission;

import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.api.Tenant;

/**
 * How much of the traffic of all balancers the endpoints in use can carry, as bounds on what the
 * {@link LoadShedder} sheds.
 *
 * <p>Late responses show an overload only seconds after most endpoints are lost, and for seconds
 * after they are back. The tenants' quotas tell at once what the whole fleet is sized for, health
 * and slow start which part of it is in use, and gossip what arrives at all balancers. Between the
 * bounds, latency decides: only it tells how fast the endpoints really are.
 *
 * <p>Confined to the thread of the routing policy.
 */
public final class FleetCapacity {
    private static final double RATE_DECAY_MICROS = 1e6;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MIN_RATE_PER_SECOND = 1e-9;
    // Of the capacity of a whole fleet, what the quotas promise at least
    private static final double MIN_PROMISED_FRACTION = 0.8;
    // Of what the quotas promise, what is admitted at least, however late responses are
    private static final double MIN_USED_FRACTION = 0.6;

    private final double promisedPerSecond;
    // Size of the fleet as first listed; 0 until then
    private int initialEndpointCount;
    private double recentRequests;
    private double availableFraction = 1;

    /** The capacity of a whole fleet, by the quotas of the settings' tenants. */
    public FleetCapacity(RoutingSettings settings) {
        promisedPerSecond = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
    }

    /**
     * Sets the part of the fleet that is available.
     *
     * @param listedCount number of listed endpoints
     * @param usableFraction part of their capacity that is in use: reachable, healthy and warm
     */
    public void updateAvailability(int listedCount, double usableFraction) {
        initialEndpointCount = initialEndpointCount > 0 ? initialEndpointCount : listedCount;
        availableFraction =
                initialEndpointCount > 0 ? usableFraction * listedCount / initialEndpointCount : 1;
    }

    /** Counts a request that has arrived. */
    public void onRequest() {
        recentRequests++;
    }

    /** Decays the rate of requests by the time that has passed. */
    public void decay(double elapsedMicros) {
        recentRequests *= Math.exp(-elapsedMicros / RATE_DECAY_MICROS);
    }

    /** Arrival rate of this balancer. */
    public double requestsPerSecond() {
        return recentRequests / RATE_DECAY_MICROS * MICROS_PER_SECOND;
    }

    /**
     * Fraction of the traffic of all balancers that exceeds the available capacity in the best
     * case; 0 where no quota tells the capacity.
     */
    public double excessFraction(double fleetRatePerSecond) {
        if (promisedPerSecond <= 0) {
            return 0;
        }
        double carriedFraction =
                promisedPerSecond
                        * availableFraction
                        / MIN_PROMISED_FRACTION
                        / Math.max(MIN_RATE_PER_SECOND, fleetRatePerSecond);
        return Math.max(0, 1 - carriedFraction);
    }

    /**
     * Fraction of the traffic of all balancers that may be shed at most; the available capacity
     * carries the rest, if late. 1 where no quota tells the capacity.
     */
    double maxShedFraction(double fleetRatePerSecond) {
        if (promisedPerSecond <= 0) {
            return 1;
        }
        double carriedFraction =
                MIN_USED_FRACTION
                        * promisedPerSecond
                        * availableFraction
                        / Math.max(MIN_RATE_PER_SECOND, fleetRatePerSecond);
        return Math.max(0, 1 - carriedFraction);
    }
}
