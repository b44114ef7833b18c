package junctionhead;

import java.util.Arrays;
import java.util.List;

/**
 * What is usual of each class of requests: how long they take, how large their hints are, how old a
 * try can be.
 */
final class Latencies {
    // Weight of one answer, and of one hint
    private static final double SMOOTH = 0.03;

    // µs, time constant of trust in what was kept
    private static final double TRUST = 60e6;

    private final List<Policy.RequestClass> classes;
    // µs, moving mean latency
    private final double[] usual;
    // Moving mean of hints
    private final double[] meanWork;
    // µs, most time of a first try
    private final long[] firstTry;
    // µs, the least of the usual ones, as of the last look
    private double shortest;

    Latencies(List<Policy.RequestClass> classes) {
        this.classes = classes;
        this.usual = classes.stream().mapToDouble(c -> c.aim() / 4.0).toArray();
        this.meanWork = new double[usual.length];
        this.firstTry = new long[usual.length];
        look();
    }

    /** µs. */
    double usual(int number) {
        return usual[number];
    }

    /** µs, of the class that is quickest. */
    double shortest() {
        return shortest;
    }

    void look() {
        shortest = Arrays.stream(usual).min().getAsDouble();
    }

    List<Double> keep() {
        return Arrays.stream(usual).boxed().toList();
    }

    /** Takes over what was usual {@code age} µs ago, the less the older it is. */
    void recall(List<Double> kept, long age) {
        double trust = Math.exp(-age / TRUST);
        for (int i = 0; kept.size() == usual.length && i < usual.length; i++) {
            double known = Math.max(1, Math.min(classes.get(i).deadline(), kept.get(i)));
            usual[i] += trust * (known - usual[i]);
        }
        look();
    }

    void served(int number, long latency) {
        usual[number] += SMOOTH * (latency - usual[number]);
    }

    /** How many times the mean a hint is, after it was counted in. */
    double hinted(int number, long work) {
        double mean = meanWork[number];
        meanWork[number] += (mean > 0 ? SMOOTH : 1) * (work - mean);
        return work / meanWork[number];
    }

    /**
     * Time gone since the client's first try, where a marked resubmission shows it, µs. Each try
     * gets the same time, or what is left of the class's deadline: one with another time than first
     * tries tells its age.
     */
    long spent(int number, long timeLeft, boolean resubmission) {
        long deadline = classes.get(number).deadline();
        if (!resubmission) {
            firstTry[number] = Math.max(firstTry[number], timeLeft);
        }
        boolean tells = resubmission && Math.abs(timeLeft - firstTry[number]) > deadline / 32;
        return tells ? Math.max(0, deadline - timeLeft) : 0;
    }
}
