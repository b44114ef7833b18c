package loadbalancer.routing.endpoint;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;

/**
 * Outlier ejection of one request class at one endpoint. It works as a circuit breaker: closed,
 * open while the class is ejected, then half-open until enough consecutive attempts succeed.
 *
 * <p>An endpoint that fails one class may still serve the others, and ejecting it as a whole would
 * lose its capacity for them. The failure ratio is a moving mean over attempts. With a mean over
 * time, a busy endpoint with many past successes would have to fail dozens of attempts before it
 * was ejected.
 *
 * <p>Confined to the thread of the routing policy.
 */
public final class ClassEjection {
    // Weight of one attempt in the failure ratio.
    private static final double FAILURE_RATIO_SMOOTHING = 0.1;
    // Two failures within about five attempts exceed this ratio.
    private static final double MAX_FAILURE_RATIO = 0.15;
    private static final long REMOTE_EJECTION_DELAY_MICROS = 1_000_000;

    private double failureRatio;
    private long ejectedUntilMicros;
    private long locallyEjectedUntilMicros;
    private int consecutiveEjections;
    private int halfOpenSuccessesLeft;
    private int inFlight;

    /** Returns whether the class is ejected. */
    public boolean isEjected(long now) {
        return ejectedUntilMicros > now;
    }

    /** Returns whether an attempt may be sent now; while half-open, only one may be in flight. */
    public boolean allowsAttempt(long now) {
        return !isEjected(now) && (halfOpenSuccessesLeft == 0 || inFlight == 0);
    }

    void onAttemptStarted() {
        inFlight++;
    }

    void onAttemptEnded() {
        inFlight--;
    }

    /**
     * Counts a successful attempt.
     *
     * @param onRecovered called if this success ends the half-open state
     */
    public void onSuccess(Runnable onRecovered) {
        failureRatio -= FAILURE_RATIO_SMOOTHING * failureRatio;
        if (halfOpenSuccessesLeft > 0 && --halfOpenSuccessesLeft == 0) {
            consecutiveEjections = 0;
            failureRatio = 0;
            onRecovered.run();
        }
    }

    /** Returns when the last ejection decided by this balancer ends or ended, or 0 if none. */
    public long locallyEjectedUntilMicros() {
        return locallyEjectedUntilMicros;
    }

    /**
     * Ejects the class because another balancer has ejected it. The ejection lasts a little longer
     * than the other balancer's, so that the other balancer probes the endpoint first and the
     * result of that probe serves both.
     */
    public void onRemoteEjection(long remoteEjectedUntilMicros) {
        if (remoteEjectedUntilMicros > ejectedUntilMicros) {
            ejectedUntilMicros = remoteEjectedUntilMicros + REMOTE_EJECTION_DELAY_MICROS;
            halfOpenSuccessesLeft = EjectionBackoff.SUCCESSES_TO_RECOVER;
        }
    }

    /**
     * Counts a failed attempt and ejects the class if its failure ratio is too high.
     *
     * @param random source of the jitter of the ejection
     * @param onEjected receives the duration of an ejection that begins now, in µs without jitter
     */
    public void onFailure(long now, SplittableRandom random, LongConsumer onEjected) {
        failureRatio += FAILURE_RATIO_SMOOTHING * (1 - failureRatio);
        boolean isTolerated = halfOpenSuccessesLeft == 0 && failureRatio <= MAX_FAILURE_RATIO;
        if (isEjected(now) || isTolerated) {
            return;
        }
        long ejectionMicros = EjectionBackoff.ejectionMicros(consecutiveEjections++);
        ejectedUntilMicros = EjectionBackoff.ejectedUntilMicros(now, ejectionMicros, random);
        locallyEjectedUntilMicros = ejectedUntilMicros;
        halfOpenSuccessesLeft = EjectionBackoff.SUCCESSES_TO_RECOVER;
        onEjected.accept(ejectionMicros);
    }

    /**
     * Returns whether a class is ejected at more than half of the listed endpoints. Its requests
     * are then more likely at fault than the endpoints, and the ejections should be ignored.
     *
     * @param activeEndpoints the listed endpoints that may be ejected
     * @param listedCount number of listed endpoints
     */
    public static boolean isMajorityEjected(
            List<EndpointState> activeEndpoints, int listedCount, int classIndex, long now) {
        long ejectedCount =
                activeEndpoints.stream()
                        .filter(endpoint -> endpoint.classHealth(classIndex).isEjected(now))
                        .count();
        return 2 * ejectedCount > listedCount;
    }
}
