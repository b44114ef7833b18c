package loadbalancer.routing.endpoint;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;

/**
 * Outlier ejection of one request class of one endpoint, as a circuit breaker: closed, open while
 * ejected, then half-open until enough attempts in a row succeed.
 *
 * <p>An endpoint that fails one class may serve the others: ejecting it as a whole would lose its
 * capacity for them. The failure ratio is a moving mean over attempts, not over time; over time a
 * busy endpoint with a good past would have to fail dozens of attempts first.
 *
 * <p>Confined to the thread of the routing policy.
 */
public final class ClassEjection {
    // Weight of one attempt in the failure ratio
    private static final double FAILURE_RATIO_SMOOTHING = 0.1;
    // Two failures within some five attempts exceed it
    private static final double MAX_FAILURE_RATIO = 0.15;
    private static final long REMOTE_EJECTION_DELAY_MICROS = 1_000_000;

    private double failureRatio;
    private long ejectedUntilMicros;
    private long locallyEjectedUntilMicros;
    private int consecutiveEjections;
    private int halfOpenSuccessesLeft;
    private int inFlight;

    /** Whether the class is ejected. */
    public boolean isEjected(long now) {
        return ejectedUntilMicros > now;
    }

    /** Whether an attempt may be sent now; while half-open, one at a time. */
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
     * @param onRecovered runs if this success ends the half-open state
     */
    public void onSuccess(Runnable onRecovered) {
        failureRatio -= FAILURE_RATIO_SMOOTHING * failureRatio;
        if (halfOpenSuccessesLeft > 0 && --halfOpenSuccessesLeft == 0) {
            consecutiveEjections = 0;
            failureRatio = 0;
            onRecovered.run();
        }
    }

    /** End of the last ejection that this balancer decided itself; 0 if there was none. */
    public long locallyEjectedUntilMicros() {
        return locallyEjectedUntilMicros;
    }

    /**
     * Another balancer has ejected the class: this one ejects it too, for a little longer, so that
     * the attempt with which the other one probes the endpoint decides for both.
     */
    public void onRemoteEjection(long remoteEjectedUntilMicros) {
        if (remoteEjectedUntilMicros > ejectedUntilMicros) {
            ejectedUntilMicros = remoteEjectedUntilMicros + REMOTE_EJECTION_DELAY_MICROS;
            halfOpenSuccessesLeft = EjectionBackoff.SUCCESSES_TO_RECOVER;
        }
    }

    /**
     * Counts a failed attempt and ejects the class if it fails too many.
     *
     * @param random source of the jitter of an ejection
     * @param onEjected accepts the length of an ejection that begins now, in µs without jitter
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
     * Whether most of the listed endpoints have ejected a class, so that the fault is more likely
     * in its requests and the ejections are to be ignored.
     *
     * @param activeEndpoints of the listed endpoints those that may be ejected
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
