package loadbalancer.testbed.emulation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.config.BootSettings;
import loadbalancer.config.SettingsReader;
import loadbalancer.testbed.scenario.Scenario;

/** The settings that a balancer gets at its start, with the platform's keys and units. */
public final class PlatformSettings {
    // Points of the objective, as the site has them
    private static final double CROSS_ZONE_PRICE = 0.015;
    private static final double PEER_MESSAGE_PRICE = 0.03;

    private PlatformSettings() {}

    /** The settings of one balancer, nested as in its configuration. */
    static Map<String, Object> settings(Scenario scenario, int balancer) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("Areas", scenario.fleet().zones());
        settings.put("Balancers", scenario.fleet().balancers());
        settings.put("Rank", balancer);
        settings.put("Locality", scenario.zoneOfBalancer(balancer));
        settings.put(
                "Kinds",
                scenario.upstreams().machineKinds().stream()
                        .map(Scenario.MachineKind::name)
                        .toList());
        settings.put(
                "Classes",
                scenario.classes().stream().map(PlatformSettings::classSettings).toList());
        settings.put("MembershipMode", "push");
        settings.put("Quantum", 5000);
        settings.put("OverShareWorth", 0.2);
        settings.put(
                "Blend",
                Map.of("Whole", 0.65, "WorstClass", 0.2, "WorstTenant", 0.1, "WorstWindow", 0.05));
        settings.put(
                "Prices",
                Map.of(
                        "CrossZone",
                        scenario.fleet().zones().size() > 1 ? CROSS_ZONE_PRICE : 0,
                        "Peer",
                        PEER_MESSAGE_PRICE));
        settings.put("Limits", limits());
        settings.put("Rules", rules(scenario.upstreams()));
        if (!scenario.tenants().isEmpty()) {
            settings.put(
                    "Realms",
                    scenario.tenants().stream().map(PlatformSettings::tenantSettings).toList());
        }
        return settings;
    }

    private static Map<String, Object> classSettings(Scenario.RequestClass requestClass) {
        return Map.of(
                "Name",
                requestClass.name(),
                "Idempotency",
                requestClass.idempotency(),
                "DedupScope",
                requestClass.idempotencyScope(),
                "KeyTtl",
                toMicros(requestClass.idempotencyWindowMs()),
                "GoalTime",
                toMicros(requestClass.latencyObjectiveMs()),
                "GiveUp",
                toMicros(requestClass.deadlineMs()),
                "Gain",
                requestClass.priorityWeight(),
                "LateShare",
                requestClass.lateValueFraction(),
                "Stream",
                false);
    }

    private static Map<String, Object> limits() {
        return Map.of(
                "TryLimit",
                4,
                "MayDuplicate",
                true,
                "Cancel",
                true,
                "Probes",
                true,
                "PeerMessages",
                true,
                "DialTimeout",
                150_000,
                "IdleClose",
                5_000_000,
                "RetryAfter",
                true,
                "MaxRetryAfter",
                2_500_000);
    }

    private static Map<String, Object> rules(Scenario.Upstreams upstreams) {
        return Map.of(
                "AnswerSlack",
                20_000,
                "DrainGrace",
                2_500_000,
                "ColdFrom",
                upstreams.slowStartInitialFraction(),
                "RampTime",
                toMicros(1e3 * upstreams.slowStartWindowS()),
                "OverloadFactor",
                upstreams.overloadFactor(),
                "Fall",
                toMicros(1e3 * upstreams.overloadWindowS()));
    }

    private static Map<String, Object> tenantSettings(Scenario.Tenant tenant) {
        return Map.of(
                "Name",
                tenant.name(),
                "AllowancePerS",
                tenant.quotaPerSecond(),
                "Portion",
                tenant.trafficWeight());
    }

    /** The settings of one balancer as the program reads them from its configuration. */
    public static BootSettings bootSettings(Scenario scenario, int balancer) {
        Map<String, String> flatSettings = new LinkedHashMap<>();
        flatten("", settings(scenario, balancer), flatSettings);
        return SettingsReader.read(
                flatSettings, (path, what) -> new IllegalStateException(path + ": " + what));
    }

    private static void flatten(String path, Object value, Map<String, String> flattened) {
        if (value instanceof Map<?, ?> map) {
            map.forEach(
                    (key, nested) ->
                            flatten(
                                    path.isEmpty() ? key.toString() : path + "." + key,
                                    nested,
                                    flattened));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            flattened.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), flattened);
            }
        } else if (value instanceof List<?> list) {
            flattened.put(path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else {
            flattened.put(path, String.valueOf(value));
        }
    }

    private static long toMicros(double ms) {
        return Math.round(ms * 1e3);
    }
}
