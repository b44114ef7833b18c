package loadbalancer.testbed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Tests that options of the command line are parsed and checked, and that reports are written. */
class CapacityPlanTest {
    @Command
    private static final class TestCommand {
        @CommandLine.Mixin private CapacityOptions options;
    }

    private static CapacityPlan parsePlan(String... arguments) throws IOException {
        TestCommand command = new TestCommand();
        new CommandLine(command).parseArgs(arguments);
        return CapacityPlan.of(command.options);
    }

    @Test
    void commaSeparatedListsAreParsed() throws IOException {
        CapacityPlan plan =
                parsePlan(
                        "--balancers",
                        "100,200",
                        "--upstreams",
                        "500,2000",
                        "--condition",
                        "quiet,loss10",
                        "--seconds",
                        "0.5",
                        "--seed",
                        "3,4");
        assertEquals(List.of(100, 200), plan.balancers());
        assertEquals(List.of(500, 2000), plan.upstreams());
        assertEquals(List.of(FleetCondition.QUIET, FleetCondition.LOSS10), plan.conditions());
        assertEquals(500_000, plan.lengthMicros());
        assertEquals(List.of(3L, 4L), plan.seeds());
    }

    @Test
    void invalidOptionIsReportedInOneLine() {
        assertRejected("--balancers", "100,", "--balancers");
        assertRejected("--balancers", "1", "--balancers");
        assertRejected("--balancers", "4001", "--balancers");
        assertRejected("--upstreams", "many", "--upstreams");
        assertRejected("--condition", "quiet,storm", "storm");
        assertRejected("--seconds", "0", "--seconds");
        assertRejected("--seconds", "NaN", "--seconds");
        assertRejected("--parts", "duties", "--parts");
        assertRejected("--real", "1", "--real");
        assertRejected("--seed", "-1", "--seed");
    }

    private static void assertRejected(String option, String value, String expectedName) {
        String message =
                assertThrows(InvalidOptionException.class, () -> parsePlan(option, value))
                        .getMessage();
        assertTrue(message.contains(expectedName) && message.lines().count() == 1, message);
    }

    @Test
    void reportHoldsMetricsByName(@TempDir Path directory) throws IOException {
        Path file = directory.resolve("new/words.json");
        new CapacityReport(
                        "java -jar lab.jar capacity",
                        List.of(1L, 2L),
                        Map.of("n2.quiet.a", 394.123456, "n1.quiet.a", 1.0))
                .write(file);
        JsonNode json = new ObjectMapper().readTree(Files.readString(file));
        assertEquals("java -jar lab.jar capacity", json.get("command").asText());
        assertEquals(2, json.get("seeds").get(1).asInt());
        assertEquals(394.12, json.get("figures").get("n2.quiet.a").asDouble());
        assertEquals("n1.quiet.a", json.get("figures").fieldNames().next());
    }
}
