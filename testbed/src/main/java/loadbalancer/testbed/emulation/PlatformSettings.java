package loadbalancer.testbed.emulation;

import java.util.List;
import java.util.Map;
import loadbalancer.config.BootSettings;
import loadbalancer.config.SettingsFlattener;
import loadbalancer.config.SettingsReader;
import loadbalancer.routing.api.ObjectiveWeights;
import loadbalancer.testbed.scenario.Scenario;

/**
 * Converts a scenario to the settings that its balancers get when they start, with the platform's
 * keys and units. Stateless.
 */
public final class PlatformSettings {
    // Costs in points of the site's objective.
    private static final double CROSS_ZONE_COST = 0.015;
    private static final double GOSSIP_COST = 0.03;
    // Weights of the site's objective.
    private static final double OVER_QUOTA_WEIGHT_FACTOR = 0.2;
    private static final ObjectiveWeights OBJECTIVE_WEIGHTS =
            new ObjectiveWeights(0.65, 0.05, 0.2, 0.1);

    private PlatformSettings() {}

    /** Returns the settings of one balancer, nested as in its configuration. */
    static Map<String, Object> settings(Scenario scenario, int balancer) {
        Scenario.Fleet fleet = scenario.fleet();
        double crossZoneCost = fleet.zones().size() > 1 ? CROSS_ZONE_COST : 0;
        return new BalancerSettingsBuilder()
                .tier(fleet.zones(), fleet.balancers(), balancer, scenario.zoneOfBalancer(balancer))
                .machineTypes(machineTypeNames(scenario))
                .requestClasses(
                        scenario.classes().stream().map(PlatformSettings::classSettings).toList())
                .objective(OVER_QUOTA_WEIGHT_FACTOR, OBJECTIVE_WEIGHTS)
                .costs(crossZoneCost, GOSSIP_COST)
                .defaultLimits()
                .bounds(bounds(scenario.upstreams()))
                .tenants(scenario.tenants().stream().map(PlatformSettings::tenantSettings).toList())
                .build();
    }

    private static List<String> machineTypeNames(Scenario scenario) {
        return scenario.upstreams().machineKinds().stream()
                .map(Scenario.MachineKind::name)
                .toList();
    }

    private static Map<String, Object> classSettings(Scenario.RequestClass requestClass) {
        Map<String, Object> settings =
                BalancerSettingsBuilder.requestClass(
                        requestClass.name(),
                        requestClass.idempotency(),
                        toMicros(requestClass.latencyObjectiveMs()),
                        toMicros(requestClass.deadlineMs()));
        settings.put("DedupScope", requestClass.idempotencyScope());
        settings.put("KeyTtl", toMicros(requestClass.idempotencyWindowMs()));
        BalancerSettingsBuilder.putPriority(
                settings, requestClass.priorityWeight(), requestClass.lateValueFraction());
        return settings;
    }

    private static BalancerSettingsBuilder.Bounds bounds(Scenario.Upstreams upstreams) {
        return BalancerSettingsBuilder.Bounds.withDefaultSlackAndGrace(
                upstreams.slowStartInitialFraction(),
                toMicros(1e3 * upstreams.slowStartWindowS()),
                upstreams.overloadFactor(),
                toMicros(1e3 * upstreams.overloadWindowS()));
    }

    private static Map<String, Object> tenantSettings(Scenario.Tenant tenant) {
        Map<String, Object> settings =
                BalancerSettingsBuilder.tenant(tenant.name(), tenant.quotaPerSecond());
        settings.put("Portion", tenant.trafficWeight());
        return settings;
    }

    /** Returns the settings of one balancer as the program reads them from its configuration. */
    public static BootSettings bootSettings(Scenario scenario, int balancer) {
        return SettingsReader.read(SettingsFlattener.flatten(settings(scenario, balancer)));
    }

    private static long toMicros(double ms) {
        return Math.round(ms * 1e3);
    }
}
