package loadbalancer.testbed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Tests that a call of the command measures each case and reports its command line. */
class CapacityRunTest {
    @Command
    private static final class TestCommand {
        @CommandLine.Mixin private CapacityOptions options;
    }

    @Test
    void eachSizeAndConditionIsMeasured(@TempDir Path directory) throws IOException {
        String[] arguments = {
            "--balancers", "2,4", "--upstreams", "1,200", "--seconds", "1", "--warmup", "1"
        };
        TestCommand command = new TestCommand();
        new CommandLine(command).parseArgs(arguments);
        Path file = directory.resolve("words.json");
        List<String> messages = new ArrayList<>();
        assertTrue(CapacityRun.run(command.options, List.of(arguments), file, messages::add));
        assertEquals(4, messages.size(), messages::toString);
        JsonNode json = new ObjectMapper().readTree(Files.readString(file));
        assertTrue(
                json.get("command")
                        .asText()
                        .endsWith(".jar capacity " + String.join(" ", arguments)),
                json.get("command").asText());
        JsonNode metrics = json.get("figures");
        metrics.forEach(metric -> assertTrue(metric.isNumber(), metric::toString));
        for (String prefix : new String[] {"n2.u1", "n2.u200", "n4.u1", "n4.u200"}) {
            assertTrue(
                    metrics.get(prefix + ".quiet.sent.bytesPerSecond.mean").asDouble() > 0, prefix);
        }
        // The bound is the state of at least two upstreams. The heap of such a small fleet is not
        // measured more exactly.
        assertTrue(
                metrics.get("n4.quiet.heap.bytesPerUpstream").asDouble() > 200, metrics::toString);
        assertTrue(metrics.has("u1.quiet.heap.bytesPerPeer"));
    }
}
