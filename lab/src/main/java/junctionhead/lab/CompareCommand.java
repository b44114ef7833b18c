package junctionhead.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import junctionhead.lab.fleet.Launch;
import junctionhead.lab.fleet.Run;
import junctionhead.lab.measure.Bootstrap;
import junctionhead.lab.measure.Result;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.scenario.Scenario;
import junctionhead.lab.scenario.ScenarioReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays two builds in turns on the same seeds and says which figures differ beyond chance. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description =
                "Plays two builds in turns on the same seeds: by figure the mean of B less A, with a "
                        + "95% interval "
                        + "by bootstrap. Exit: 0, 1 a rule was broken, 2 wrong use, 3 a run could not be trusted.")
final class CompareCommand implements Callable<Integer> {
    private static final int FEW = 10;

    @Parameters(index = "0", paramLabel = "A", description = "A balancer's jar.")
    private Path a;

    @Parameters(index = "1", paramLabel = "B", description = "Another, or the same.")
    private Path b;

    @Parameters(index = "2", paramLabel = "SCENARIO", description = "A scenario file (TOML).")
    private Path file;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "20",
            description = "How many seeds (default: ${DEFAULT-VALUE}).")
    private int seeds;

    @Option(
            names = "--first",
            paramLabel = "N",
            defaultValue = "1",
            description = "The first of them (default: ${DEFAULT-VALUE}).")
    private long first;

    @Option(
            names = "--again",
            description = "Plays nothing: weighs the results that --out holds already.")
    private boolean again;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Where logs and results go (default: a new folder below logs/).")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Scenario scenario = ScenarioReader.read(file, false);
        List<Launch> builds = List.of(Lab.launch(a), Lab.launch(b));
        Path folder = Lab.folder(out, "compare");
        SortedMap<String, List<Double>> differences = new TreeMap<>();
        SortedMap<String, List<Double>> before = new TreeMap<>();
        int worst = Lab.OK;
        for (long seed = first; seed < first + seeds; seed++) {
            // In turns, and which goes first changes with the seed: neither always finds the
            // machine warm.
            int odd = (int) Math.floorMod(seed, 2L);
            Result[] pair = new Result[2];
            for (int i : new int[] {odd, 1 - odd}) {
                Path run = folder.resolve(seed + (i == 0 ? "a" : "b"));
                pair[i] =
                        again
                                ? Result.read(run)
                                : new Run(
                                                Plan.of(scenario, seed),
                                                builds.get(i),
                                                Lab.folder(run, ""),
                                                line -> {})
                                        .play();
                worst = Math.max(worst, Lab.exit(pair[i]));
            }
            boolean counts = pair[0].trusted() && pair[1].trusted();
            System.out.printf(
                    Locale.ROOT,
                    "seed %d: service %.4f and %.4f, rules broken %d and %d%s%n",
                    seed,
                    pair[0].figures().get("service"),
                    pair[1].figures().get("service"),
                    pair[0].broken(),
                    pair[1].broken(),
                    counts ? "" : "; the lab was too busy, left out");
            if (counts) {
                pair[0].figures()
                        .forEach(
                                (name, value) -> {
                                    differences
                                            .computeIfAbsent(name, k -> new ArrayList<>())
                                            .add(pair[1].figures().get(name) - value);
                                    before.computeIfAbsent(name, k -> new ArrayList<>()).add(value);
                                });
            }
        }
        print(differences, before);
        System.out.println("results in " + folder);
        return worst;
    }

    static void print(
            SortedMap<String, List<Double>> differences, SortedMap<String, List<Double>> before) {
        if (differences.isEmpty()) {
            System.out.println("no pair of runs could be trusted");
            return;
        }
        if (differences.get(differences.firstKey()).size() < FEW) {
            // Resampling can't leave the range of what was seen, and so few rarely see all of it.
            System.out.println("fewer than " + FEW + " seeds: 'differs' says little here");
        }
        differences.forEach(
                (name, all) -> {
                    Bootstrap mean = Bootstrap.of(all, differences.size());
                    System.out.printf(
                            Locale.ROOT,
                            "%-24s %10.4f, B less A %+10.4f [%+.4f, %+.4f], %d seeds: %s%n",
                            name,
                            before.get(name).stream().mapToDouble(d -> d).average().orElse(0),
                            mean.mean(),
                            mean.low(),
                            mean.high(),
                            all.size(),
                            mean.differs() ? "differs" : "no difference");
                });
    }
}
