package junctionhead.lab.stand;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import junctionhead.SettingsReader;
import junctionhead.lab.scenario.Scenario;

/** What a balancer is told at its start, in the platform's words. */
public final class Told {
    // Points of the goal, as the site has them
    private static final double CROSS_ZONE = 0.015;
    private static final double PEER = 0.03;

    private Told() {}

    /** The settings, nested as in a configuration. */
    static Map<String, Object> settings(Scenario s, int balancer) {
        List<Map<String, Object>> classes = new ArrayList<>();
        for (Scenario.RequestClass c : s.classes()) {
            classes.add(
                    Map.of(
                            "Name",
                            c.name(),
                            "Idempotency",
                            c.effect(),
                            "DedupScope",
                            c.scope(),
                            "KeyTtl",
                            micros(c.keyMemoryMs()),
                            "GoalTime",
                            micros(c.aimMs()),
                            "GiveUp",
                            micros(c.deadlineMs()),
                            "Gain",
                            c.worth(),
                            "LateShare",
                            c.lateShare(),
                            "Stream",
                            false));
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("Areas", s.fleet().zones());
        all.put("Balancers", s.fleet().balancers());
        all.put("Rank", balancer);
        all.put("Locality", s.zoneOfBalancer(balancer));
        all.put("Kinds", s.upstreams().kinds().stream().map(Scenario.Kind::name).toList());
        all.put("Classes", classes);
        all.put("MembershipMode", "push");
        all.put("Quantum", 5000);
        all.put("OverShareWorth", 0.2);
        all.put(
                "Blend",
                Map.of("Whole", 0.65, "WorstClass", 0.2, "WorstTenant", 0.1, "WorstWindow", 0.05));
        all.put(
                "Prices",
                Map.of("CrossZone", s.fleet().zones().size() > 1 ? CROSS_ZONE : 0, "Peer", PEER));
        all.put(
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
        all.put(
                "Rules",
                Map.of(
                        "AnswerSlack",
                        20_000,
                        "DrainGrace",
                        2_500_000,
                        "ColdFrom",
                        s.upstreams().coldFrom(),
                        "RampTime",
                        micros(1e3 * s.upstreams().rampS()),
                        "OverloadFactor",
                        s.upstreams().overloadFactor(),
                        "Fall",
                        micros(1e3 * s.upstreams().fallS())));
        if (!s.tenants().isEmpty()) {
            all.put(
                    "Realms",
                    s.tenants().stream()
                            .map(
                                    t ->
                                            Map.of(
                                                    "Name",
                                                    t.name(),
                                                    "AllowancePerS",
                                                    t.allowance(),
                                                    "Portion",
                                                    t.share()))
                            .toList());
        }
        return all;
    }

    /** The same as the module takes them. */
    public static SettingsReader.Boot boot(Scenario s, int balancer) {
        Map<String, String> flat = new LinkedHashMap<>();
        flatten("", settings(s, balancer), flat);
        return SettingsReader.read(
                flat, (path, what) -> new IllegalStateException(path + ": " + what));
    }

    private static void flatten(String path, Object value, Map<String, String> into) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((k, v) -> flatten(path.isEmpty() ? k.toString() : path + "." + k, v, into));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            into.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), into);
            }
        } else if (value instanceof List<?> list) {
            into.put(path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else {
            into.put(path, String.valueOf(value));
        }
    }

    private static long micros(double ms) {
        return Math.round(ms * 1e3);
    }
}
