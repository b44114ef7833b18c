package junctionhead.lab.capacity;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import junctionhead.Policy;

/**
 * The size of a fleet and what its balancers are told.
 *
 * @param rate requests a second that a balancer gets on average; 0: none
 */
record Site(int balancers, int upstreams, int zones, int classes, double rate, Set<Part> parts) {
    // Upstreams of a cell
    private static final int CELL = 50;
    // Balancers differ in what they get
    private static final int RATES = 5;

    Site {
        parts = Set.copyOf(parts);
    }

    int zoneOfBalancer(int balancer) {
        return balancer % zones;
    }

    int zoneOfUpstream(int upstream) {
        return upstream % zones;
    }

    /** Requests a second at one balancer: from half to one and a half times the mean. */
    double rate(int balancer) {
        return rate * (0.5 + (balancer % RATES) / (RATES - 1.0));
    }

    /** An entry of the list; each call makes its own, as each process has its own. */
    Policy.Server server(int upstream, Policy.State state, long startedAt) {
        String id =
                "10."
                        + (upstream >> 16)
                        + "."
                        + (upstream >> 8 & 255)
                        + "."
                        + (upstream & 255)
                        + ":8080";
        return new Policy.Server(
                id, state, startedAt, 1, upstream / CELL, upstream % 2, zoneOfUpstream(upstream));
    }

    /** The whole list. */
    List<Policy.Server> servers() {
        return IntStream.range(0, upstreams).mapToObj(u -> server(u, Policy.State.UP, 0)).toList();
    }

    /** The module's settings; prices and limits are those of the proving ground's fleets. */
    Policy.Settings settings(int balancer) {
        List<Policy.RequestClass> kinds =
                IntStream.range(0, classes)
                        .mapToObj(
                                c ->
                                        new Policy.RequestClass(
                                                c % 2 == 0
                                                        ? Policy.Effect.SAFE
                                                        : Policy.Effect.UNSAFE,
                                                Policy.Scope.ALL,
                                                0,
                                                150_000,
                                                1_500_000,
                                                0,
                                                1,
                                                0.3,
                                                false))
                        .toList();
        return new Policy.Settings(
                balancers,
                balancer,
                zoneOfBalancer(balancer),
                kinds,
                List.of(),
                0.2,
                new Policy.Goal(0.65, 0.05, 0.2, 0.1),
                new Policy.Prices(zones > 1 ? 0.015 : 0, 0, 0.03),
                false,
                Policy.Discovery.PUSH,
                Policy.Reports.NONE,
                false,
                new Policy.Limits(4, true, true, true, 150_000, 2_500_000, true),
                new Policy.Bounds(20_000, 2_500_000, 0, 0.3, 8_000_000, 1.3, 2_000_000, 100_000),
                5_000);
    }
}
