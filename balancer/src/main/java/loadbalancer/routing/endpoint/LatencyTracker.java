package loadbalancer.routing.endpoint;

import java.util.Arrays;
import java.util.List;
import loadbalancer.routing.api.RequestClass;

/**
 * Tracks typical values of each request class: the latency of its successes, its work hints, and
 * the time that clients allow for their first attempts. Confined to the thread of the routing
 * policy.
 */
public final class LatencyTracker {
    // Weight of one sample in the moving means.
    private static final double SMOOTHING = 0.03;
    private static final double SNAPSHOT_WEIGHT_DECAY_MICROS = 60e6;
    // Before the first sample, the usual latency is the latency objective divided by this.
    private static final double OBJECTIVE_PER_INITIAL_LATENCY = 4.0;
    // Attempts whose remaining times differ by at most the class's deadline divided by this count
    // as having the same remaining time.
    private static final int DEADLINE_TOLERANCE_DIVISOR = 32;

    private final List<RequestClass> requestClasses;
    private final double[] usualLatencyMicros;
    private final double[] meanWorkHints;
    private final long[] maxFirstAttemptMicros;
    private double minUsualLatencyMicros;

    /** Creates a tracker whose initial latencies are derived from the latency objectives. */
    public LatencyTracker(List<RequestClass> requestClasses) {
        this.requestClasses = requestClasses;
        this.usualLatencyMicros =
                requestClasses.stream().mapToDouble(LatencyTracker::initialMicros).toArray();
        this.meanWorkHints = new double[usualLatencyMicros.length];
        this.maxFirstAttemptMicros = new long[usualLatencyMicros.length];
        updateMinUsualLatency();
    }

    private static double initialMicros(RequestClass requestClass) {
        return requestClass.latencyObjectiveMicros() / OBJECTIVE_PER_INITIAL_LATENCY;
    }

    /** Returns the moving mean of a class's latency, in µs. */
    public double usualLatencyMicros(int classIndex) {
        return usualLatencyMicros[classIndex];
    }

    /**
     * Returns the lowest usual latency of any class, in µs, as of the last {@link
     * #updateMinUsualLatency}.
     */
    public double minUsualLatencyMicros() {
        return minUsualLatencyMicros;
    }

    /** Recomputes {@link #minUsualLatencyMicros}. */
    public void updateMinUsualLatency() {
        minUsualLatencyMicros = Arrays.stream(usualLatencyMicros).min().getAsDouble();
    }

    /** Returns the usual latency of each class, in µs. */
    public List<Double> snapshot() {
        return Arrays.stream(usualLatencyMicros).boxed().toList();
    }

    /**
     * Moves the usual latencies towards those of a snapshot; an older snapshot has less effect. A
     * snapshot with a different number of classes is ignored.
     *
     * @param savedMicros result of {@link #snapshot}, in µs
     * @param ageMicros age of the snapshot in µs
     */
    public void restore(List<Double> savedMicros, long ageMicros) {
        if (savedMicros.size() == usualLatencyMicros.length) {
            double snapshotWeight = Math.exp(-ageMicros / SNAPSHOT_WEIGHT_DECAY_MICROS);
            for (int classIndex = 0; classIndex < usualLatencyMicros.length; classIndex++) {
                restore(classIndex, savedMicros.get(classIndex), snapshotWeight);
            }
        }
        updateMinUsualLatency();
    }

    private void restore(int classIndex, double savedMicros, double snapshotWeight) {
        double maxMicros = (double) requestClasses.get(classIndex).deadlineMicros();
        double plausibleMicros = Math.max(1, Math.min(maxMicros, savedMicros));
        usualLatencyMicros[classIndex] +=
                snapshotWeight * (plausibleMicros - usualLatencyMicros[classIndex]);
    }

    /** Adds the latency of a successful attempt, in µs. */
    public void recordLatency(int classIndex, long latencyMicros) {
        usualLatencyMicros[classIndex] +=
                SMOOTHING * (latencyMicros - usualLatencyMicros[classIndex]);
    }

    /** Adds a work hint; returns its ratio to the mean, which already includes it. */
    public double recordWorkHint(int classIndex, long workHint) {
        double mean = meanWorkHints[classIndex];
        meanWorkHints[classIndex] += (mean > 0 ? SMOOTHING : 1) * (workHint - mean);
        return workHint / meanWorkHints[classIndex];
    }

    /**
     * Returns the time since the client's first attempt in µs, or 0 if it is unknown.
     *
     * <p>A client allows the same time for each attempt, or what remains of the class's deadline. A
     * resubmission therefore reveals how much of the deadline has passed only if its remaining time
     * differs from that of first attempts.
     *
     * @param remainingMicros time until the client's deadline, in µs
     * @param resubmission whether the client marked the request as sent before
     */
    public long elapsedSinceFirstAttemptMicros(
            int classIndex, long remainingMicros, boolean resubmission) {
        if (!resubmission) {
            maxFirstAttemptMicros[classIndex] =
                    Math.max(maxFirstAttemptMicros[classIndex], remainingMicros);
            return 0;
        }
        long deadlineMicros = requestClasses.get(classIndex).deadlineMicros();
        long differenceMicros = Math.abs(remainingMicros - maxFirstAttemptMicros[classIndex]);
        boolean revealsAge = differenceMicros > deadlineMicros / DEADLINE_TOLERANCE_DIVISOR;
        return revealsAge ? Math.max(0, deadlineMicros - remainingMicros) : 0;
    }
}
