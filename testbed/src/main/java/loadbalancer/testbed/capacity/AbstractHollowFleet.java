package loadbalancer.testbed.capacity;

import java.util.List;
import java.util.function.Supplier;
import loadbalancer.routing.api.Endpoint;
import org.HdrHistogram.Histogram;

/** What fleets of hollow balancers share, whatever their time and their network are. */
abstract class AbstractHollowFleet implements HollowFleet {
    /** The shortest time until a balancer gets an update of the endpoint list, µs. */
    static final long MIN_UPDATE_DELAY_MICROS = 200_000;

    /** The longest time until a balancer gets an update of the endpoint list, µs. */
    static final long MAX_UPDATE_DELAY_MICROS = 1_500_000;

    private final FleetSpec fleetSpec;
    private final DetectionTracker detections;
    private final Histogram listPropagationMicros;

    /**
     * Creates a fleet without balancers.
     *
     * @param listPropagationMicros records on the threads of the fleet
     */
    AbstractHollowFleet(FleetSpec fleetSpec, Histogram listPropagationMicros) {
        this.fleetSpec = fleetSpec;
        this.detections = new DetectionTracker(fleetSpec.balancers());
        this.listPropagationMicros = listPropagationMicros;
    }

    /** The size and the settings of the fleet. */
    final FleetSpec fleetSpec() {
        return fleetSpec;
    }

    @Override
    public final void publishUpdate(Supplier<List<Endpoint>> changes) {
        // Without a routing policy no balancer has an endpoint list.
        if (fleetSpec.components().contains(BalancerComponent.ROUTING)) {
            scheduleUpdates(changes);
        }
    }

    /** Delivers an update to each running balancer, after a delay of its own. */
    abstract void scheduleUpdates(Supplier<List<Endpoint>> changes);

    /** The name of the random stream of a balancer's process; each process has another. */
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
