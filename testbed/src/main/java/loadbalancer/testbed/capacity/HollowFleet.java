package loadbalancer.testbed.capacity;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.RoutingPolicy;
import org.HdrHistogram.Histogram;

/**
 * Runs a fleet of hollow balancers and the network between them, in simulated or in real time.
 * Balancers are numbered from 0. Used by one thread.
 */
interface HollowFleet extends AutoCloseable {
    /** Returns the fleet's monotonic time, µs. */
    long now();

    /** Starts a new process of a balancer that is not running. */
    void start(int balancer);

    /** Ends a balancer without notifying the others. */
    void kill(int balancer);

    /** Ends a balancer gracefully: it notifies the others that it leaves. */
    void leave(int balancer);

    /** Returns whether a hollow balancer is running; false for a real one. */
    boolean isRunning(int balancer);

    /** Sets the fraction of datagrams that are lost from now on, from 0 to 1. */
    void setLossRate(double lossRate);

    /** Restricts delivery, from now on, to datagrams between balancers on the same side. */
    void partition(IntPredicate side);

    /**
     * Delivers an update of the endpoint list to each running balancer, each with its own delay.
     *
     * @param changes creates a copy of the changed entries for each balancer
     */
    void publishListUpdate(Supplier<List<Endpoint>> changes);

    /** Lets the fleet run for {@code durationMicros} µs. */
    void advance(long durationMicros);

    /** Sets the costs of all balancers to 0. */
    void resetCounters();

    /** Returns the costs of each hollow balancer since the last reset, over all its processes. */
    List<CostCounters> counters();

    /** Returns the CPU time, since the last reset, of the threads that run balancers, ns. */
    long cpuNanos();

    /**
     * Returns the fraction of a balancer's elapsed time that was CPU time. It is less than 1 if the
     * balancer's thread had to wait for a core.
     */
    double cpuFraction();

    /**
     * Returns {@link RoutingPolicy#remoteRequestsPerSecond} of each hollow balancer; NaN if it is
     * not running or has no routing policy.
     */
    double[] remoteRates();

    /** Returns the times from an update of the list until a balancer has processed it, µs. */
    Histogram listPropagationMicros();

    /** Returns the tracker of detected deaths and returns. */
    DetectionTracker detections();

    /**
     * Returns additional metrics of a measurement, including those of real balancers.
     *
     * @param seconds the duration of the measurement
     * @throws IOException if a real balancer has ended
     */
    default Map<String, Double> additionalMetrics(double seconds) throws IOException {
        return Map.of();
    }

    /** Ends all balancers and releases the fleet's resources. */
    @Override
    void close();
}
