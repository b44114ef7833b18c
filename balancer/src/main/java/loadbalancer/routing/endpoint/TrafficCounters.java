package loadbalancer.routing.endpoint;

import java.util.HashMap;
import java.util.Map;

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

    public void start(long now) {
        startedAtMicros = now;
        decayedAtMicros = now;
    }

    /** Fades all; returns the part that is kept. */
    public double decay(long now) {
        double retainedFraction = Math.exp(-(now - decayedAtMicros) / DECAY_MICROS);
        scale /= Math.max(retainedFraction, 1 / MAX_SCALE);
        arrivals *= retainedFraction;
        rejections *= retainedFraction;
        decayedAtMicros = now;
        return retainedFraction;
    }

    /** µs since they were faded. */
    public long microsSinceDecay(long now) {
        return now - decayedAtMicros;
    }

    /**
     * Forgets keys that fell silent, and brings counts back to scale where that has grown too
     * large.
     */
    public void compact(EndpointRegistry registry) {
        requestsByKey.values().removeIf(count -> count < scale / 2);
        if (scale > MAX_SCALE) {
            registry.rescale(scale);
            requestsByKey.clear();
            scale = 1;
        }
    }

    public void recordArrivals(int requests) {
        arrivals += requests;
    }

    public void recordKey(long keyHash) {
        requestsByKey.merge(keyHash, scale, Double::sum);
    }

    public void rejections(int attempts) {
        rejections += attempts;
    }

    /** What one more counts for, in counts of servers. */
    public double scale() {
        return scale;
    }

    /** Requests that this balancer gets a second, as a mean over its fade. */
    public double requestsPerSecond() {
        return arrivals / DECAY_MICROS * 1e6;
    }

    /** The part of the attempts, by requests, that no server took. */
    public boolean isRejectedFractionAbove(double fraction) {
        return rejections > fraction * arrivals;
    }

    /** The part of this balancer's requests that concern the key, beyond the first. */
    public double keyTrafficFraction(long keyHash) {
        return Math.max(0, requestsByKey.getOrDefault(keyHash, 0.0) / scale - 1)
                / Math.max(1, arrivals);
    }

    /** The rate of arrivals, a second: one of a short life has not filled yet. */
    public double biasCorrectedRequestsPerSecond(long now) {
        return arrivals * biasCorrectedRatePerCount(now);
    }

    /** The rate that one of servers' counts stands for, a second. */
    public double biasCorrectedSuccessesPerSecond(long now) {
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
