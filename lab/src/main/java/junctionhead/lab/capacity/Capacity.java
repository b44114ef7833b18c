package junctionhead.lab.capacity;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** Plays all trials of a plan, one after another. */
final class Capacity {
    private static final List<String> WORST =
            List.of("most", "worst", "last", "unknownPairs", "overtakenPairs");
    private static final int SMALL = 3;
    // µs
    private static final long SHORT = 4_000_000;
    // Of heap for an upstream of a balancer, about
    private static final long ENTRY_BYTES = 1_300;

    private final Plan plan;
    private final Drives drives;
    private final Consumer<String> progress;

    /** Makes the fleet of one trial. */
    interface Drives {
        Drive of(Site site, long seed) throws IOException;
    }

    Capacity(Plan plan, Drives drives, Consumer<String> progress) {
        this.plan = plan;
        this.drives = drives;
        this.progress = progress;
    }

    /** Figures by name. */
    Map<String, Double> play() throws IOException {
        loadClasses();
        Map<String, Double> figures = new TreeMap<>();
        for (int n : plan.balancers()) {
            for (int u : plan.upstreams()) {
                fits(n, u);
                for (Condition c : plan.conditions()) {
                    String name = "n" + n + ".u" + u + "." + c.key();
                    List<Map<String, Double>> seeds = new java.util.ArrayList<>();
                    for (long seed : plan.seeds()) {
                        seeds.add(
                                one(
                                        new Site(
                                                n,
                                                u,
                                                plan.zones(),
                                                plan.classes(),
                                                plan.rate(),
                                                plan.parts()),
                                        c,
                                        seed));
                    }
                    Map<String, Double> together = together(seeds);
                    together.forEach((figure, value) -> figures.put(name + "." + figure, value));
                    progress.accept(name + ": " + line(together));
                }
            }
        }
        slopes(figures);
        return figures;
    }

    // What the program itself keeps must not count as the first fleet's: with 3 balancers that was
    // a third.
    private void loadClasses() throws IOException {
        Site site = new Site(SMALL, 1, 1, plan.classes(), plan.rate(), plan.parts());
        try (Drive drive = new SimulatedDrive(site, 1)) {
            Trial trial = new Trial(site, drive, SHORT);
            trial.start(SHORT, 1);
            trial.measure(Condition.QUIET);
        }
    }

    private void fits(int balancers, int upstreams) throws IOException {
        long wanted = plan.parts().contains(Part.MODULE) ? ENTRY_BYTES * balancers * upstreams : 0;
        if (wanted > Runtime.getRuntime().maxMemory()) {
            throw new IOException(
                    balancers
                            + " balancers with "
                            + upstreams
                            + " upstreams want some "
                            + (wanted >> 20)
                            + " MB of heap: give more with java -Xmx, or ask for fewer");
        }
    }

    private Map<String, Double> one(Site site, Condition condition, long seed) throws IOException {
        long before = Heap.live();
        try (Drive drive = drives.of(site, seed)) {
            Trial trial = new Trial(site, drive, plan.length());
            trial.start(plan.warmUp(), seed);
            Map<String, Double> figures = trial.measure(condition);
            figures.put(
                    "heap.bytesPerBalancer", (double) (Heap.live() - before) / site.balancers());
            return figures;
        }
    }

    private static Map<String, Double> together(List<Map<String, Double>> seeds) {
        return seeds.stream()
                .flatMap(m -> m.entrySet().stream())
                .collect(
                        Collectors.groupingBy(
                                Map.Entry::getKey,
                                TreeMap::new,
                                Collectors.collectingAndThen(
                                        Collectors.toList(),
                                        same -> {
                                            String name = same.get(0).getKey();
                                            var values =
                                                    same.stream().mapToDouble(Map.Entry::getValue);
                                            return (WORST.contains(
                                                                    name.substring(
                                                                            name.lastIndexOf('.')
                                                                                    + 1))
                                                            ? values.max()
                                                            : values.average())
                                                    .orElseThrow();
                                        })));
    }

    // Of live heap, what one more upstream takes in a balancer, and one more balancer in each of
    // the others.
    private void slopes(Map<String, Double> figures) {
        for (Condition c : plan.conditions()) {
            List<Integer> us = plan.upstreams().stream().sorted().toList();
            List<Integer> ns = plan.balancers().stream().sorted().toList();
            int few = us.get(0);
            int many = us.get(us.size() - 1);
            for (int n : ns) {
                if (few < many) {
                    figures.put(
                            "n" + n + "." + c.key() + ".heap.bytesPerUpstream",
                            (heap(figures, n, many, c) - heap(figures, n, few, c)) / (many - few));
                }
            }
            int small = ns.get(0);
            int large = ns.get(ns.size() - 1);
            for (int u : us) {
                if (small < large) {
                    figures.put(
                            "u" + u + "." + c.key() + ".heap.bytesPerPeer",
                            (heap(figures, large, u, c) - heap(figures, small, u, c))
                                    / (large - small));
                }
            }
        }
    }

    private static double heap(Map<String, Double> figures, int n, int u, Condition c) {
        return figures.get("n" + n + ".u" + u + "." + c.key() + ".heap.bytesPerBalancer");
    }

    private static String line(Map<String, Double> f) {
        return String.format(
                java.util.Locale.ROOT,
                "sent %.1f datagrams/s, %.0f bytes/s; received %.1f, "
                        + "%.0f; %.5f of a core; %.2f MB live",
                f.get("sent.datagramsPerSecond.mean"),
                f.get("sent.bytesPerSecond.mean"),
                f.get("received.datagramsPerSecond.mean"),
                f.get("received.bytesPerSecond.mean"),
                f.get("cpu.shareOfCore.total"),
                f.get("heap.bytesPerBalancer") / 1e6);
    }
}
