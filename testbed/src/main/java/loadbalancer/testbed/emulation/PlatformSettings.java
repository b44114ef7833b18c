package loadbalancer.testbed.emulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.config.BootSettings;
import loadbalancer.config.SettingsReader;
import loadbalancer.testbed.scenario.Scenario;

/** What a balancer is told at its start, in the platform's words. */
public final class PlatformSettings {
    // Points of the goal, as the site has them
    private static final double CROSS_ZONE_PRICE = 0.015;
    private static final double PEER_MESSAGE_PRICE = 0.03;

    private PlatformSettings() {}

    /** The settings, nested as in a configuration. */
    static Map<String, Object> settings(Scenario scenario, int balancer) {
        List<Map<String, Object>> classes = new ArrayList<>();
        for (Scenario.RequestClass requestClass : scenario.classes()) {
            classes.add(
                    Map.of(
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
                            false));
        }
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
        settings.put("Classes", classes);
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
        settings.put(
                "Limits",
                Map.of(
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
                        2_500_000));
        settings.put(
                "Rules",
                Map.of(
                        "AnswerSlack",
                        20_000,
                        "DrainGrace",
                        2_500_000,
                        "ColdFrom",
                        scenario.upstreams().slowStartInitialFraction(),
                        "RampTime",
                        toMicros(1e3 * scenario.upstreams().slowStartWindowS()),
                        "OverloadFactor",
                        scenario.upstreams().overloadFactor(),
                        "Fall",
                        toMicros(1e3 * scenario.upstreams().overloadWindowS())));
        if (!scenario.tenants().isEmpty()) {
            settings.put(
                    "Realms",
                    scenario.tenants().stream()
                            .map(
                                    tenant ->
                                            Map.of(
                                                    "Name",
                                                    tenant.name(),
                                                    "AllowancePerS",
                                                    tenant.quotaPerSecond(),
                                                    "Portion",
                                                    tenant.trafficWeight()))
                            .toList());
        }
        return settings;
    }

    /** The same as the module takes them. */
    public static BootSettings bootSettings(Scenario scenario, int balancer) {
        Map<String, String> flatSettings = new LinkedHashMap<>();
        flatten("", settings(scenario, balancer), flatSettings);
        return SettingsReader.read(flatSettings);
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
