package loadbalancer.testbed.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.testbed.emulation.BalancerSettingsBuilder;

/**
 * The configuration and the endpoint list of a real balancer in a fleet, with the platform's keys
 * and units. Stateless.
 */
final class RealBalancerConfig {
    private static final int MAX_SOCKETS = 1_024;
    private static final int MEMORY_MB = 160;
    private static final int MACHINE_TYPE_COUNT = 2;
    // All request classes have the same name.
    private static final String CLASS_NAME = "c";

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

    /** {@link FleetSpec#settings} with the platform's keys. */
    private static Map<String, Object> settings(FleetSpec fleetSpec, int balancer) {
        RoutingSettings policySettings = fleetSpec.settings(balancer);
        RoutingLimits limits = policySettings.limits();
        return new BalancerSettingsBuilder()
                .tier(
                        BalancerSettingsBuilder.numberedNames("z", fleetSpec.zones()),
                        policySettings.balancerCount(),
                        policySettings.rank(),
                        policySettings.zone())
                .machineTypes(BalancerSettingsBuilder.numberedNames("k", MACHINE_TYPE_COUNT))
                .requestClasses(
                        policySettings.requestClasses().stream()
                                .map(RealBalancerConfig::classSettings)
                                .toList())
                .objective(
                        policySettings.overQuotaWeightFactor(), policySettings.objectiveWeights())
                .costs(policySettings.costs().crossZone(), policySettings.costs().gossip())
                .limitsWithoutIdleTimeout(
                        limits.maxAttempts(),
                        limits.connectTimeoutMicros(),
                        limits.maxRetryAfterMicros())
                .bounds(bounds(policySettings.bounds()))
                .build();
    }

    private static Map<String, Object> classSettings(RequestClass requestClass) {
        Map<String, Object> settings =
                BalancerSettingsBuilder.requestClass(
                        CLASS_NAME,
                        platformTerm(requestClass.idempotency()),
                        requestClass.latencyObjectiveMicros(),
                        requestClass.deadlineMicros());
        BalancerSettingsBuilder.putPriority(
                settings, requestClass.priorityWeight(), requestClass.lateWeightFactor());
        return settings;
    }

    private static BalancerSettingsBuilder.Bounds bounds(RoutingBounds bounds) {
        return new BalancerSettingsBuilder.Bounds(
                bounds.responseSlackMicros(),
                bounds.drainGraceMicros(),
                bounds.initialCapacityFraction(),
                bounds.slowStartMicros(),
                bounds.overloadFactor(),
                bounds.overloadWindowMicros());
    }

    private static String platformTerm(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "safe";
            case IDEMPOTENCY_KEY -> "keyed";
            case NON_IDEMPOTENT -> "unsafe";
        };
    }
}
