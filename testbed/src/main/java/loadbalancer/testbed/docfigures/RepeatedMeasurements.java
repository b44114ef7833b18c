package loadbalancer.testbed.docfigures;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Collects what repeats of one measurement gave: of each key the median stands under the key
 * itself, the least and the most under {@code .least} and {@code .most}, where there was more than
 * one.
 */
public final class RepeatedMeasurements {
    private final Map<String, List<Double>> valuesByKey = new LinkedHashMap<>();

    public void add(String key, double value) {
        valuesByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(value);
    }

    /** All keys so far, rounded to four significant digits: more of them no repeat bears out. */
    public SortedMap<String, Double> summary() {
        SortedMap<String, Double> summary = new TreeMap<>();
        valuesByKey.forEach(
                (key, repeats) -> {
                    List<Double> sorted = repeats.stream().sorted().toList();
                    int middle = sorted.size() / 2;
                    summary.put(
                            key,
                            roundToFourDigits(
                                    sorted.size() % 2 == 1
                                            ? sorted.get(middle)
                                            : (sorted.get(middle - 1) + sorted.get(middle)) / 2));
                    if (sorted.size() > 1) {
                        summary.put(key + ".least", roundToFourDigits(sorted.get(0)));
                        summary.put(
                                key + ".most", roundToFourDigits(sorted.get(sorted.size() - 1)));
                    }
                });
        return summary;
    }

    private static double roundToFourDigits(double value) {
        return Double.isFinite(value)
                ? new java.math.BigDecimal(value).round(new java.math.MathContext(4)).doubleValue()
                : value;
    }
}
