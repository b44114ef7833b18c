package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Tests that invalid input is reported as one line, and that the help lists the exit codes. */
class TestbedCommandTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "capacity --balancers x",
                "capacity --parts duties",
                "capacity --real 1",
                "figures nowhere.md",
                "report nowhere",
                "run nowhere.toml",
                "sweep nowhere.toml --field load.rate --values 1",
                "compare nowhere.jar nowhere.jar scenarios/zone-left.toml"
            })
    void invalidInputIsReportedInOneLine(String arguments) {
        StringWriter errors = new StringWriter();
        int exitCode =
                TestbedCommand.commandLine()
                        .setErr(new PrintWriter(errors, true))
                        .execute(arguments.split(" "));
        assertEquals(ExitCodes.USAGE, exitCode);
        assertTrue(errors.toString().startsWith("testbed: "), errors.toString());
        assertEquals(1, errors.toString().lines().count(), errors.toString());
    }

    @Test
    void helpOfEachCommandListsExitCodes() {
        CommandLine testbed = TestbedCommand.commandLine();
        assertEquals(12, testbed.getSubcommands().size());
        testbed.getSubcommands()
                .forEach(
                        (name, command) ->
                                assertTrue(
                                        command.getUsageMessage().contains("Exit codes:"), name));
    }
}
