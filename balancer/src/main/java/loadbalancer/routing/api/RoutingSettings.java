package loadbalancer.routing.api;

import java.util.List;

/**
 * The settings of the routing policy of one balancer; they do not change during its life.
 *
 * @param balancerCount number of balancers of the fleet
 * @param rank the index of this balancer in the fleet, from 0
 * @param zone the number of this balancer's zone
 * @param requestClasses the request classes by class index
 * @param tenants the tenants by tenant index; empty if there are none
 * @param overQuotaWeightFactor the fraction of its weight with which a request over quota counts
 * @param objectiveWeights the weights of the parts of the service in the operators' objective
 * @param costs the costs of the use of resources
 * @param weightPerWorkUnit whether priority weights count per work unit instead of per request
 * @param discoveryMode how the balancer gets the endpoint list
 * @param loadReportSource which messages contain the load reports of endpoints
 * @param keyAffinityEnabled whether an endpoint needs less work for a key that it recently served
 * @param limits limits on what the balancer may do
 * @param bounds time limits and capacity limits that the balancer must observe
 * @param clockTickMicros the resolution of the caller's clock, µs
 */
public record RoutingSettings(
        int balancerCount,
        int rank,
        int zone,
        List<RequestClass> requestClasses,
        List<Tenant> tenants,
        double overQuotaWeightFactor,
        ObjectiveWeights objectiveWeights,
        RoutingCosts costs,
        boolean weightPerWorkUnit,
        DiscoveryMode discoveryMode,
        LoadReportSource loadReportSource,
        boolean keyAffinityEnabled,
        RoutingLimits limits,
        RoutingBounds bounds,
        long clockTickMicros) {
    /**
     * Copies the lists and checks the values.
     *
     * @throws InvalidSettingException if a value is out of its range
     */
    public RoutingSettings {
        requestClasses = List.copyOf(requestClasses);
        tenants = List.copyOf(tenants);
        SettingsValidation.require(balancerCount > 0, "balancers", balancerCount);
        SettingsValidation.require(rank >= 0 && rank < balancerCount, "rank", rank);
        SettingsValidation.require(!requestClasses.isEmpty(), "classes", "none");
        SettingsValidation.require(clockTickMicros > 0, "tick", clockTickMicros);
    }
}
