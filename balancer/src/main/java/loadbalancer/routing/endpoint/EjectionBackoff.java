package loadbalancer.routing.endpoint;

import java.util.SplittableRandom;

/**
 * Computes how long an endpoint, or one request class at it, is ejected. The duration doubles with
 * each consecutive ejection up to a bound, and jitter is added to the end. Endpoint and class
 * ejections share this class so that they behave alike. Stateless.
 */
public final class EjectionBackoff {
    /** Duration of the first ejection; it doubles with each consecutive ejection. */
    public static final long BASE_EJECTION_MICROS = 1_000_000;

    /** Number of successes that end the half-open state after an ejection. */
    public static final int SUCCESSES_TO_RECOVER = 3;

    // Limits an ejection to 16 s, without jitter.
    private static final int MAX_EJECTION_DOUBLINGS = 4;
    private static final int JITTER_DIVISOR = 4;

    private EjectionBackoff() {}

    /**
     * Returns the duration of an ejection in µs, without jitter.
     *
     * @param priorEjections number of consecutive ejections before this one
     */
    public static long ejectionMicros(int priorEjections) {
        return BASE_EJECTION_MICROS << Math.min(MAX_EJECTION_DOUBLINGS, priorEjections);
    }

    /**
     * Returns when an ejection that begins now ends; draws a jitter of up to a quarter of its
     * duration.
     */
    public static long ejectedUntilMicros(long now, long ejectionMicros, SplittableRandom random) {
        return now + ejectionMicros + random.nextLong(ejectionMicros / JITTER_DIVISOR);
    }
}
