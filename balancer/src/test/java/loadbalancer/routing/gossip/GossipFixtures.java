package loadbalancer.routing.gossip;

import java.util.List;
import loadbalancer.routing.RoutingEngineHarness;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingSettings;

/** Creates routing engines of a fleet for tests of the gossip between them. */
final class GossipFixtures {
    static final RequestClass NON_IDEMPOTENT =
            RoutingEngineHarness.requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);

    private static final long SEED = 5;

    private GossipFixtures() {}

    /** Creates the engine of balancer {@code rank} with {@code endpointCount} listed endpoints. */
    static RoutingEngineHarness harness(
            int balancerCount,
            int rank,
            int zone,
            boolean gossipAllowed,
            int endpointCount,
            RequestClass... requestClasses) {
        RoutingSettings defaults =
                RoutingEngineHarness.settings(
                        balancerCount, true, DiscoveryMode.PUSH, List.of(), requestClasses);
        RoutingLimits limits = new RoutingLimits(5, true, true, true, 250_000, 0, gossipAllowed);
        RoutingSettings settings =
                new RoutingSettings(
                        balancerCount,
                        rank,
                        zone,
                        defaults.requestClasses(),
                        defaults.tenants(),
                        defaults.overQuotaWeightFactor(),
                        defaults.objectiveWeights(),
                        defaults.costs(),
                        defaults.weightPerWorkUnit(),
                        defaults.discoveryMode(),
                        defaults.loadReportSource(),
                        defaults.keyAffinityEnabled(),
                        limits,
                        defaults.bounds(),
                        defaults.clockTickMicros());
        return new RoutingEngineHarness(settings, SEED)
                .updateEndpoints(
                        EndpointListKind.CACHED, RoutingEngineHarness.endpoints(endpointCount));
    }
}
