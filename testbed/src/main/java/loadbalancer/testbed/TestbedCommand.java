package loadbalancer.testbed;

import java.io.IOException;
import loadbalancer.testbed.error.InvalidInputException;
import loadbalancer.testbed.scenario.InvalidScenarioException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParseResult;

/**
 * Parses the command line of the testbed and runs one command on the main thread. An {@link
 * IOException}, {@link InvalidInputException} or {@link InvalidScenarioException} of a command is
 * printed as one line, and the exit code is {@link ExitCodes#USAGE}. Any other exception is a bug,
 * and is printed with its stack trace.
 */
@Command(
        name = TestbedCommand.NAME,
        mixinStandardHelpOptions = true,
        version = "0.1.0",
        description =
                "Runs fleets of real or simulated balancers with emulated clients and upstreams,"
                        + " and injects faults.",
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
    static final String NAME = "testbed";

    private TestbedCommand() {}

    /** Runs one command and exits with its {@linkplain ExitCodes code}. */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    /** Runs one command and returns its exit code. */
    static int run(String... arguments) {
        return commandLine().execute(arguments);
    }

    /** Returns a command line with all commands. */
    static CommandLine commandLine() {
        return new CommandLine(new TestbedCommand())
                .setExecutionExceptionHandler(TestbedCommand::handleException);
    }

    private static int handleException(
            Exception exception, CommandLine commandLine, ParseResult parseResult)
            throws Exception {
        if (!(exception instanceof InvalidScenarioException)
                && !(exception instanceof InvalidInputException)
                && !(exception instanceof IOException)) {
            throw exception;
        }
        commandLine.getErr().println(NAME + ": " + exception.getMessage());
        return ExitCodes.USAGE;
    }
}
