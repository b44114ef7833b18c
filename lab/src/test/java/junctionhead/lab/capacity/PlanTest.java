package junctionhead.lab.capacity;

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

/** What the command line may say, and the file that it leaves. */
class PlanTest {
    @Command
    private static final class Line {
        @CommandLine.Mixin private CapacityOptions options;
    }

    private static Plan plan(String... words) throws IOException {
        Line line = new Line();
        new CommandLine(line).parseArgs(words);
        return Plan.of(line.options);
    }

    @Test
    void listsAreRead() throws IOException {
        Plan plan =
                plan(
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
        assertEquals(List.of(Condition.QUIET, Condition.LOSS10), plan.conditions());
        assertEquals(500_000, plan.length());
        assertEquals(List.of(3L, 4L), plan.seeds());
    }

    @Test
    void whatIsWrongIsToldInOneLineThatNamesIt() {
        wrong("--balancers", "100,", "--balancers");
        wrong("--balancers", "1", "--balancers");
        wrong("--balancers", "4001", "--balancers");
        wrong("--upstreams", "many", "--upstreams");
        wrong("--condition", "quiet,storm", "storm");
        wrong("--seconds", "0", "--seconds");
        wrong("--seconds", "NaN", "--seconds");
        wrong("--parts", "duties", "--parts");
        wrong("--real", "1", "--real");
        wrong("--seed", "-1", "--seed");
    }

    private static void wrong(String option, String value, String named) {
        String told = assertThrows(IOException.class, () -> plan(option, value)).getMessage();
        assertTrue(told.contains(named) && told.lines().count() == 1, told);
    }

    @Test
    void figuresAreFlatNumbersByName(@TempDir Path dir) throws IOException {
        Path file = dir.resolve("new/words.json");
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
