package loadbalancer.routing.endpoint;

import java.util.HashMap;
import java.util.Map;

/**
 * Exponentially decayed counts of this balancer's traffic.
 *
 * <p>Counts of endpoints and keys are not decayed one by one. Instead, the weight of one event, the
 * {@link #scale}, grows by the inverse factor, so that a timer event costs nothing per endpoint or
 * key. {@link #compact} resets the scale to 1 before it grows too large. Confined to the thread of
 * the routing policy.
 */
public final class TrafficCounters {
    /** Time constant of the decay of all counts. */
    public static final double DECAY_MICROS = 10e6;

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MIN_RATE_WINDOW_MICROS = 2e6;
    private static final double MAX_SCALE = 1e60;

    /** Each key takes some 100 bytes of heap for the 7 s after its last request. */
    private static final int MAX_KEYS = 16_384;

    private final Map<Long, Double> requestsByKey = new HashMap<>();
    private double arrivals;
    private double rejections;
    private double scale = 1;
    private long startedAtMicros;
    private long decayedAtMicros;

    /** Sets the time at which counting starts. */
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

    /** Returns the time since the last {@link #decay}, in µs. */
    public long microsSinceDecay(long now) {
        return now - decayedAtMicros;
    }

    /** Drops keys without recent requests, and resets the scale if it has grown too large. */
    public void compact(EndpointRegistry registry) {
        requestsByKey.values().removeIf(count -> count < scale / 2);
        if (scale > MAX_SCALE) {
            registry.rescale(scale);
            requestsByKey.clear();
            scale = 1;
        }
    }

    /** Counts arrived requests; the caller leaves out resubmissions. */
    public void recordArrivals(int requests) {
        arrivals += requests;
    }

    /**
     * Counts a request for a key. While the largest number of keys is counted, further ones are
     * not: they count as having no other requests, which is true of most new keys.
     */
    public void recordKey(long keyHash) {
        if (requestsByKey.size() < MAX_KEYS || requestsByKey.containsKey(keyHash)) {
            requestsByKey.merge(keyHash, scale, Double::sum);
        }
    }

    /** Returns the number of keys that are counted. */
    int countedKeys() {
        return requestsByKey.size();
    }

    /** Counts attempts that an endpoint rejected or that could not be sent. */
    public void recordRejections(int attempts) {
        rejections += attempts;
    }

    /** Returns the current weight of one event in the counts of endpoints and keys. */
    public double scale() {
        return scale;
    }

    /**
     * Returns this balancer's arrival rate, averaged over the time constant. Too low until that
     * time has passed since the start.
     */
    public double requestsPerSecond() {
        return arrivals / DECAY_MICROS * MICROS_PER_SECOND;
    }

    /**
     * Returns whether the attempts counted by {@link #recordRejections} exceed a fraction of the
     * requests.
     */
    public boolean isRejectedFractionAbove(double fraction) {
        return rejections > fraction * arrivals;
    }

    /** Returns the fraction of this balancer's requests that have the key, less one request. */
    public double keyTrafficFraction(long keyHash) {
        double keyRequests = requestsByKey.getOrDefault(keyHash, 0.0) / scale;
        return Math.max(0, keyRequests - 1) / Math.max(1, arrivals);
    }

    /** Returns this balancer's arrival rate, corrected for the short time since a recent start. */
    public double biasCorrectedRequestsPerSecond(long now) {
        return arrivals * biasCorrectedRatePerCount(now);
    }

    /**
     * Returns the rate per second that a decayed count of 1 at an endpoint corresponds to,
     * corrected for the short time since a recent start.
     */
    public double biasCorrectedSuccessesPerSecond(long now) {
        return biasCorrectedRatePerCount(now) / scale;
    }

    private double biasCorrectedRatePerCount(long now) {
        double elapsedMicros = Math.max(MIN_RATE_WINDOW_MICROS, (double) (now - startedAtMicros));
        double countedFraction = 1 - Math.exp(-elapsedMicros / DECAY_MICROS);
        return 1 / DECAY_MICROS * MICROS_PER_SECOND / countedFraction;
    }
}
