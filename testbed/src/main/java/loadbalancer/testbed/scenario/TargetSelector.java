package loadbalancer.testbed.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The balancers and upstreams that a fault affects. A selector is a comma-separated list of the
 * terms {@code balancers}, {@code upstreams} and {@code zone:NAME}; the last selects the balancers
 * and the upstreams of a zone. The first two may be followed by a colon and one filter: numbers
 * ({@code 0-6+9}), {@code zone=NAME}, or {@code any=N} for a random sample of N.
 *
 * @param balancers numbers of the selected balancers
 * @param upstreams numbers of the selected upstreams
 */
public record TargetSelector(NavigableSet<Integer> balancers, NavigableSet<Integer> upstreams) {
    private static final String ZONE_FILTER = "zone=";
    private static final String SAMPLE_FILTER = "any=";

    /**
     * Parses a selector.
     *
     * @param random used only for {@code any=N}
     * @throws InvalidSelectorException if the text is no valid selector in the scenario
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
                            ZONE_FILTER + filter,
                            scenario.fleet().balancers(),
                            scenario::zoneOfBalancer,
                            scenario,
                            random,
                            selected.balancers);
                    addMatching(
                            ZONE_FILTER + filter,
                            scenario.upstreams().count(),
                            scenario::zoneOfUpstream,
                            scenario,
                            random,
                            selected.upstreams);
                }
                default ->
                        throw new InvalidSelectorException(
                                "not balancers, upstreams or zone:NAME: '" + term + "'");
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
            NavigableSet<Integer> selected) {
        if (filter.isEmpty()) {
            IntStream.range(0, total).forEach(selected::add);
        } else if (filter.startsWith(ZONE_FILTER)) {
            int zone = zoneNumber(filter.substring(ZONE_FILTER.length()), scenario);
            IntStream.range(0, total)
                    .filter(number -> zoneOf.applyAsInt(number) == zone)
                    .forEach(selected::add);
        } else if (filter.startsWith(SAMPLE_FILTER)) {
            int sampleSize = parseNumber(filter.substring(SAMPLE_FILTER.length()), total + 1);
            addSample(sampleSize, total, random, selected);
        } else {
            addRanges(filter, total, selected);
        }
    }

    private static int zoneNumber(String name, Scenario scenario) {
        int zone = scenario.fleet().zones().indexOf(name);
        if (zone < 0) {
            throw new InvalidSelectorException("no zone is named '" + name + "'");
        }
        return zone;
    }

    private static void addSample(
            int sampleSize,
            int total,
            UniformRandomProvider random,
            NavigableSet<Integer> selected) {
        List<Integer> remaining = new ArrayList<>();
        for (int i = 0; i < total; i++) {
            remaining.add(i);
        }
        for (int i = 0; i < sampleSize; i++) {
            Collections.swap(remaining, i, i + random.nextInt(total - i));
            selected.add(remaining.get(i));
        }
    }

    private static void addRanges(String ranges, int total, NavigableSet<Integer> selected) {
        for (String range : ranges.split("\\+", -1)) {
            String[] bounds = range.split("-", 2);
            int first = parseNumber(bounds[0], total);
            int last = bounds.length > 1 ? parseNumber(bounds[1], total) : first;
            IntStream.rangeClosed(first, last).forEach(selected::add);
        }
    }

    private static int parseNumber(String text, int bound) {
        if (!text.matches("\\d{1,5}") || Integer.parseInt(text) >= bound) {
            throw new InvalidSelectorException(
                    "not a number from 0 to " + (bound - 1) + ": '" + text + "'");
        }
        return Integer.parseInt(text);
    }
}
