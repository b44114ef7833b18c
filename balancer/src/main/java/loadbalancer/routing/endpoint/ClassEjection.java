package loadbalancer.routing.endpoint;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;

/**
 * Whether a server answers one class of requests. Guards against a server that fails one class and
 * serves the others: taken out as a whole its capacity was missing, and left in it went on failing
 * that class. By attempts, not by time: against seconds of good answers a busy server had to fail
 * dozens first.
 */
public final class ClassEjection {
    // Weight of one attempt in the share that fails
    private static final double FAILURE_RATIO_SMOOTHING = 0.1;
    // At which it rests: two failures in some five
    private static final double MAX_FAILURE_RATIO = 0.15;
    // µs; doubles each time
    private static final long BASE_EJECTION_MICROS = 1_000_000;
    // Up to 16 s
    private static final int MAX_EJECTION_DOUBLINGS = 4;
    // µs that one waits for who found it failing
    private static final long REMOTE_EJECTION_DELAY_MICROS = 1_000_000;
    // Successes in a row that end a trial
    private static final int SUCCESSES_TO_RECOVER = 3;

    private double failureRatio;
    private long ejectedUntilMicros;
    // The same, where this balancer found it failing
    private long locallyEjectedUntilMicros;
    private int consecutiveEjections;
    // Successes still wanted, 0 = not on trial
    private int halfOpenSuccessesLeft;
    private int inFlight;

    public boolean isEjected(long now) {
        return ejectedUntilMicros > now;
    }

    /** While on trial it gets one attempt at a time. */
    public boolean allowsAttempt(long now) {
        return !isEjected(now) && (halfOpenSuccessesLeft == 0 || inFlight == 0);
    }

    public void onAttemptStarted() {
        inFlight++;
    }

    public void onAttemptEnded() {
        inFlight--;
    }

    /** {@code onRecovered} runs where this success ends a trial. */
    public void onSuccess(Runnable onRecovered) {
        failureRatio -= FAILURE_RATIO_SMOOTHING * failureRatio;
        if (halfOpenSuccessesLeft > 0 && --halfOpenSuccessesLeft == 0) {
            consecutiveEjections = 0;
            failureRatio = 0;
            onRecovered.run();
        }
    }

    /** Until when it rests for what this balancer has found itself. */
    public long locallyEjectedUntilMicros() {
        return locallyEjectedUntilMicros;
    }

    /**
     * Another balancer has it rest: so does this one, and then tries it first. A while later than
     * the one that found it: that one's first trial tells all the others.
     */
    public void onRemoteEjection(long remoteEjectedUntilMicros) {
        if (remoteEjectedUntilMicros > ejectedUntilMicros) {
            ejectedUntilMicros = remoteEjectedUntilMicros + REMOTE_EJECTION_DELAY_MICROS;
            halfOpenSuccessesLeft = SUCCESSES_TO_RECOVER;
        }
    }

    /** {@code onEjected} is told the length, in µs, of a rest that begins with this failure. */
    public void onFailure(long now, SplittableRandom random, LongConsumer onEjected) {
        failureRatio += FAILURE_RATIO_SMOOTHING * (1 - failureRatio);
        if (isEjected(now) || halfOpenSuccessesLeft == 0 && failureRatio <= MAX_FAILURE_RATIO) {
            return;
        }
        long ejectionMicros =
                BASE_EJECTION_MICROS << Math.min(MAX_EJECTION_DOUBLINGS, consecutiveEjections++);
        ejectedUntilMicros = now + ejectionMicros + random.nextLong(ejectionMicros / 4);
        locallyEjectedUntilMicros = ejectedUntilMicros;
        halfOpenSuccessesLeft = SUCCESSES_TO_RECOVER;
        onEjected.accept(ejectionMicros);
    }

    /**
     * Bounds the rests: where most of all servers fail a class the fault is likely in its requests.
     */
    public static boolean isMajorityEjected(
            List<EndpointState> activeEndpoints, int listedCount, int classIndex, long now) {
        return 2
                        * activeEndpoints.stream()
                                .filter(endpoint -> endpoint.classHealth[classIndex].isEjected(now))
                                .count()
                > listedCount;
    }
}
