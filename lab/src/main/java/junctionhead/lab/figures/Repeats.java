package junctionhead.lab.figures;

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
public final class Repeats {
    private final Map<String, List<Double>> values = new LinkedHashMap<>();

    public void add(String key, double value) {
        values.computeIfAbsent(key, k -> new ArrayList<>()).add(value);
    }

    /** All keys so far, rounded to four significant digits: more of them no repeat bears out. */
    public SortedMap<String, Double> figures() {
        SortedMap<String, Double> all = new TreeMap<>();
        values.forEach(
                (key, of) -> {
                    List<Double> sorted = of.stream().sorted().toList();
                    int half = sorted.size() / 2;
                    all.put(
                            key,
                            rounded(
                                    sorted.size() % 2 == 1
                                            ? sorted.get(half)
                                            : (sorted.get(half - 1) + sorted.get(half)) / 2));
                    if (sorted.size() > 1) {
                        all.put(key + ".least", rounded(sorted.get(0)));
                        all.put(key + ".most", rounded(sorted.get(sorted.size() - 1)));
                    }
                });
        return all;
    }

    private static double rounded(double value) {
        return Double.isFinite(value)
                ? new java.math.BigDecimal(value).round(new java.math.MathContext(4)).doubleValue()
                : value;
    }
}
