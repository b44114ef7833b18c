package junctionhead.lab.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** One fleet under one condition: started, left to settle, played and measured. */
final class Trial {
    // µs between two looks at what modules know
    private static final long SLICE = 200_000;
    // µs in which balancers start, so as not in step
    private static final long START = 200_000;
    private static final List<Kind> TRAFFIC = List.of(Kind.WORD, Kind.MEMBERSHIP, Kind.DUTIES);

    private final Site site;
    private final Drive drive;
    private final long length;
    private final List<Double> errors = new ArrayList<>();
    private boolean measuring;

    /** {@code length} in µs. */
    Trial(Site site, Drive drive, long length) {
        this.site = site;
        this.drive = drive;
        this.length = length;
    }

    Site site() {
        return site;
    }

    Drive drive() {
        return drive;
    }

    /** µs that the condition lasts. */
    long length() {
        return length;
    }

    /**
     * Starts all balancers within a period of membership, and lets the rest of {@code warmUp} µs
     * pass.
     */
    void start(long warmUp, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long[] at =
                IntStream.range(0, site.balancers())
                        .mapToLong(b -> random.nextLong(START))
                        .sorted()
                        .toArray();
        List<Integer> order =
                new ArrayList<>(IntStream.range(0, site.balancers()).boxed().toList());
        java.util.Collections.shuffle(order, new java.util.Random(seed));
        long from = drive.now();
        for (int i = 0; i < at.length; i++) {
            play(from + at[i] - drive.now());
            drive.start(order.get(i));
        }
        play(Math.max(0, from + warmUp - drive.now()));
    }

    /** Lets time pass, and looks now and then at what modules know. */
    void play(long time) {
        long left = time;
        while (left > 0) {
            long slice = Math.min(left, SLICE);
            drive.play(slice);
            left -= slice;
            if (measuring && site.rate() > 0 && slice == SLICE) {
                look();
            }
        }
    }

    private void look() {
        double[] known = drive.othersRates();
        double all =
                IntStream.range(0, site.balancers())
                        .filter(drive::runs)
                        .mapToDouble(site::rate)
                        .sum();
        for (int b = 0; b < known.length; b++) {
            if (!Double.isNaN(known[b])) {
                double others = all - site.rate(b);
                errors.add(known[b] / others - 1);
            }
        }
    }

    /**
     * Plays the condition; figures by name, those of a second by simulated or real seconds.
     *
     * @throws IOException where a real balancer of the fleet has ended
     */
    Map<String, Double> measure(Condition condition) throws IOException {
        drive.clear();
        drive.listTimes().reset();
        measuring = true;
        long from = drive.now();
        condition.play(this);
        measuring = false;
        double seconds = (drive.now() - from) / 1e6;
        List<Ledger> ledgers = drive.ledgers();
        Map<String, Double> figures = new TreeMap<>();
        traffic(ledgers, seconds, figures);
        cpu(ledgers, seconds, figures);
        times("death", drive.notices().deathTimes(), figures);
        times("return", drive.notices().returnTimes(), figures);
        if (site.parts().contains(Part.MEMBERSHIP)) {
            figures.put("death.unknownPairs", (double) drive.notices().deathsUnknown());
            figures.put("death.overtakenPairs", (double) drive.notices().overtaken());
            figures.put("return.unknownPairs", (double) drive.notices().returnsUnknown());
        }
        times("listInForce", drive.listTimes(), figures);
        sums(ledgers, figures);
        figures.putAll(drive.others(seconds));
        return figures;
    }

    private static void traffic(List<Ledger> ledgers, double seconds, Map<String, Double> figures) {
        spread("sent.datagramsPerSecond", ledgers, seconds, l -> sum(l, l::sent), figures);
        spread("sent.bytesPerSecond", ledgers, seconds, l -> sum(l, l::sentBytes), figures);
        spread("received.datagramsPerSecond", ledgers, seconds, l -> sum(l, l::received), figures);
        spread("received.bytesPerSecond", ledgers, seconds, l -> sum(l, l::receivedBytes), figures);
        for (Kind k : TRAFFIC) {
            mean("sent.datagramsPerSecond." + k.key(), ledgers, seconds, l -> l.sent(k), figures);
            mean("sent.bytesPerSecond." + k.key(), ledgers, seconds, l -> l.sentBytes(k), figures);
            mean(
                    "received.datagramsPerSecond." + k.key(),
                    ledgers,
                    seconds,
                    l -> l.received(k),
                    figures);
            mean(
                    "received.bytesPerSecond." + k.key(),
                    ledgers,
                    seconds,
                    l -> l.receivedBytes(k),
                    figures);
        }
    }

    private static double sum(Ledger of, ToDoubleFunction<Kind> figure) {
        return TRAFFIC.stream().mapToDouble(figure).sum();
    }

    // The balancers' own code is timed by the wall; what the system took meanwhile is not its.
    private void cpu(List<Ledger> ledgers, double seconds, Map<String, Double> figures) {
        double had = drive.cpuPart();
        double all = 0;
        for (Kind k : Kind.values()) {
            double share =
                    ledgers.stream().mapToDouble(l -> l.nanos(k)).average().orElse(0)
                            * had
                            / 1e9
                            / seconds;
            figures.put("cpu.shareOfCore." + k.key(), share);
            all += share;
        }
        figures.put("cpu.shareOfCore.total", all);
        figures.put("cpu.shareOfCore.threads", drive.cpuNanos() / 1e9 / seconds / ledgers.size());
        double changes = ledgers.stream().mapToDouble(Ledger::listChanges).sum();
        if (changes > 0) {
            figures.put(
                    "cpu.listChangeMs.mean",
                    ledgers.stream().mapToDouble(l -> l.nanos(Kind.LIST)).sum()
                            * had
                            / 1e6
                            / changes);
            figures.put(
                    "cpu.listChangeMs.most",
                    ledgers.stream().mapToDouble(Ledger::listNanosMost).max().orElse(0) / 1e6);
        }
    }

    private static void times(String name, Histogram of, Map<String, Double> figures) {
        if (of.getTotalCount() > 0) {
            figures.put(name + ".seconds.p50", of.getValueAtPercentile(50) / 1e6);
            figures.put(name + ".seconds.p99", of.getValueAtPercentile(99) / 1e6);
            figures.put(name + ".seconds.last", of.getMaxValue() / 1e6);
            figures.put(name + ".knownPairs", (double) of.getTotalCount());
        }
    }

    private void sums(List<Ledger> ledgers, Map<String, Double> figures) {
        if (errors.isEmpty()) {
            return;
        }
        double[] sorted = errors.stream().mapToDouble(Math::abs).sorted().toArray();
        figures.put(
                "othersRate.relativeError.bias",
                errors.stream().mapToDouble(e -> e).average().orElse(0));
        figures.put("othersRate.relativeError.p50", at(sorted, 0.5));
        figures.put("othersRate.relativeError.p99", at(sorted, 0.99));
        figures.put("othersRate.relativeError.worst", sorted[sorted.length - 1]);
        double requests = ledgers.stream().mapToDouble(Ledger::requests).sum();
        figures.put(
                "requests.unservedShare",
                requests == 0
                        ? 0
                        : ledgers.stream().mapToDouble(Ledger::requestsUnserved).sum() / requests);
    }

    private static void mean(
            String name,
            List<Ledger> ledgers,
            double seconds,
            ToDoubleFunction<Ledger> figure,
            Map<String, Double> figures) {
        figures.put(name, ledgers.stream().mapToDouble(figure).average().orElse(0) / seconds);
    }

    private static void spread(
            String name,
            List<Ledger> ledgers,
            double seconds,
            ToDoubleFunction<Ledger> figure,
            Map<String, Double> figures) {
        double[] sorted =
                ledgers.stream().mapToDouble(figure).map(v -> v / seconds).sorted().toArray();
        figures.put(name + ".mean", java.util.Arrays.stream(sorted).average().orElse(0));
        figures.put(name + ".p99", at(sorted, 0.99));
        figures.put(name + ".most", sorted[sorted.length - 1]);
    }

    /** The least value that so large a part of all is not above. */
    static double at(double[] sorted, double part) {
        return sorted[Math.max(0, (int) Math.ceil(part * sorted.length) - 1)];
    }
}
