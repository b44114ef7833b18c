package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import loadbalancer.testbed.process.LaunchCommand;
import loadbalancer.testbed.scenario.InvalidScenarioException;
import loadbalancer.testbed.statistics.RunResult;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The proving ground's command line. */
@Command(
        name = "testbed",
        mixinStandardHelpOptions = true,
        version = "0.1.0",
        description = "Plays fleets of real balancers against stand-ins, with faults between them.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            RunCommand.class,
            SimulationCommand.class,
            CompareCommand.class,
            SweepCommand.class,
            ReportCommand.class,
            PaperCommand.class,
            MembershipCommand.class,
            LeaseCommand.class,
            CapacityCommand.class,
            SlowStartCommand.class,
            FootprintCommand.class,
            DocFiguresCommand.class
        })
public final class TestbedCommand {
    /** What a command ends with: all was kept. */
    static final int EXIT_OK = 0;

    /** A rule was broken. */
    static final int EXIT_VIOLATION = 1;

    /** Wrong arguments, or a file that can't be used. */
    static final int EXIT_USAGE = 2;

    /** The machine was too busy for the result to be trusted. */
    static final int EXIT_UNTRUSTED = 3;

    private TestbedCommand() {}

    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    static int run(String... arguments) {
        return new CommandLine(new TestbedCommand())
                .setExecutionExceptionHandler(
                        (failure, commandLine, parseResult) -> {
                            if (!(failure instanceof InvalidScenarioException)
                                    && !(failure instanceof IOException)) {
                                throw failure;
                            }
                            commandLine.getErr().println("testbed: " + failure.getMessage());
                            return EXIT_USAGE;
                        })
                .execute(arguments);
    }

    /** The command as it was called, for whoever wants to call it again. */
    static String commandLine(CommandLine.Model.CommandSpec commandSpec) {
        return "testbed "
                + String.join(
                        " ", commandSpec.root().commandLine().getParseResult().originalArgs());
    }

    /** How the balancers of that jar are started; null: the jar that the build leaves. */
    static LaunchCommand balancerLaunch(Path jar) throws IOException {
        Path deployFile = LaunchCommand.findDeployFile();
        Path projectRoot = deployFile.getParent().getParent();
        return LaunchCommand.fromDeployFile(
                deployFile,
                jar != null ? jar : projectRoot.resolve("balancer/target/load-balancer.jar"));
    }

    /** The requested directory, or a new one below {@code logs/} named after the time; created. */
    static Path createOutputDirectory(Path requested, String prefix) throws IOException {
        Path directory =
                requested != null
                        ? requested
                        : Path.of(
                                "logs",
                                prefix
                                        + "-"
                                        + DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmssSSS")
                                                .format(LocalDateTime.now(ZoneId.systemDefault())));
        return Files.createDirectories(directory).toAbsolutePath();
    }

    static int exitCode(RunResult result) {
        return result.violationCount() > 0
                ? EXIT_VIOLATION
                : result.trusted() ? EXIT_OK : EXIT_UNTRUSTED;
    }

    static void printResult(RunResult result) {
        result.latencies()
                .forEach(
                        (name, latency) ->
                                System.out.printf(
                                        Locale.ROOT,
                                        "%-20s %7d served, median %.1f ms, 99th "
                                                + "percentile %.1f ms, most %.1f ms%n",
                                        name,
                                        latency.count(),
                                        latency.p50Ms(),
                                        latency.p99Ms(),
                                        latency.maxMs()));
        result.faults()
                .forEach(
                        fault ->
                                System.out.printf(
                                        Locale.ROOT,
                                        "%-40s at %.1f s: %s, %d unserved in 10 s%n",
                                        fault.description(),
                                        fault.startSeconds(),
                                        fault.recoverySeconds() < 0
                                                ? "not back"
                                                : String.format(
                                                        Locale.ROOT,
                                                        "back after %.1f s",
                                                        fault.recoverySeconds()),
                                        fault.unservedCount()));
        result.metrics()
                .forEach(
                        (name, value) ->
                                System.out.printf(Locale.ROOT, "%-24s %.4f%n", name, value));
        result.violations().stream().limit(5).forEach(System.out::println);
        System.out.println(
                result.violationCount() == 0
                        ? "every rule was kept"
                        : result.violationCount() + " rules broken");
        if (!result.trusted()) {
            System.out.println("this run counts for nothing: " + result.untrustedReason());
        }
    }
}
