package junctionhead.lab.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import junctionhead.Policy;

/** What a real balancer of a site is told at its start, in the platform's words. */
final class Told {
    private static final int SOCKETS = 1_024;
    private static final int MEMORY_MB = 160;

    private Told() {}

    /**
     * Its list, in discovery's form; nothing listens at these upstreams, and nothing is sent to
     * them.
     */
    static Map<String, Object> list(Site site) {
        return Map.of(
                "rev",
                1,
                "all",
                true,
                "targets",
                site.servers().stream()
                        .map(
                                s ->
                                        Map.of(
                                                "uid",
                                                s.id(),
                                                "endpoint",
                                                "127.0.0.1:9",
                                                "az",
                                                "z" + s.zone(),
                                                "model",
                                                "k" + s.kind(),
                                                "pod_group",
                                                s.cell(),
                                                "state",
                                                "in_service",
                                                "capacity_hint",
                                                s.weight()))
                        .toList());
    }

    /** Its configuration; addresses as {@code host:port}. */
    static Map<String, Object> configuration(
            Site site,
            int balancer,
            long seed,
            String listen,
            String discovery,
            String home,
            List<String> peers,
            String everyone) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("name", "n" + balancer);
        all.put("listen", listen);
        all.put("discovery", discovery);
        all.put("seed", Long.toHexString(seed));
        all.put("limits", Map.of("cores", 1.0, "memory_mb", MEMORY_MB, "sockets", SOCKETS));
        all.put("peer_listen", home);
        all.put("peers", peers);
        all.put("peers_all", everyone);
        all.put("known", list(site));
        all.put("settings", settings(site, balancer));
        return all;
    }

    /** {@link Site#settings} in these words. */
    private static Map<String, Object> settings(Site site, int balancer) {
        Policy.Settings s = site.settings(balancer);
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("Areas", IntStream.range(0, site.zones()).mapToObj(z -> "z" + z).toList());
        all.put("Balancers", s.balancers());
        all.put("Rank", s.rank());
        all.put("Locality", s.zone());
        all.put("Kinds", List.of("k0", "k1"));
        all.put(
                "Classes",
                s.classes().stream()
                        .map(
                                c ->
                                        Map.of(
                                                "Name",
                                                "c",
                                                "Idempotency",
                                                settingsWord(c.effect()),
                                                "GoalTime",
                                                c.aim(),
                                                "GiveUp",
                                                c.deadline(),
                                                "Gain",
                                                c.worth(),
                                                "LateShare",
                                                c.lateShare(),
                                                "Stream",
                                                false))
                        .toList());
        all.put("MembershipMode", "push");
        all.put("Quantum", s.tick());
        all.put("OverShareWorth", s.overShareWorth());
        all.put(
                "Blend",
                Map.of(
                        "Whole",
                        s.goal().whole(),
                        "WorstClass",
                        s.goal().worstClass(),
                        "WorstTenant",
                        s.goal().worstTenant(),
                        "WorstWindow",
                        s.goal().worstWindow()));
        all.put("Prices", Map.of("CrossZone", s.prices().crossZone(), "Peer", s.prices().peer()));
        all.put(
                "Limits",
                Map.of(
                        "TryLimit",
                        s.limits().maxAttempts(),
                        "MayDuplicate",
                        true,
                        "Cancel",
                        true,
                        "Probes",
                        true,
                        "PeerMessages",
                        true,
                        "DialTimeout",
                        s.limits().connectTimeout(),
                        "RetryAfter",
                        true,
                        "MaxRetryAfter",
                        s.limits().retryAfterMax()));
        all.put(
                "Rules",
                Map.of(
                        "AnswerSlack",
                        s.bounds().answerSlack(),
                        "DrainGrace",
                        s.bounds().drainGrace(),
                        "ColdFrom",
                        s.bounds().coldFrom(),
                        "RampTime",
                        s.bounds().rampTime(),
                        "OverloadFactor",
                        s.bounds().overloadFactor(),
                        "Fall",
                        s.bounds().fallWindow()));
        return all;
    }

    private static String settingsWord(Policy.Effect effect) {
        return switch (effect) {
            case SAFE -> "safe";
            case KEYED -> "keyed";
            case UNSAFE -> "unsafe";
        };
    }
}
