package loadbalancer.testbed.statistics;

import java.util.Arrays;
import java.util.List;
import loadbalancer.testbed.workload.RandomStreams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The mean of paired differences with its confidence interval by bootstrap resampling. The interval
 * has 95% confidence for all metrics of a comparison together (Bonferroni correction). If each
 * interval had 95% confidence, nine metrics that do not differ would show a difference in about one
 * of three comparisons.
 */
public record BootstrapInterval(double mean, double lowerBound, double upperBound) {
    private static final int RESAMPLES = 10_000;
    private static final double TAIL_PROBABILITY = 0.025;
    // A fixed seed makes the interval reproducible.
    private static final long SEED = 1;

    /**
     * Computes the interval.
     *
     * @param differences at least one difference
     * @param comparisons number of metrics that are compared together
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

    /** Returns whether zero lies outside the interval. */
    public boolean isSignificant() {
        return lowerBound > 0 || upperBound < 0;
    }
}
