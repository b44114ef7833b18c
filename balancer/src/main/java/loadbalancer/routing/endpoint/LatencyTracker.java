package loadbalancer.routing.endpoint;

import java.util.Arrays;
import java.util.List;
import loadbalancer.routing.api.RequestClass;

/**
 * What is usual of each class of requests: how long they take, how large their hints are, how old a
 * try can be.
 */
public final class LatencyTracker {
    // Weight of one answer, and of one hint
    private static final double SMOOTHING = 0.03;

    // µs, time constant of trust in what was kept
    private static final double SNAPSHOT_TRUST_DECAY_MICROS = 60e6;

    private final List<RequestClass> requestClasses;
    // µs, moving mean latency
    private final double[] usualMicros;
    // Moving mean of hints
    private final double[] meanWorkHints;
    // µs, most time of a first try
    private final long[] maxFirstAttemptMicros;
    // µs, the least of the usual ones, as of the last look
    private double shortestUsualMicros;

    public LatencyTracker(List<RequestClass> requestClasses) {
        this.requestClasses = requestClasses;
        this.usualMicros =
                requestClasses.stream()
                        .mapToDouble(requestClass -> requestClass.latencyObjectiveMicros() / 4.0)
                        .toArray();
        this.meanWorkHints = new double[usualMicros.length];
        this.maxFirstAttemptMicros = new long[usualMicros.length];
        updateShortest();
    }

    /** µs. */
    public double usualMicros(int classIndex) {
        return usualMicros[classIndex];
    }

    /** µs, of the class that is quickest. */
    public double shortestUsualMicros() {
        return shortestUsualMicros;
    }

    public void updateShortest() {
        shortestUsualMicros = Arrays.stream(usualMicros).min().getAsDouble();
    }

    public List<Double> snapshot() {
        return Arrays.stream(usualMicros).boxed().toList();
    }

    /** Takes over what was usual {@code ageMicros} µs ago, the less the older it is. */
    public void restore(List<Double> savedMicros, long ageMicros) {
        double trust = Math.exp(-ageMicros / SNAPSHOT_TRUST_DECAY_MICROS);
        for (int classIndex = 0;
                savedMicros.size() == usualMicros.length && classIndex < usualMicros.length;
                classIndex++) {
            double savedLatencyMicros =
                    Math.max(
                            1,
                            Math.min(
                                    requestClasses.get(classIndex).deadlineMicros(),
                                    savedMicros.get(classIndex)));
            usualMicros[classIndex] += trust * (savedLatencyMicros - usualMicros[classIndex]);
        }
        updateShortest();
    }

    public void recordLatency(int classIndex, long latencyMicros) {
        usualMicros[classIndex] += SMOOTHING * (latencyMicros - usualMicros[classIndex]);
    }

    /** How many times the mean a hint is, after it was counted in. */
    public double recordWorkHint(int classIndex, long workHint) {
        double mean = meanWorkHints[classIndex];
        meanWorkHints[classIndex] += (mean > 0 ? SMOOTHING : 1) * (workHint - mean);
        return workHint / meanWorkHints[classIndex];
    }

    /**
     * Time gone since the client's first try, where a marked resubmission shows it, µs. Each try
     * gets the same time, or what is left of the class's deadline: one with another time than first
     * tries tells its age.
     */
    public long elapsedSinceFirstAttemptMicros(
            int classIndex, long remainingMicros, boolean resubmission) {
        long deadlineMicros = requestClasses.get(classIndex).deadlineMicros();
        if (!resubmission) {
            maxFirstAttemptMicros[classIndex] =
                    Math.max(maxFirstAttemptMicros[classIndex], remainingMicros);
        }
        boolean revealsAge =
                resubmission
                        && Math.abs(remainingMicros - maxFirstAttemptMicros[classIndex])
                                > deadlineMicros / 32;
        return revealsAge ? Math.max(0, deadlineMicros - remainingMicros) : 0;
    }
}
