package loadbalancer.testbed.capacity;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.LoadReportSource;
import loadbalancer.routing.api.ObjectiveWeights;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingCosts;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingSettings;

/**
 * Defines the size of a fleet, its endpoint list and the settings of its balancers. Immutable.
 *
 * @param balancers the number of balancers
 * @param upstreams the number of upstreams
 * @param zones the number of zones, over which balancers and upstreams are spread evenly
 * @param classes the number of request classes
 * @param requestsPerSecond the mean number of requests per second of a balancer; 0: no requests
 * @param components the components of the balancers
 */
record FleetSpec(
        int balancers,
        int upstreams,
        int zones,
        int classes,
        double requestsPerSecond,
        Set<BalancerComponent> components) {
    private static final int UPSTREAMS_PER_CELL = 50;
    // Number of different request rates among the balancers
    private static final int DISTINCT_RATES = 5;

    FleetSpec {
        components = Set.copyOf(components);
    }

    /** Returns the zone of a balancer. */
    int zoneOfBalancer(int balancer) {
        return balancer % zones;
    }

    /** Returns the zone of an upstream. */
    int zoneOfUpstream(int upstream) {
        return upstream % zones;
    }

    /** Returns the requests per second of one balancer, from 0.5 to 1.5 times the mean. */
    double requestsPerSecond(int balancer) {
        return requestsPerSecond * (0.5 + (balancer % DISTINCT_RATES) / (DISTINCT_RATES - 1.0));
    }

    /**
     * Returns a new entry of the endpoint list. Each process has entries of its own.
     *
     * @param startedAtMicros the start time of the upstream, µs
     */
    Endpoint endpoint(int upstream, EndpointStatus status, long startedAtMicros) {
        String id =
                "10."
                        + (upstream >> 16)
                        + "."
                        + (upstream >> 8 & 255)
                        + "."
                        + (upstream & 255)
                        + ":8080";
        return new Endpoint(
                id,
                status,
                startedAtMicros,
                1,
                upstream / UPSTREAMS_PER_CELL,
                upstream % 2,
                zoneOfUpstream(upstream));
    }

    /** Returns new entries for the complete endpoint list. */
    List<Endpoint> endpoints() {
        return IntStream.range(0, upstreams)
                .mapToObj(upstream -> endpoint(upstream, EndpointStatus.UP, 0))
                .toList();
    }

    /**
     * Returns the settings of a balancer's routing policy, with costs and limits of the testbed's
     * fleets.
     */
    RoutingSettings settings(int balancer) {
        List<RequestClass> requestClasses =
                IntStream.range(0, classes)
                        .mapToObj(
                                classNumber ->
                                        new RequestClass(
                                                classNumber % 2 == 0
                                                        ? Idempotency.IDEMPOTENT
                                                        : Idempotency.NON_IDEMPOTENT,
                                                DeduplicationScope.ALL,
                                                0,
                                                150_000,
                                                1_500_000,
                                                0,
                                                1,
                                                0.3,
                                                false))
                        .toList();
        return new RoutingSettings(
                balancers,
                balancer,
                zoneOfBalancer(balancer),
                requestClasses,
                List.of(),
                0.2,
                new ObjectiveWeights(0.65, 0.05, 0.2, 0.1),
                new RoutingCosts(zones > 1 ? 0.015 : 0, 0, 0.03),
                false,
                DiscoveryMode.PUSH,
                LoadReportSource.NONE,
                false,
                new RoutingLimits(4, true, true, true, 150_000, 2_500_000, true),
                new RoutingBounds(20_000, 2_500_000, 0, 0.3, 8_000_000, 1.3, 2_000_000, 100_000),
                5_000);
    }
}
