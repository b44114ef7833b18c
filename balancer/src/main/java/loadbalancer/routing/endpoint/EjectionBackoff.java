package loadbalancer.routing.endpoint;

import java.util.SplittableRandom;

/**
 * How long an endpoint, or one class of it, is ejected: exponentially longer with each ejection in
 * a row, with jitter at the end. Used for both so that they behave alike. Stateless.
 */
public final class EjectionBackoff {
    /** Length of a first ejection; doubles with each that follows. */
    public static final long BASE_EJECTION_MICROS = 1_000_000;

    /** Successes that end the half-open state after an ejection. */
    public static final int SUCCESSES_TO_RECOVER = 3;

    // Bounds an ejection at 16 s
    private static final int MAX_EJECTION_DOUBLINGS = 4;
    private static final int JITTER_DIVISOR = 4;

    private EjectionBackoff() {}

    /** Length of an ejection without its jitter, after so many ejections in a row. */
    public static long ejectionMicros(int priorEjections) {
        return BASE_EJECTION_MICROS << Math.min(MAX_EJECTION_DOUBLINGS, priorEjections);
    }

    /** End of an ejection that begins now; draws the jitter, up to a quarter of its length. */
    public static long ejectedUntilMicros(long now, long ejectionMicros, SplittableRandom random) {
        return now + ejectionMicros + random.nextLong(ejectionMicros / JITTER_DIVISOR);
    }
}
