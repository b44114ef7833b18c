package loadbalancer.routing.endpoint;

import java.util.Arrays;
import java.util.List;
import loadbalancer.routing.api.RequestClass;

/**
 * Usual values of each request class: the latency of its successes, its work hints, and the time
 * that clients give their first attempts. Confined to the thread of the routing policy.
 */
public final class LatencyTracker {
    // Weight of one sample in the moving means
    private static final double SMOOTHING = 0.03;
    private static final double SNAPSHOT_TRUST_DECAY_MICROS = 60e6;
    // Before any sample the latency objective divided by this counts as usual
    private static final double OBJECTIVE_PER_INITIAL_LATENCY = 4.0;
    // Part of the class's deadline by which the remaining time of equal attempts may differ
    private static final int DEADLINE_TOLERANCE_DIVISOR = 32;

    private final List<RequestClass> requestClasses;
    private final double[] usualMicros;
    private final double[] meanWorkHints;
    private final long[] maxFirstAttemptMicros;
    private double shortestUsualMicros;

    /** Starts with a latency that follows from each class's objective. */
    public LatencyTracker(List<RequestClass> requestClasses) {
        this.requestClasses = requestClasses;
        this.usualMicros =
                requestClasses.stream().mapToDouble(LatencyTracker::initialMicros).toArray();
        this.meanWorkHints = new double[usualMicros.length];
        this.maxFirstAttemptMicros = new long[usualMicros.length];
        updateShortest();
    }

    private static double initialMicros(RequestClass requestClass) {
        return requestClass.latencyObjectiveMicros() / OBJECTIVE_PER_INITIAL_LATENCY;
    }

    /** Moving mean of a class's latency, in µs. */
    public double usualMicros(int classIndex) {
        return usualMicros[classIndex];
    }

    /** Usual latency of the quickest class as of the last {@link #updateShortest}, in µs. */
    public double shortestUsualMicros() {
        return shortestUsualMicros;
    }

    /** Recomputes {@link #shortestUsualMicros}. */
    public void updateShortest() {
        shortestUsualMicros = Arrays.stream(usualMicros).min().getAsDouble();
    }

    /** The usual latency of each class, in µs. */
    public List<Double> snapshot() {
        return Arrays.stream(usualMicros).boxed().toList();
    }

    /**
     * Moves the usual latencies towards those of a snapshot, the less the older it is. A snapshot
     * of another number of classes is ignored.
     *
     * @param savedMicros as {@link #snapshot} gave them
     * @param ageMicros age of the snapshot
     */
    public void restore(List<Double> savedMicros, long ageMicros) {
        if (savedMicros.size() == usualMicros.length) {
            double trust = Math.exp(-ageMicros / SNAPSHOT_TRUST_DECAY_MICROS);
            for (int classIndex = 0; classIndex < usualMicros.length; classIndex++) {
                restore(classIndex, savedMicros.get(classIndex), trust);
            }
        }
        updateShortest();
    }

    private void restore(int classIndex, double savedMicros, double trust) {
        double maxMicros = (double) requestClasses.get(classIndex).deadlineMicros();
        double plausibleMicros = Math.max(1, Math.min(maxMicros, savedMicros));
        usualMicros[classIndex] += trust * (plausibleMicros - usualMicros[classIndex]);
    }

    /** Adds the latency of a success. */
    public void recordLatency(int classIndex, long latencyMicros) {
        usualMicros[classIndex] += SMOOTHING * (latencyMicros - usualMicros[classIndex]);
    }

    /** Adds a work hint; returns it as a multiple of the mean, which includes it already. */
    public double recordWorkHint(int classIndex, long workHint) {
        double mean = meanWorkHints[classIndex];
        meanWorkHints[classIndex] += (mean > 0 ? SMOOTHING : 1) * (workHint - mean);
        return workHint / meanWorkHints[classIndex];
    }

    /**
     * Time since the client's first attempt, in µs, where a resubmission reveals it.
     *
     * <p>A client gives each attempt the same time, or what is left of the class's deadline. Only
     * one whose remaining time differs from that of first attempts therefore tells how much of the
     * deadline has passed.
     *
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
