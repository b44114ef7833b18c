package loadbalancer.routing.admission;

import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.api.Tenant;

/**
 * Estimates how much of the traffic of all balancers the available endpoints can serve, and derives
 * bounds on the fraction that the {@link LoadShedder} sheds.
 *
 * <p>Latency shows an overload only seconds after most endpoints are lost, and still shows it for
 * seconds after they are back. The following are known immediately: the capacity of the whole fleet
 * from the tenants' quotas, the available part of it from health and slow start, and the arrival
 * rate of all balancers from gossip. Between the bounds latency decides, because only latency shows
 * how fast the endpoints actually are.
 *
 * <p>Confined to the thread of the routing policy.
 */
public final class FleetCapacity {
    private static final double RATE_DECAY_MICROS = 1e6;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MIN_RATE_PER_SECOND = 1e-9;
    // The sum of all quotas is at least this fraction of the capacity of the whole fleet.
    private static final double MIN_QUOTA_TO_CAPACITY_RATIO = 0.8;
    // At least this fraction of the sum of all quotas is admitted, however late responses are.
    private static final double MIN_ADMITTED_QUOTA_FRACTION = 0.6;

    private final double totalQuotaPerSecond;
    // Size of the first endpoint list, or 0 before it.
    private int initialEndpointCount;
    private double recentRequests;
    private double availableFraction = 1;

    /** Creates an estimate from the quotas of the tenants; the whole fleet is available. */
    public FleetCapacity(RoutingSettings settings) {
        totalQuotaPerSecond = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
    }

    /**
     * Sets which part of the fleet is available.
     *
     * @param listedCount number of listed endpoints
     * @param usableFraction fraction of their capacity that is reachable, healthy and warm
     */
    public void updateAvailability(int listedCount, double usableFraction) {
        initialEndpointCount = initialEndpointCount > 0 ? initialEndpointCount : listedCount;
        availableFraction =
                initialEndpointCount > 0 ? usableFraction * listedCount / initialEndpointCount : 1;
    }

    /** Counts an arriving request. */
    public void onRequest() {
        recentRequests++;
    }

    /** Decays the arrival rate by the elapsed time. */
    public void decay(double elapsedMicros) {
        recentRequests *= Math.exp(-elapsedMicros / RATE_DECAY_MICROS);
    }

    /** Returns the arrival rate of this balancer. */
    public double requestsPerSecond() {
        return recentRequests / RATE_DECAY_MICROS * MICROS_PER_SECOND;
    }

    /**
     * Returns the fraction of the traffic of all balancers that exceeds the highest possible
     * capacity of the available endpoints, or 0 if no quotas are set.
     *
     * @param fleetRatePerSecond arrival rate of all balancers
     */
    public double excessFraction(double fleetRatePerSecond) {
        if (totalQuotaPerSecond <= 0) {
            return 0;
        }
        double servedFraction =
                totalQuotaPerSecond
                        * availableFraction
                        / MIN_QUOTA_TO_CAPACITY_RATIO
                        / Math.max(MIN_RATE_PER_SECOND, fleetRatePerSecond);
        return Math.max(0, 1 - servedFraction);
    }

    /**
     * Returns the largest fraction of the traffic of all balancers that may be shed, or 1 if no
     * quotas are set. The available endpoints can serve the rest, possibly late.
     *
     * @param fleetRatePerSecond arrival rate of all balancers
     */
    double maxShedFraction(double fleetRatePerSecond) {
        if (totalQuotaPerSecond <= 0) {
            return 1;
        }
        double servedFraction =
                MIN_ADMITTED_QUOTA_FRACTION
                        * totalQuotaPerSecond
                        * availableFraction
                        / Math.max(MIN_RATE_PER_SECOND, fleetRatePerSecond);
        return Math.max(0, 1 - servedFraction);
    }
}
