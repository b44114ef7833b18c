package loadbalancer.testbed.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Stored results are read by later versions, which pass over unknown keys: the keys stay. */
class RunResultKeysTest {
    @Test
    void storedKeysStayTheSame(@TempDir Path directory) throws Exception {
        RunResult result =
                new RunResult(
                        "scenario",
                        1,
                        "digest",
                        true,
                        "",
                        2.5,
                        3,
                        List.of("a breach"),
                        new TreeMap<>(Map.of("figure", 4.0)),
                        Map.of("class", new RunResult.LatencySummary(5, 6, 7, 8)),
                        List.of(new RunResult.TimeSlice(9, 10, 11, 12, 13, 14)),
                        List.of(new RunResult.FaultImpact("a fault", 15, 16, 17, 18)),
                        List.of(
                                new RunResult.BalancerUsage(
                                        19, "z", List.of(), 20, 21, 22, 23, 24, 25)));
        result.write(directory);

        JsonNode json = new ObjectMapper().readTree(directory.resolve("result.json").toFile());
        assertEquals(
                List.of(
                        "scenario",
                        "seed",
                        "plan",
                        "trusted",
                        "doubt",
                        "lengthS",
                        "broken",
                        "breaches",
                        "figures",
                        "latencies",
                        "slices",
                        "faults",
                        "balancers"),
                keys(json));
        assertEquals(List.of("count", "p50", "p99", "most"), keys(json.at("/latencies/class")));
        assertEquals(
                List.of("at", "asked", "served", "late", "refused", "failed"),
                keys(json.at("/slices/0")));
        assertEquals(
                List.of("what", "at", "until", "back", "unserved"), keys(json.at("/faults/0")));
        assertEquals(
                List.of(
                        "number",
                        "zone",
                        "lives",
                        "cpuS",
                        "memoryMb",
                        "descriptors",
                        "datagrams",
                        "datagramBytes",
                        "listCalls"),
                keys(json.at("/balancers/0")));
        // The values, too, come back as they were written.
        RunResult read = RunResult.read(directory);
        assertEquals(result.slices(), read.slices());
        assertEquals(result.faults(), read.faults());
        assertEquals(result.latencies(), read.latencies());
        assertEquals(2.5, read.lengthSeconds());
        assertEquals(3, read.violationCount());
    }

    private static List<String> keys(JsonNode object) {
        List<String> keys = new ArrayList<>();
        object.fieldNames().forEachRemaining(keys::add);
        return keys;
    }
}
