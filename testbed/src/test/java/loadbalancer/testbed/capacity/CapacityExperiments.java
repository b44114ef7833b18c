package loadbalancer.testbed.capacity;

import java.io.IOException;
import java.util.Map;
import java.util.Set;

/** Runs short capacity experiments in simulated time, for tests. */
final class CapacityExperiments {
    private static final int ZONE_COUNT = 10;
    private static final int CLASS_COUNT = 2;

    private CapacityExperiments() {}

    /** Runs one experiment and returns its metrics. Seconds are simulated. */
    static Map<String, Double> run(
            int balancerCount,
            int upstreamCount,
            double requestsPerSecond,
            Set<BalancerComponent> components,
            FleetCondition condition,
            int warmUpSeconds,
            int measuredSeconds)
            throws IOException {
        FleetSpec fleetSpec =
                new FleetSpec(
                        balancerCount,
                        upstreamCount,
                        ZONE_COUNT,
                        CLASS_COUNT,
                        requestsPerSecond,
                        components);
        try (HollowFleet fleet = new SimulatedHollowFleet(fleetSpec, 1)) {
            CapacityExperiment experiment =
                    new CapacityExperiment(fleetSpec, fleet, measuredSeconds * 1_000_000L);
            experiment.start(warmUpSeconds * 1_000_000L, 1);
            return experiment.measure(condition);
        }
    }
}
