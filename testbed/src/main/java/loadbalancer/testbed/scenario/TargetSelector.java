package loadbalancer.testbed.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.IntUnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Whom a fault is about: terms joined by commas, each {@code balancers}, {@code upstreams} or
 * {@code zone:NAME} (both of that zone); after a colon the first two take numbers ({@code 0-6+9}),
 * {@code zone=NAME}, or {@code any=N}, a choice by the seed.
 *
 * @param balancers numbers of the balancers meant
 * @param upstreams numbers of the upstreams meant
 */
public record TargetSelector(SortedSet<Integer> balancers, SortedSet<Integer> upstreams) {
    /**
     * Reads a selector.
     *
     * @throws IllegalArgumentException with what is wrong, in a few words
     */
    public static TargetSelector parse(
            String text, Scenario scenario, UniformRandomProvider random) {
        TargetSelector selected = new TargetSelector(new TreeSet<>(), new TreeSet<>());
        for (String term : text.split(",", -1)) {
            String[] parts = term.strip().split(":", 2);
            String filter = parts.length > 1 ? parts[1] : "";
            switch (parts[0]) {
                case "balancers" ->
                        addMatching(
                                filter,
                                scenario.fleet().balancers(),
                                scenario::zoneOfBalancer,
                                scenario,
                                random,
                                selected.balancers);
                case "upstreams" ->
                        addMatching(
                                filter,
                                scenario.upstreams().count(),
                                scenario::zoneOfUpstream,
                                scenario,
                                random,
                                selected.upstreams);
                case "zone" -> {
                    addMatching(
                            "zone=" + filter,
                            scenario.fleet().balancers(),
                            scenario::zoneOfBalancer,
                            scenario,
                            random,
                            selected.balancers);
                    addMatching(
                            "zone=" + filter,
                            scenario.upstreams().count(),
                            scenario::zoneOfUpstream,
                            scenario,
                            random,
                            selected.upstreams);
                }
                default ->
                        throw new IllegalArgumentException(
                                "not balancers, upstreams or zone: '" + term + "'");
            }
        }
        return selected;
    }

    private static void addMatching(
            String filter,
            int total,
            IntUnaryOperator zoneOf,
            Scenario scenario,
            UniformRandomProvider random,
            SortedSet<Integer> selected) {
        if (filter.isEmpty()) {
            for (int i = 0; i < total; i++) {
                selected.add(i);
            }
        } else if (filter.startsWith("zone=")) {
            int zone = scenario.fleet().zones().indexOf(filter.substring(5));
            if (zone < 0) {
                throw new IllegalArgumentException("no zone '" + filter.substring(5) + "'");
            }
            for (int i = 0; i < total; i++) {
                if (zoneOf.applyAsInt(i) == zone) {
                    selected.add(i);
                }
            }
        } else if (filter.startsWith("any=")) {
            int sampleSize = parseNumber(filter.substring(4), total + 1);
            List<Integer> remaining = new ArrayList<>();
            for (int i = 0; i < total; i++) {
                remaining.add(i);
            }
            for (int i = 0; i < sampleSize; i++) {
                Collections.swap(remaining, i, i + random.nextInt(total - i));
                selected.add(remaining.get(i));
            }
        } else {
            for (String range : filter.split("\\+", -1)) {
                String[] ends = range.split("-", 2);
                int first = parseNumber(ends[0], total);
                int last = ends.length > 1 ? parseNumber(ends[1], total) : first;
                for (int i = first; i <= last; i++) {
                    selected.add(i);
                }
            }
        }
    }

    private static int parseNumber(String text, int bound) {
        if (!text.matches("\\d{1,5}") || Integer.parseInt(text) >= bound) {
            throw new IllegalArgumentException(
                    "not a number from 0 to " + (bound - 1) + ": '" + text + "'");
        }
        return Integer.parseInt(text);
    }
}
