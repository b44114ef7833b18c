package junctionhead.lab.capacity;

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

/** A whole call: each size and condition has its figures, and the file says how it came about. */
class CapacityRunTest {
    @Command
    private static final class Line {
        @CommandLine.Mixin private CapacityOptions options;
    }

    @Test
    void eachSizeHasItsFigures(@TempDir Path dir) throws IOException {
        String[] words = {
            "--balancers", "2,4", "--upstreams", "1,200", "--seconds", "1", "--warmup", "1"
        };
        Line line = new Line();
        new CommandLine(line).parseArgs(words);
        Path file = dir.resolve("words.json");
        List<String> told = new ArrayList<>();
        assertTrue(CapacityRun.play(line.options, List.of(words), file, told::add));
        assertEquals(4, told.size(), told::toString);
        JsonNode json = new ObjectMapper().readTree(Files.readString(file));
        assertTrue(
                json.get("command").asText().endsWith(".jar capacity " + String.join(" ", words)),
                json.get("command").asText());
        JsonNode figures = json.get("figures");
        figures.forEach(f -> assertTrue(f.isNumber(), f::toString));
        for (String size : new String[] {"n2.u1", "n2.u200", "n4.u1", "n4.u200"}) {
            assertTrue(figures.get(size + ".quiet.sent.bytesPerSecond.mean").asDouble() > 0, size);
        }
        // Two servers' books at least; the heap of so small a fleet is no more exact than that.
        assertTrue(
                figures.get("n4.quiet.heap.bytesPerUpstream").asDouble() > 200, figures::toString);
        assertTrue(figures.has("u1.quiet.heap.bytesPerPeer"));
    }
}
