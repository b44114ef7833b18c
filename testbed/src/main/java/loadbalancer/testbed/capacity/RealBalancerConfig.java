package loadbalancer.testbed.capacity;

import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.testbed.emulation.BalancerConfigurationBuilder;
import loadbalancer.testbed.emulation.BalancerSettingsBuilder;

/**
 * Creates the configuration and the endpoint list of a real balancer in a fleet, with the
 * platform's keys and units. Stateless.
 */
final class RealBalancerConfig {
    private static final int MAX_SOCKETS = 1_024;
    private static final int MEMORY_MB = 160;
    private static final int MACHINE_TYPE_COUNT = 2;
    // All request classes have the same name.
    private static final String CLASS_NAME = "c";

    private RealBalancerConfig() {}

    /**
     * Returns the endpoint list in discovery's format. Nothing listens at its addresses, and no
     * requests are sent to them.
     */
    static Map<String, Object> endpointList(FleetSpec fleetSpec) {
        return Map.of(
                "rev",
                1,
                "all",
                true,
                "targets",
                fleetSpec.endpoints().stream()
                        .map(
                                endpoint ->
                                        Map.of(
                                                "uid",
                                                endpoint.id(),
                                                "endpoint",
                                                "127.0.0.1:9",
                                                "az",
                                                "z" + endpoint.zone(),
                                                "model",
                                                "k" + endpoint.machineType(),
                                                "pod_group",
                                                endpoint.cell(),
                                                "state",
                                                "in_service",
                                                "capacity_hint",
                                                endpoint.weight()))
                        .toList());
    }

    /**
     * Returns the configuration of one balancer. Addresses have the form {@code host:port}.
     *
     * @param peerListen the balancer's own address for datagrams
     * @param peers the addresses of all balancers by rank
     * @param peersAll the address that forwards datagrams to all other balancers
     */
    static Map<String, Object> configuration(
            FleetSpec fleetSpec,
            int balancer,
            long seed,
            String listenAddress,
            String discoveryAddress,
            String peerListen,
            List<String> peers,
            String peersAll) {
        return new BalancerConfigurationBuilder("n" + balancer, listenAddress)
                .discovery(discoveryAddress)
                .seed(Long.toHexString(seed))
                .limits(MEMORY_MB, MAX_SOCKETS)
                .peers(peerListen, peers)
                .broadcast(peersAll)
                .build(endpointList(fleetSpec), settings(fleetSpec, balancer));
    }

    /** Converts {@link FleetSpec#settings} to the platform's keys and units. */
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
                        platformName(requestClass.idempotency()),
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

    private static String platformName(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "safe";
            case IDEMPOTENCY_KEY -> "keyed";
            case NON_IDEMPOTENT -> "unsafe";
        };
    }
}
