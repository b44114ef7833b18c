package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import loadbalancer.testbed.process.LaunchCommand;
import loadbalancer.testbed.process.ScenarioRunner;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.statistics.BootstrapInterval;
import loadbalancer.testbed.statistics.RunResult;
import loadbalancer.testbed.workload.WorkloadPlan;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays two builds in turns on the same seeds and says which figures differ beyond chance. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description =
                "Plays two builds in turns on the same seeds: by figure the mean of B less A, with a "
                        + "95%% interval "
                        + "by bootstrap. Exit: 0, 1 a rule was broken, 2 wrong use, 3 a "
                        + "run could not be trusted.")
final class CompareCommand implements Callable<Integer> {
    private static final int MIN_SEEDS = 10;

    @Parameters(index = "0", paramLabel = "A", description = "A balancer's jar.")
    private Path baselineJar;

    @Parameters(index = "1", paramLabel = "B", description = "Another, or the same.")
    private Path candidateJar;

    @Parameters(index = "2", paramLabel = "SCENARIO", description = "A scenario file (TOML).")
    private Path scenarioFile;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "20",
            description = "How many seeds (default: ${DEFAULT-VALUE}).")
    private int seedCount;

    @Option(
            names = "--first",
            paramLabel = "N",
            defaultValue = "1",
            description = "The first of them (default: ${DEFAULT-VALUE}).")
    private long firstSeed;

    @Option(
            names = "--again",
            description = "Plays nothing: weighs the results that --out holds already.")
    private boolean reuseResults;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Where logs and results go (default: a new folder below logs/).")
    private Path outputDirectory;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Scenario scenario = ScenarioReader.read(scenarioFile, false);
        List<LaunchCommand> launches =
                List.of(
                        TestbedCommand.balancerLaunch(baselineJar),
                        TestbedCommand.balancerLaunch(candidateJar));
        Path directory = TestbedCommand.createOutputDirectory(outputDirectory, "compare");
        SortedMap<String, List<Double>> differences = new TreeMap<>();
        SortedMap<String, List<Double>> baselines = new TreeMap<>();
        int exitCode = TestbedCommand.EXIT_OK;
        for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
            // In turns, and which goes first changes with the seed: neither always finds the
            // machine warm.
            int firstBuild = (int) Math.floorMod(seed, 2L);
            RunResult[] pair = new RunResult[2];
            for (int i : new int[] {firstBuild, 1 - firstBuild}) {
                Path runDirectory = directory.resolve(seed + (i == 0 ? "a" : "b"));
                pair[i] =
                        reuseResults
                                ? RunResult.read(runDirectory)
                                : new ScenarioRunner(
                                                WorkloadPlan.generate(scenario, seed),
                                                launches.get(i),
                                                TestbedCommand.createOutputDirectory(
                                                        runDirectory, ""),
                                                line -> {})
                                        .run();
                exitCode = Math.max(exitCode, TestbedCommand.exitCode(pair[i]));
            }
            boolean bothTrusted = pair[0].trusted() && pair[1].trusted();
            System.out.printf(
                    Locale.ROOT,
                    "seed %d: service %.4f and %.4f, rules broken %d and %d%s%n",
                    seed,
                    pair[0].metrics().get("service"),
                    pair[1].metrics().get("service"),
                    pair[0].violationCount(),
                    pair[1].violationCount(),
                    bothTrusted ? "" : "; the testbed was too busy, left out");
            if (bothTrusted) {
                pair[0].metrics()
                        .forEach(
                                (metric, value) -> {
                                    differences
                                            .computeIfAbsent(metric, k -> new ArrayList<>())
                                            .add(pair[1].metrics().get(metric) - value);
                                    baselines
                                            .computeIfAbsent(metric, k -> new ArrayList<>())
                                            .add(value);
                                });
            }
        }
        printDifferences(differences, baselines);
        System.out.println("results in " + directory);
        return exitCode;
    }

    static void printDifferences(
            SortedMap<String, List<Double>> differences,
            SortedMap<String, List<Double>> baselines) {
        if (differences.isEmpty()) {
            System.out.println("no pair of runs could be trusted");
            return;
        }
        if (differences.get(differences.firstKey()).size() < MIN_SEEDS) {
            // Resampling can't leave the range of what was seen, and so few rarely see all of it.
            System.out.println("fewer than " + MIN_SEEDS + " seeds: 'differs' says little here");
        }
        differences.forEach(
                (metric, metricDifferences) -> {
                    BootstrapInterval interval =
                            BootstrapInterval.of(metricDifferences, differences.size());
                    System.out.printf(
                            Locale.ROOT,
                            "%-24s %10.4f, B less A %+10.4f [%+.4f, %+.4f], %d seeds: %s%n",
                            metric,
                            baselines.get(metric).stream()
                                    .mapToDouble(value -> value)
                                    .average()
                                    .orElse(0),
                            interval.mean(),
                            interval.lowerBound(),
                            interval.upperBound(),
                            metricDifferences.size(),
                            interval.isSignificant() ? "differs" : "no difference");
                });
    }
}
