package loadbalancer.testbed.docfigures;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Collects the values of a repeated measurement and summarizes them. The median is stored under the
 * key itself. If there is more than one value, the minimum and the maximum are stored under the key
 * with the suffixes {@code .least} and {@code .most}. Not thread-safe.
 */
public final class RepeatedMeasurements {
    private static final MathContext PRECISION = new MathContext(4);

    private final Map<String, List<Double>> valuesByKey = new LinkedHashMap<>();

    /** Adds the value of one repetition. */
    public void add(String key, double value) {
        valuesByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(value);
    }

    /** Returns the summary of all values so far, rounded to four significant digits. */
    public SortedMap<String, Double> summary() {
        SortedMap<String, Double> summary = new TreeMap<>();
        valuesByKey.forEach(
                (key, repeats) -> {
                    List<Double> sorted = repeats.stream().sorted().toList();
                    int middle = sorted.size() / 2;
                    summary.put(
                            key,
                            round(
                                    sorted.size() % 2 == 1
                                            ? sorted.get(middle)
                                            : (sorted.get(middle - 1) + sorted.get(middle)) / 2));
                    if (sorted.size() > 1) {
                        summary.put(key + ".least", round(sorted.get(0)));
                        summary.put(key + ".most", round(sorted.get(sorted.size() - 1)));
                    }
                });
        return summary;
    }

    private static double round(double value) {
        return Double.isFinite(value)
                ? new BigDecimal(value).round(PRECISION).doubleValue()
                : value;
    }
}
