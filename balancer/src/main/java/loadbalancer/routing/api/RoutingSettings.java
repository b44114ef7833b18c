package loadbalancer.routing.api;

import java.util.List;

/**
 * The settings of one balancer's routing policy, fixed for its life.
 *
 * @param balancerCount balancers of the fleet
 * @param rank this balancer's number among them, from 0
 * @param zone the number of this balancer's zone
 * @param requestClasses by class index
 * @param tenants by tenant index; empty: there are none
 * @param overQuotaWeightFactor the part of its weight that a request over its quota earns
 * @param objectiveWeights how the operators weigh the parts of the service
 * @param costs what the use of resources costs
 * @param weightPerWorkUnit whether weights are earned per unit of work rather than per request
 * @param discoveryMode how the endpoint list comes
 * @param loadReportSource what carries endpoints' load reports
 * @param keyAffinityEnabled whether an endpoint needs less work for a key that it served lately
 * @param limits what the site allows
 * @param bounds figures of the rules
 * @param clockTickMicros the shortest step of the clock, µs
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
     * @throws InvalidSettingException if one is out of its range
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
