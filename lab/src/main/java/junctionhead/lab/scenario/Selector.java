package junctionhead.lab.scenario;

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
public record Selector(SortedSet<Integer> balancers, SortedSet<Integer> upstreams) {
    /**
     * Reads a selector.
     *
     * @throws IllegalArgumentException with what is wrong, in a few words
     */
    public static Selector of(String text, Scenario scenario, UniformRandomProvider random) {
        Selector all = new Selector(new TreeSet<>(), new TreeSet<>());
        for (String term : text.split(",", -1)) {
            String[] parts = term.strip().split(":", 2);
            String spec = parts.length > 1 ? parts[1] : "";
            switch (parts[0]) {
                case "balancers" ->
                        pick(
                                spec,
                                scenario.fleet().balancers(),
                                scenario::zoneOfBalancer,
                                scenario,
                                random,
                                all.balancers);
                case "upstreams" ->
                        pick(
                                spec,
                                scenario.upstreams().count(),
                                scenario::zoneOfUpstream,
                                scenario,
                                random,
                                all.upstreams);
                case "zone" -> {
                    pick(
                            "zone=" + spec,
                            scenario.fleet().balancers(),
                            scenario::zoneOfBalancer,
                            scenario,
                            random,
                            all.balancers);
                    pick(
                            "zone=" + spec,
                            scenario.upstreams().count(),
                            scenario::zoneOfUpstream,
                            scenario,
                            random,
                            all.upstreams);
                }
                default ->
                        throw new IllegalArgumentException(
                                "not balancers, upstreams or zone: '" + term + "'");
            }
        }
        return all;
    }

    private static void pick(
            String spec,
            int count,
            IntUnaryOperator zoneOf,
            Scenario scenario,
            UniformRandomProvider random,
            SortedSet<Integer> into) {
        if (spec.isEmpty()) {
            for (int i = 0; i < count; i++) {
                into.add(i);
            }
        } else if (spec.startsWith("zone=")) {
            int zone = scenario.fleet().zones().indexOf(spec.substring(5));
            if (zone < 0) {
                throw new IllegalArgumentException("no zone '" + spec.substring(5) + "'");
            }
            for (int i = 0; i < count; i++) {
                if (zoneOf.applyAsInt(i) == zone) {
                    into.add(i);
                }
            }
        } else if (spec.startsWith("any=")) {
            int wanted = number(spec.substring(4), count + 1);
            List<Integer> left = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                left.add(i);
            }
            for (int i = 0; i < wanted; i++) {
                Collections.swap(left, i, i + random.nextInt(count - i));
                into.add(left.get(i));
            }
        } else {
            for (String range : spec.split("\\+", -1)) {
                String[] ends = range.split("-", 2);
                int from = number(ends[0], count);
                int to = ends.length > 1 ? number(ends[1], count) : from;
                for (int i = from; i <= to; i++) {
                    into.add(i);
                }
            }
        }
    }

    private static int number(String text, int bound) {
        if (!text.matches("\\d{1,5}") || Integer.parseInt(text) >= bound) {
            throw new IllegalArgumentException(
                    "not a number from 0 to " + (bound - 1) + ": '" + text + "'");
        }
        return Integer.parseInt(text);
    }
}
