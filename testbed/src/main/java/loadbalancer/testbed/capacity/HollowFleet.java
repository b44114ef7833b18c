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
 * A fleet of hollow balancers and the network between them, in simulated or in real time. Balancers
 * are numbered from 0. Used by one thread.
 */
interface HollowFleet extends AutoCloseable {
    /** The fleet's time in µs, which is monotonic. */
    long now();

    /** Starts a process of a balancer that is not running. */
    void start(int balancer);

    /** Ends a balancer without notice to the others. */
    void kill(int balancer);

    /** Ends a balancer gracefully: it tells the others that it leaves. */
    void leave(int balancer);

    /** Whether a hollow balancer is running. */
    boolean isRunning(int balancer);

    /** Sets the fraction of datagrams that is lost from now on. */
    void setLossRate(double lossRate);

    /** From now on, delivers datagrams only between balancers on the same side. */
    void partition(IntPredicate side);

    /**
     * Delivers an update of the endpoint list to each running balancer, after a delay of its own.
     *
     * @param changes creates a copy of the changed entries for each balancer
     */
    void publishUpdate(Supplier<List<Endpoint>> changes);

    /** Lets so many µs pass. */
    void advance(long durationMicros);

    /** Sets all costs so far to 0. */
    void resetCounters();

    /** The costs of each hollow balancer since the last reset, over all its processes. */
    List<CostCounters> counters();

    /** The CPU time of the threads that ran balancers since the last reset, ns. */
    long cpuNanos();

    /**
     * The fraction of a balancer's elapsed time that was CPU time. It is less than 1 if its thread
     * had to wait for a core.
     */
    double cpuFraction();

    /**
     * {@link RoutingPolicy#remoteRequestsPerSecond} of each hollow balancer; NaN if it is not
     * running or has no routing policy.
     */
    double[] remoteRates();

    /** The times from an update of the list until a balancer has processed it, µs. */
    Histogram listPropagationMicros();

    /** The detections of deaths and returns by the balancers. */
    DetectionTracker detections();

    /**
     * Further metrics of a measurement that lasted so many seconds, among them those of real
     * balancers.
     *
     * @throws IOException if a real balancer has ended
     */
    default Map<String, Double> additionalMetrics(double seconds) throws IOException {
        return Map.of();
    }

    @Override
    void close();
}
