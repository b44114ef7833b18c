package loadbalancer.testbed;

import java.io.IOException;
import loadbalancer.testbed.error.InvalidInputException;
import loadbalancer.testbed.scenario.InvalidScenarioException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParseResult;

/**
 * The command line of the testbed. An {@link IOException}, {@link InvalidInputException} or {@link
 * InvalidScenarioException} of a command is printed as one line and ends the program with {@link
 * ExitCodes#USAGE}; any other exception is a bug and printed with its stack trace.
 */
@Command(
        name = TestbedCommand.NAME,
        mixinStandardHelpOptions = true,
        version = "0.1.0",
        description =
                "Plays fleets of real or simulated balancers against emulated clients and upstreams,"
                        + " with faults between them.",
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

    /** The command line with all commands. */
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
