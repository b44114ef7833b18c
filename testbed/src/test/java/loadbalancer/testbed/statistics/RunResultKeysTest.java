package loadbalancer.testbed.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards the JSON keys of stored results. Later versions read them and ignore unknown keys, so a
 * renamed key would be lost without an error.
 */
class RunResultKeysTest {
    private static final RunResult RESULT =
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
                                    19,
                                    "z",
                                    List.of(
                                            new RunResult.Lifetime(0.25, 1.5),
                                            new RunResult.Lifetime(2, -1)),
                                    20,
                                    21,
                                    22,
                                    23,
                                    24,
                                    25)));

    @TempDir private Path directory;

    @BeforeEach
    void writeResult() throws IOException {
        RESULT.write(directory);
    }

    @Test
    void keysOfTheRunStayTheSame() throws IOException {
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
                keys(storedJson()));
    }

    @Test
    void keysOfNestedRecordsStayTheSame() throws IOException {
        JsonNode json = storedJson();
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
    }

    @Test
    void lifetimesAreStoredAsArraysOfTwoNumbers() throws IOException {
        String text = Files.readString(directory.resolve("result.json"));
        assertTrue(text.contains("    \"lives\" : [ [ 0.25, 1.5 ], [ 2.0, -1.0 ] ],\n"), text);
    }

    @Test
    void valuesAreReadAsTheyWereWritten() throws IOException {
        RunResult read = RunResult.read(directory);
        assertEquals(RESULT.slices(), read.slices());
        assertEquals(RESULT.faults(), read.faults());
        assertEquals(RESULT.latencies(), read.latencies());
        assertEquals(RESULT.balancers(), read.balancers());
        assertEquals(2.5, read.lengthSeconds());
        assertEquals(3, read.violationCount());
    }

    @Test
    void directoryWithoutResultIsNamed(@TempDir Path emptyDirectory) {
        ResultNotFoundException exception =
                assertThrows(ResultNotFoundException.class, () -> RunResult.read(emptyDirectory));
        assertTrue(
                exception.getMessage().startsWith(emptyDirectory + " contains no result.json"),
                exception.getMessage());
    }

    private JsonNode storedJson() throws IOException {
        return new ObjectMapper().readTree(directory.resolve("result.json").toFile());
    }

    private static List<String> keys(JsonNode object) {
        List<String> keys = new ArrayList<>();
        object.fieldNames().forEachRemaining(keys::add);
        return keys;
    }
}
