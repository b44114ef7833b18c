package loadbalancer.routing.endpoint;

import java.util.HashMap;
import java.util.Map;

/**
 * Exponentially decayed counts of this balancer's traffic.
 *
 * <p>Counts of endpoints and keys are not decayed one by one. Instead the weight of one event, the
 * {@link #scale}, grows by the same factor, so that a timer event costs nothing for each of them;
 * {@link #compact} brings all back to a scale of 1 before it grows too large. Confined to the
 * thread of the routing policy.
 */
public final class TrafficCounters {
    /** Time constant of all counts. */
    public static final double DECAY_MICROS = 10e6;

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MIN_RATE_WINDOW_MICROS = 2e6;
    private static final double MAX_SCALE = 1e60;

    private final Map<Long, Double> requestsByKey = new HashMap<>();
    private double arrivals;
    private double rejections;
    private double scale = 1;
    private long startedAtMicros;
    private long decayedAtMicros;

    /** Sets the time from which on traffic is counted. */
    public void start(long now) {
        startedAtMicros = now;
        decayedAtMicros = now;
    }

    /** Decays all counts; returns the fraction that is retained. */
    public double decay(long now) {
        double retainedFraction = Math.exp(-(now - decayedAtMicros) / DECAY_MICROS);
        scale /= Math.max(retainedFraction, 1 / MAX_SCALE);
        arrivals *= retainedFraction;
        rejections *= retainedFraction;
        decayedAtMicros = now;
        return retainedFraction;
    }

    /** µs since the last {@link #decay}. */
    public long microsSinceDecay(long now) {
        return now - decayedAtMicros;
    }

    /** Forgets keys without recent requests, and resets the scale where it has grown too large. */
    public void compact(EndpointRegistry registry) {
        requestsByKey.values().removeIf(count -> count < scale / 2);
        if (scale > MAX_SCALE) {
            registry.rescale(scale);
            requestsByKey.clear();
            scale = 1;
        }
    }

    /** Counts requests, without resubmissions. */
    public void recordArrivals(int requests) {
        arrivals += requests;
    }

    /** Counts a request for a key. */
    public void recordKey(long keyHash) {
        requestsByKey.merge(keyHash, scale, Double::sum);
    }

    /** Counts attempts that an endpoint rejected or that could not be sent. */
    public void recordRejections(int attempts) {
        rejections += attempts;
    }

    /** Weight of one event now, in the counts of endpoints and keys. */
    public double scale() {
        return scale;
    }

    /** Arrival rate of this balancer, over the time constant; too low until that has passed. */
    public double requestsPerSecond() {
        return arrivals / DECAY_MICROS * MICROS_PER_SECOND;
    }

    /** Whether the attempts of {@link #recordRejections} exceed a fraction of the requests. */
    public boolean isRejectedFractionAbove(double fraction) {
        return rejections > fraction * arrivals;
    }

    /** Fraction of this balancer's requests that are for the key, without the first of them. */
    public double keyTrafficFraction(long keyHash) {
        double keyRequests = requestsByKey.getOrDefault(keyHash, 0.0) / scale;
        return Math.max(0, keyRequests - 1) / Math.max(1, arrivals);
    }

    /** Arrival rate of this balancer, corrected for a start less than the time constant ago. */
    public double biasCorrectedRequestsPerSecond(long now) {
        return arrivals * biasCorrectedRatePerCount(now);
    }

    /** Rate that a decayed count of 1 at an endpoint stands for, corrected in the same way. */
    public double biasCorrectedSuccessesPerSecond(long now) {
        return biasCorrectedRatePerCount(now) / scale;
    }

    private double biasCorrectedRatePerCount(long now) {
        double elapsedMicros = Math.max(MIN_RATE_WINDOW_MICROS, (double) (now - startedAtMicros));
        double countedFraction = 1 - Math.exp(-elapsedMicros / DECAY_MICROS);
        return 1 / DECAY_MICROS * MICROS_PER_SECOND / countedFraction;
    }
}
