package loadbalancer.routing.api;

import java.util.List;

/**
 * All that a balancer is told at its start. {@code rank} is its number among all, from 0; {@code
 * keyAffinityEnabled}: a server needs less work for a key that it served lately; {@code
 * clockTickMicros} is the shortest step of the clock.
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
    public RoutingSettings {
        requestClasses = List.copyOf(requestClasses);
        tenants = List.copyOf(tenants);
        SettingsValidation.require(balancerCount > 0, "balancers", balancerCount);
        SettingsValidation.require(rank >= 0 && rank < balancerCount, "rank", rank);
        SettingsValidation.require(!requestClasses.isEmpty(), "classes", "none");
        SettingsValidation.require(clockTickMicros > 0, "tick", clockTickMicros);
    }
}
