package junctionhead.lab.measure;

import java.util.Arrays;
import java.util.List;
import junctionhead.lab.plan.Seeds;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The mean of differences by seed, with an interval by resampling them: 95% for all figures of a
 * comparison together (Bonferroni), since of nine figures that differ in nothing one in three
 * comparisons would show one.
 */
public record Bootstrap(double mean, double low, double high) {
    private static final int DRAWS = 10_000;
    private static final double TAIL = 0.025;
    // The same differences give the same interval
    private static final long SEED = 1;

    /** Of at least one difference; {@code figures} are looked at together. */
    public static Bootstrap of(List<Double> differences, int figures) {
        UniformRandomProvider random = Seeds.stream(SEED, "bootstrap");
        double[] means = new double[DRAWS];
        for (int i = 0; i < DRAWS; i++) {
            double sum = 0;
            for (int j = 0; j < differences.size(); j++) {
                sum += differences.get(random.nextInt(differences.size()));
            }
            means[i] = sum / differences.size();
        }
        Arrays.sort(means);
        double tail = TAIL / figures;
        return new Bootstrap(
                differences.stream().mapToDouble(d -> d).average().orElseThrow(),
                means[(int) (tail * DRAWS)],
                means[(int) Math.ceil((1 - tail) * DRAWS) - 1]);
    }

    /** Whether zero lies outside of the interval. */
    public boolean differs() {
        return low > 0 || high < 0;
    }
}
