package junctionhead;

import java.util.HashMap;
import java.util.Map;

/**
 * Faded counts of what this balancer sees. Counts of servers and keys don't fade themselves: what
 * one more counts for grows, so that a wake costs nothing for each of them.
 */
final class Counts {
    /** µs, time constant of them all. */
    static final double FADE = 10e6;

    // µs that a rate is taken over at least
    private static final double YOUNG = 2e6;
    // Counts are brought back to scale above it
    private static final double SCALE_MOST = 1e60;

    // Requests of each key
    private final Map<Long, Double> keys = new HashMap<>();
    private double arrivals;
    // Attempts that no server took
    private double turnedAway;
    // What one more counts for
    private double scale = 1;
    private long startedAt;
    private long fadedAt;

    void start(long now) {
        startedAt = now;
        fadedAt = now;
    }

    /** Fades all; returns the part that is kept. */
    double fade(long now) {
        double keep = Math.exp(-(now - fadedAt) / FADE);
        scale /= Math.max(keep, 1 / SCALE_MOST);
        arrivals *= keep;
        turnedAway *= keep;
        fadedAt = now;
        return keep;
    }

    /** µs since they were faded. */
    long sinceFaded(long now) {
        return now - fadedAt;
    }

    /**
     * Forgets keys that fell silent, and brings counts back to scale where that has grown too
     * large.
     */
    void tidy(Roster roster) {
        keys.values().removeIf(count -> count < scale / 2);
        if (scale > SCALE_MOST) {
            roster.rescale(scale);
            keys.clear();
            scale = 1;
        }
    }

    void arrived(int requests) {
        arrivals += requests;
    }

    void keyed(long key) {
        keys.merge(key, scale, Double::sum);
    }

    void turnedAway(int attempts) {
        turnedAway += attempts;
    }

    /** What one more counts for, in counts of servers. */
    double scale() {
        return scale;
    }

    /** Requests that this balancer gets a second, as a mean over its fade. */
    double rate() {
        return arrivals / FADE * 1e6;
    }

    /** The part of the attempts, by requests, that no server took. */
    boolean turnedAwayMoreThan(double part) {
        return turnedAway > part * arrivals;
    }

    /** The part of this balancer's requests that concern the key, beyond the first. */
    double heat(long key) {
        return Math.max(0, keys.getOrDefault(key, 0.0) / scale - 1) / Math.max(1, arrivals);
    }

    /** The rate of arrivals, a second: one of a short life has not filled yet. */
    double perSecond(long now) {
        return arrivals * perCount(now);
    }

    /** The rate that one of servers' counts stands for, a second. */
    double perServed(long now) {
        return perCount(now) / scale;
    }

    private double perCount(long now) {
        return 1 / FADE * 1e6 / (1 - Math.exp(-Math.max(YOUNG, now - startedAt) / FADE));
    }
}
