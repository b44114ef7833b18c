package loadbalancer.testbed.capacity;

import java.util.List;
import java.util.function.Supplier;
import loadbalancer.routing.api.Endpoint;
import org.HdrHistogram.Histogram;

/**
 * Holds the state that all fleets of hollow balancers have, in simulated and in real time. The
 * methods are called on the thread of the experiment.
 */
abstract class AbstractHollowFleet implements HollowFleet {
    /** The minimum time until a balancer receives an update of the endpoint list, µs. */
    static final long MIN_UPDATE_DELAY_MICROS = 200_000;

    /** The maximum time until a balancer receives an update of the endpoint list, µs. */
    static final long MAX_UPDATE_DELAY_MICROS = 1_500_000;

    private final FleetSpec fleetSpec;
    private final DetectionTracker detections;
    private final Histogram listPropagationMicros;

    /**
     * Creates a fleet without balancers.
     *
     * @param listPropagationMicros the histogram into which the threads of the fleet record how
     *     long updates of the endpoint list took, µs
     */
    AbstractHollowFleet(FleetSpec fleetSpec, Histogram listPropagationMicros) {
        this.fleetSpec = fleetSpec;
        this.detections = new DetectionTracker(fleetSpec.balancers());
        this.listPropagationMicros = listPropagationMicros;
    }

    /** Returns the size and the settings of the fleet. */
    final FleetSpec fleetSpec() {
        return fleetSpec;
    }

    @Override
    public final void publishListUpdate(Supplier<List<Endpoint>> changes) {
        // A balancer without a routing policy has no endpoint list.
        if (fleetSpec.components().contains(BalancerComponent.ROUTING)) {
            scheduleListUpdates(changes);
        }
    }

    /** Schedules the delivery of an update to each running balancer, each with its own delay. */
    abstract void scheduleListUpdates(Supplier<List<Endpoint>> changes);

    /** Returns the name of the random stream of one process of a balancer. Each name is unique. */
    static String processStreamName(int balancer, long startNumber) {
        return "hollow " + balancer + " start " + startNumber;
    }

    @Override
    public final Histogram listPropagationMicros() {
        return listPropagationMicros;
    }

    @Override
    public final DetectionTracker detections() {
        return detections;
    }
}
