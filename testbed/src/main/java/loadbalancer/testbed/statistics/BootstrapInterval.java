package loadbalancer.testbed.statistics;

import java.util.Arrays;
import java.util.List;
import loadbalancer.testbed.workload.RandomStreams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The mean of paired differences with its confidence interval by bootstrap resampling. The interval
 * has 95% confidence for all figures of a comparison together (Bonferroni correction): with an
 * interval of 95% for each, nine figures that don't differ would show a difference in one of three
 * comparisons.
 */
public record BootstrapInterval(double mean, double lowerBound, double upperBound) {
    private static final int RESAMPLES = 10_000;
    private static final double TAIL_PROBABILITY = 0.025;
    // The same differences give the same interval
    private static final long SEED = 1;

    /**
     * Computes the interval of at least one difference.
     *
     * @param comparisons number of figures that are compared together
     */
    public static BootstrapInterval of(List<Double> differences, int comparisons) {
        double[] means = resampledMeans(differences);
        Arrays.sort(means);
        double correctedTail = TAIL_PROBABILITY / comparisons;
        return new BootstrapInterval(
                differences.stream().mapToDouble(difference -> difference).average().orElseThrow(),
                means[(int) (correctedTail * RESAMPLES)],
                means[(int) Math.ceil((1 - correctedTail) * RESAMPLES) - 1]);
    }

    private static double[] resampledMeans(List<Double> differences) {
        UniformRandomProvider random = RandomStreams.stream(SEED, "bootstrap");
        double[] means = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            double sum = 0;
            for (int j = 0; j < differences.size(); j++) {
                sum += differences.get(random.nextInt(differences.size()));
            }
            means[i] = sum / differences.size();
        }
        return means;
    }

    /** Whether zero lies outside of the interval. */
    public boolean isSignificant() {
        return lowerBound > 0 || upperBound < 0;
    }
}
