package loadbalancer.routing;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.routing.endpoint.EndpointRegistry;

/**
 * Faded counts of what this balancer sees. Counts of servers and keys don't fade themselves: what
 * one more counts for grows, so that a wake costs nothing for each of them.
 */
public final class TrafficCounters {
    /** µs, time constant of them all. */
    public static final double DECAY_MICROS = 10e6;

    // µs that a rate is taken over at least
    private static final double MIN_RATE_WINDOW_MICROS = 2e6;
    // Counts are brought back to scale above it
    private static final double MAX_SCALE = 1e60;

    // Requests of each key
    private final Map<Long, Double> requestsByKey = new HashMap<>();
    private double arrivals;
    // Attempts that no server took
    private double rejections;
    // What one more counts for
    private double scale = 1;
    private long startedAtMicros;
    private long decayedAtMicros;

    void start(long now) {
        startedAtMicros = now;
        decayedAtMicros = now;
    }

    /** Fades all; returns the part that is kept. */
    double decay(long now) {
        double retainedFraction = Math.exp(-(now - decayedAtMicros) / DECAY_MICROS);
        scale /= Math.max(retainedFraction, 1 / MAX_SCALE);
        arrivals *= retainedFraction;
        rejections *= retainedFraction;
        decayedAtMicros = now;
        return retainedFraction;
    }

    /** µs since they were faded. */
    long microsSinceDecay(long now) {
        return now - decayedAtMicros;
    }

    /**
     * Forgets keys that fell silent, and brings counts back to scale where that has grown too
     * large.
     */
    void compact(EndpointRegistry registry) {
        requestsByKey.values().removeIf(count -> count < scale / 2);
        if (scale > MAX_SCALE) {
            registry.rescale(scale);
            requestsByKey.clear();
            scale = 1;
        }
    }

    void recordArrivals(int requests) {
        arrivals += requests;
    }

    void recordKey(long keyHash) {
        requestsByKey.merge(keyHash, scale, Double::sum);
    }

    void rejections(int attempts) {
        rejections += attempts;
    }

    /** What one more counts for, in counts of servers. */
    double scale() {
        return scale;
    }

    /** Requests that this balancer gets a second, as a mean over its fade. */
    double requestsPerSecond() {
        return arrivals / DECAY_MICROS * 1e6;
    }

    /** The part of the attempts, by requests, that no server took. */
    boolean isRejectedFractionAbove(double fraction) {
        return rejections > fraction * arrivals;
    }

    /** The part of this balancer's requests that concern the key, beyond the first. */
    double keyTrafficFraction(long keyHash) {
        return Math.max(0, requestsByKey.getOrDefault(keyHash, 0.0) / scale - 1)
                / Math.max(1, arrivals);
    }

    /** The rate of arrivals, a second: one of a short life has not filled yet. */
    double biasCorrectedRequestsPerSecond(long now) {
        return arrivals * biasCorrectedRatePerCount(now);
    }

    /** The rate that one of servers' counts stands for, a second. */
    double biasCorrectedSuccessesPerSecond(long now) {
        return biasCorrectedRatePerCount(now) / scale;
    }

    private double biasCorrectedRatePerCount(long now) {
        return 1
                / DECAY_MICROS
                * 1e6
                / (1
                        - Math.exp(
                                -Math.max(MIN_RATE_WINDOW_MICROS, now - startedAtMicros)
                                        / DECAY_MICROS));
    }
}
