package junctionhead.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import junctionhead.lab.fleet.Launch;
import junctionhead.lab.measure.Result;
import junctionhead.lab.scenario.BadScenario;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The proving ground's command line. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        version = "0.1.0",
        description = "Plays fleets of real balancers against stand-ins, with faults between them.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            RunCommand.class,
            SimCommand.class,
            CompareCommand.class,
            SweepCommand.class,
            ReportCommand.class,
            PaperCommand.class,
            MembersCommand.class,
            DutiesCommand.class,
            CapacityCommand.class,
            ColdCommand.class,
            CostCommand.class,
            FiguresCommand.class
        })
public final class Lab {
    /** What a command ends with: all was kept. */
    static final int OK = 0;

    /** A rule was broken. */
    static final int BROKEN = 1;

    /** Wrong arguments, or a file that can't be used. */
    static final int WRONG_USE = 2;

    /** The lab was too busy to be trusted. */
    static final int UNTRUSTED = 3;

    private Lab() {}

    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    static int run(String... arguments) {
        return new CommandLine(new Lab())
                .setExecutionExceptionHandler(
                        (e, line, result) -> {
                            if (!(e instanceof BadScenario) && !(e instanceof IOException)) {
                                throw e;
                            }
                            line.getErr().println("lab: " + e.getMessage());
                            return WRONG_USE;
                        })
                .execute(arguments);
    }

    /** The command as it was called, for whoever wants to call it again. */
    static String line(CommandLine.Model.CommandSpec of) {
        return "lab " + String.join(" ", of.root().commandLine().getParseResult().originalArgs());
    }

    /** How the balancers of that jar are started; null: the jar that the build leaves. */
    static Launch launch(Path jar) throws IOException {
        Path deploy = Launch.deployFile();
        Path root = deploy.getParent().getParent();
        return Launch.of(
                deploy, jar != null ? jar : root.resolve("balancer/target/junctionhead.jar"));
    }

    /** The folder named, or a new one below {@code logs/}. */
    static Path folder(Path named, String what) throws IOException {
        Path folder =
                named != null
                        ? named
                        : Path.of(
                                "logs",
                                what
                                        + "-"
                                        + DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmssSSS")
                                                .format(LocalDateTime.now()));
        return Files.createDirectories(folder).toAbsolutePath();
    }

    static int exit(Result result) {
        return result.broken() > 0 ? BROKEN : result.trusted() ? OK : UNTRUSTED;
    }

    static void print(Result result) {
        result.latencies()
                .forEach(
                        (name, l) ->
                                System.out.printf(
                                        Locale.ROOT,
                                        "%-20s %7d served, median %.1f ms, 99th percentile %.1f ms, most %.1f ms%n",
                                        name,
                                        l.count(),
                                        l.p50(),
                                        l.p99(),
                                        l.most()));
        result.faults()
                .forEach(
                        f ->
                                System.out.printf(
                                        Locale.ROOT,
                                        "%-40s at %.1f s: %s, %d unserved in 10 s%n",
                                        f.what(),
                                        f.at(),
                                        f.back() < 0
                                                ? "not back"
                                                : String.format(
                                                        Locale.ROOT, "back after %.1f s", f.back()),
                                        f.unserved()));
        result.figures()
                .forEach(
                        (name, value) ->
                                System.out.printf(Locale.ROOT, "%-24s %.4f%n", name, value));
        result.breaches().stream().limit(5).forEach(System.out::println);
        System.out.println(
                result.broken() == 0 ? "every rule was kept" : result.broken() + " rules broken");
        if (!result.trusted()) {
            System.out.println("this run counts for nothing: " + result.doubt());
        }
    }
}
