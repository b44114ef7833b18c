package loadbalancer.testbed.statistics;

import java.util.Arrays;
import java.util.List;
import loadbalancer.testbed.workload.RandomStreams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The mean of differences by seed, with an interval by resampling them: 95% for all figures of a
 * comparison together (Bonferroni), since of nine figures that differ in nothing one in three
 * comparisons would show one.
 */
public record BootstrapInterval(double mean, double lowerBound, double upperBound) {
    private static final int RESAMPLES = 10_000;
    private static final double TAIL_PROBABILITY = 0.025;
    // The same differences give the same interval
    private static final long SEED = 1;

    /** Of at least one difference; {@code comparisons} are looked at together. */
    public static BootstrapInterval of(List<Double> differences, int comparisons) {
        UniformRandomProvider random = RandomStreams.stream(SEED, "bootstrap");
        double[] means = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            double sum = 0;
            for (int j = 0; j < differences.size(); j++) {
                sum += differences.get(random.nextInt(differences.size()));
            }
            means[i] = sum / differences.size();
        }
        Arrays.sort(means);
        double correctedTail = TAIL_PROBABILITY / comparisons;
        return new BootstrapInterval(
                differences.stream().mapToDouble(difference -> difference).average().orElseThrow(),
                means[(int) (correctedTail * RESAMPLES)],
                means[(int) Math.ceil((1 - correctedTail) * RESAMPLES) - 1]);
    }

    /** Whether zero lies outside of the interval. */
    public boolean isSignificant() {
        return lowerBound > 0 || upperBound < 0;
    }
}
