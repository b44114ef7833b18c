package loadbalancer.testbed.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RoutingSettings;

/** What a real balancer of a site is told at its start, in the platform's words. */
final class RealBalancerConfig {
    private static final int MAX_SOCKETS = 1_024;
    private static final int MEMORY_MB = 160;

    private RealBalancerConfig() {}

    /**
     * Its list, in discovery's form; nothing listens at these upstreams, and nothing is sent to
     * them.
     */
    static Map<String, Object> endpointList(FleetSpec fleetSpec) {
        return Map.of(
                "rev",
                1,
                "all",
                true,
                "targets",
                fleetSpec.servers().stream()
                        .map(
                                server ->
                                        Map.of(
                                                "uid",
                                                server.id(),
                                                "endpoint",
                                                "127.0.0.1:9",
                                                "az",
                                                "z" + server.zone(),
                                                "model",
                                                "k" + server.machineType(),
                                                "pod_group",
                                                server.cell(),
                                                "state",
                                                "in_service",
                                                "capacity_hint",
                                                server.weight()))
                        .toList());
    }

    /** Its configuration; addresses as {@code host:port}. */
    static Map<String, Object> configuration(
            FleetSpec fleetSpec,
            int balancer,
            long seed,
            String listenAddress,
            String discoveryAddress,
            String peerListen,
            List<String> peers,
            String peersAll) {
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("name", "n" + balancer);
        configuration.put("listen", listenAddress);
        configuration.put("discovery", discoveryAddress);
        configuration.put("seed", Long.toHexString(seed));
        configuration.put(
                "limits", Map.of("cores", 1.0, "memory_mb", MEMORY_MB, "sockets", MAX_SOCKETS));
        configuration.put("peer_listen", peerListen);
        configuration.put("peers", peers);
        configuration.put("peers_all", peersAll);
        configuration.put("known", endpointList(fleetSpec));
        configuration.put("settings", settings(fleetSpec, balancer));
        return configuration;
    }

    /** {@link FleetSpec#settings} in these words. */
    private static Map<String, Object> settings(FleetSpec fleetSpec, int balancer) {
        RoutingSettings policySettings = fleetSpec.settings(balancer);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put(
                "Areas",
                IntStream.range(0, fleetSpec.zones()).mapToObj(zone -> "z" + zone).toList());
        settings.put("Balancers", policySettings.balancerCount());
        settings.put("Rank", policySettings.rank());
        settings.put("Locality", policySettings.zone());
        settings.put("Kinds", List.of("k0", "k1"));
        settings.put("Classes", classes(policySettings));
        settings.put("MembershipMode", "push");
        settings.put("Quantum", policySettings.clockTickMicros());
        settings.put("OverShareWorth", policySettings.overQuotaWeightFactor());
        settings.put("Blend", objectiveWeights(policySettings));
        settings.put(
                "Prices",
                Map.of(
                        "CrossZone",
                        policySettings.costs().crossZone(),
                        "Peer",
                        policySettings.costs().gossip()));
        settings.put("Limits", limits(policySettings));
        settings.put("Rules", rules(policySettings));
        return settings;
    }

    private static List<Map<String, Object>> classes(RoutingSettings policySettings) {
        return policySettings.requestClasses().stream()
                .map(
                        requestClass ->
                                Map.<String, Object>of(
                                        "Name",
                                        "c",
                                        "Idempotency",
                                        settingsWord(requestClass.idempotency()),
                                        "GoalTime",
                                        requestClass.latencyObjectiveMicros(),
                                        "GiveUp",
                                        requestClass.deadlineMicros(),
                                        "Gain",
                                        requestClass.priorityWeight(),
                                        "LateShare",
                                        requestClass.lateWeightFactor(),
                                        "Stream",
                                        false))
                .toList();
    }

    private static Map<String, Object> objectiveWeights(RoutingSettings policySettings) {
        return Map.of(
                "Whole",
                policySettings.objectiveWeights().overall(),
                "WorstClass",
                policySettings.objectiveWeights().worstClass(),
                "WorstTenant",
                policySettings.objectiveWeights().worstTenant(),
                "WorstWindow",
                policySettings.objectiveWeights().worstWindow());
    }

    private static Map<String, Object> limits(RoutingSettings policySettings) {
        return Map.of(
                "TryLimit",
                policySettings.limits().maxAttempts(),
                "MayDuplicate",
                true,
                "Cancel",
                true,
                "Probes",
                true,
                "PeerMessages",
                true,
                "DialTimeout",
                policySettings.limits().connectTimeoutMicros(),
                "RetryAfter",
                true,
                "MaxRetryAfter",
                policySettings.limits().maxRetryAfterMicros());
    }

    private static Map<String, Object> rules(RoutingSettings policySettings) {
        return Map.of(
                "AnswerSlack",
                policySettings.bounds().responseSlackMicros(),
                "DrainGrace",
                policySettings.bounds().drainGraceMicros(),
                "ColdFrom",
                policySettings.bounds().initialCapacityFraction(),
                "RampTime",
                policySettings.bounds().slowStartMicros(),
                "OverloadFactor",
                policySettings.bounds().overloadFactor(),
                "Fall",
                policySettings.bounds().overloadWindowMicros());
    }

    private static String settingsWord(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "safe";
            case IDEMPOTENCY_KEY -> "keyed";
            case NON_IDEMPOTENT -> "unsafe";
        };
    }
}
