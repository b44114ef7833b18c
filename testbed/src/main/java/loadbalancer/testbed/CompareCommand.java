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
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs two builds alternately on the same seeds, and prints which metrics differ significantly. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description =
                "Runs two builds alternately on the same seeds, and prints for each metric the mean"
                        + " of B minus A with a 95%% bootstrap interval.",
        exitCodeListHeading = ExitCodes.HEADING,
        exitCodeList = {
            ExitCodes.OK_INVARIANTS_HELP,
            ExitCodes.VIOLATION_HELP,
            ExitCodes.USAGE_HELP,
            ExitCodes.UNTRUSTED_HELP
        })
final class CompareCommand implements Callable<Integer> {
    private static final int MIN_SEEDS = 10;
    private static final int BUILD_COUNT = 2;
    private static final List<String> DIRECTORY_SUFFIXES = List.of("a", "b");

    @Parameters(index = "0", paramLabel = "A", description = "A balancer's jar.")
    private Path baselineJar;

    @Parameters(index = "1", paramLabel = "B", description = "Another balancer's jar, or the same.")
    private Path candidateJar;

    @Parameters(index = "2", paramLabel = "SCENARIO", description = "A scenario file (TOML).")
    private Path scenarioFile;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "20",
            description = "The number of seeds (default: ${DEFAULT-VALUE}).")
    private int seedCount;

    @Option(
            names = "--first",
            paramLabel = "N",
            defaultValue = "1",
            description = "The first seed (default: ${DEFAULT-VALUE}).")
    private long firstSeed;

    @Option(
            names = "--again",
            description =
                    "Runs nothing, and compares the results that the directory of --out contains.")
    private boolean reuseResults;

    @Mixin private OutputDirectoryOption outputDirectory;

    private final SortedMap<String, List<Double>> differences = new TreeMap<>();
    private final SortedMap<String, List<Double>> baselines = new TreeMap<>();

    /** The results of both builds with one seed. */
    private record ResultPair(RunResult baseline, RunResult candidate) {
        boolean trusted() {
            return baseline.trusted() && candidate.trusted();
        }

        int exitCode() {
            return Math.max(ExitCodes.of(baseline), ExitCodes.of(candidate));
        }
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        Scenario scenario = ScenarioReader.read(scenarioFile, false);
        List<LaunchCommand> launches =
                List.of(LaunchCommand.forJar(baselineJar), LaunchCommand.forJar(candidateJar));
        Path directory = outputDirectory.create("compare");
        int exitCode = ExitCodes.OK;
        for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
            ResultPair pair = runBoth(scenario, launches, seed, directory);
            exitCode = Math.max(exitCode, pair.exitCode());
            printPair(seed, pair);
            if (pair.trusted()) {
                addMetrics(pair);
            }
        }
        printDifferences(differences, baselines);
        System.out.println("results in " + directory);
        return exitCode;
    }

    private ResultPair runBoth(
            Scenario scenario, List<LaunchCommand> launches, long seed, Path directory)
            throws IOException, InterruptedException {
        RunResult[] results = new RunResult[BUILD_COUNT];
        // The build that runs first alternates, so that neither always runs on a warm machine.
        int firstBuild = (int) Math.floorMod(seed, (long) BUILD_COUNT);
        for (int build : new int[] {firstBuild, 1 - firstBuild}) {
            Path runDirectory = directory.resolve(seed + DIRECTORY_SUFFIXES.get(build));
            results[build] =
                    reuseResults
                            ? RunResult.read(runDirectory)
                            : new ScenarioRunner(
                                            WorkloadPlan.generate(scenario, seed),
                                            launches.get(build),
                                            OutputDirectoryOption.create(runDirectory),
                                            line -> {})
                                    .run();
        }
        return new ResultPair(results[0], results[1]);
    }

    private static void printPair(long seed, ResultPair pair) {
        System.out.printf(
                Locale.ROOT,
                "seed %d: service %.4f and %.4f, violations %d and %d%s%n",
                seed,
                pair.baseline.metrics().get("service"),
                pair.candidate.metrics().get("service"),
                pair.baseline.violationCount(),
                pair.candidate.violationCount(),
                pair.trusted() ? "" : "; excluded, since the testbed was too busy");
    }

    private void addMetrics(ResultPair pair) {
        pair.baseline
                .metrics()
                .forEach(
                        (metric, value) -> {
                            double difference = pair.candidate.metrics().get(metric) - value;
                            differences
                                    .computeIfAbsent(metric, k -> new ArrayList<>())
                                    .add(difference);
                            baselines.computeIfAbsent(metric, k -> new ArrayList<>()).add(value);
                        });
    }

    /** Prints the mean difference of each metric with its bootstrap interval. */
    static void printDifferences(
            SortedMap<String, List<Double>> differences,
            SortedMap<String, List<Double>> baselines) {
        if (differences.isEmpty()) {
            System.out.println("no pair of runs is trusted");
            return;
        }
        if (differences.get(differences.firstKey()).size() < MIN_SEEDS) {
            // Resampling stays within the range of the samples; few samples rarely cover the range.
            System.out.println("fewer than " + MIN_SEEDS + " seeds: 'differs' is not reliable");
        }
        differences.forEach(
                (metric, metricDifferences) -> {
                    BootstrapInterval interval =
                            BootstrapInterval.of(metricDifferences, differences.size());
                    System.out.printf(
                            Locale.ROOT,
                            "%-24s %10.4f, B minus A %+10.4f [%+.4f, %+.4f], %d seeds: %s%n",
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
