package loadbalancer.testbed.capacity;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.RoutingPolicy;
import org.HdrHistogram.Histogram;

/** A fleet of hollow balancers and what lies between them, in simulated or in real time. */
interface HollowFleet extends AutoCloseable {
    /** µs. */
    long now();

    void start(int balancer);

    /** Ends one without a word. */
    void kill(int balancer);

    /** Ends one in order. */
    void leave(int balancer);

    boolean isRunning(int balancer);

    /** The part of the datagrams that is lost from now on. */
    void setLossRate(double lossRate);

    /** From now on datagrams pass only between balancers on the same side. */
    void partition(IntPredicate side);

    /**
     * Each balancer that runs hears of it, after a delay of its own; {@code changes} makes its
     * copies.
     */
    void publishUpdate(Supplier<List<Endpoint>> changes);

    /** Lets so many µs pass. */
    void advance(long durationMicros);

    /** Forgets all costs so far. */
    void resetCounters();

    /** The costs of each balancer since then, over all its processes. */
    List<CostCounters> counters();

    /** ns of CPU of the threads that ran balancers since then. */
    long cpuNanos();

    /**
     * The part of a balancer's own elapsed time that was CPU: less than 1 where the thread had to
     * wait.
     */
    double cpuFraction();

    /** By balancer, {@link RoutingPolicy#remoteRequestsPerSecond}; NaN where none is known. */
    double[] remoteRates();

    /** µs from a change of the list until each balancer had taken it in. */
    Histogram listPropagationMicros();

    DetectionTracker detections();

    /**
     * Figures of balancers that are no hollow ones, over so many seconds.
     *
     * @throws IOException where one of them has ended
     */
    default Map<String, Double> additionalMetrics(double seconds) throws IOException {
        return Map.of();
    }

    @Override
    void close();
}
