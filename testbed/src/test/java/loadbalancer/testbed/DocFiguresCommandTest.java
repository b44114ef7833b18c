package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.testbed.docfigures.MeasurementFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that commands write measurement files, and that {@code figures} checks pages with them. */
class DocFiguresCommandTest {
    @TempDir private Path directory;

    @Test
    void membershipCommandWritesItsFigures() throws IOException {
        Path jsonFile = directory.resolve("capacity/members.json");
        assertEquals(
                ExitCodes.OK,
                TestbedCommand.run(
                        "members",
                        "--members",
                        "5,10",
                        "--loss",
                        "0.1",
                        "--seed",
                        "1,2",
                        "--seconds",
                        "1",
                        "--kills",
                        "1",
                        "--json",
                        jsonFile.toString()));
        MeasurementFile measured = MeasurementFile.read(jsonFile);
        assertTrue(
                measured.command().startsWith("testbed members --members 5,10"),
                measured.command());
        assertEquals(List.of(1L, 2L), measured.seeds());
        for (String key :
                List.of(
                        "n5.loss10.bytes",
                        "n10.loss10.bytes.most",
                        "n10.loss10.known_s.p99",
                        "n5.loss10.healed_s",
                        "n5.loss10.cpu_us")) {
            assertTrue(measured.metrics().getOrDefault(key, -1.0) > 0, key);
        }
        assertEquals(0, measured.metrics().get("n10.loss10.wronged"));
    }

    @Test
    void leaseCommandWritesItsFigures() throws IOException {
        Path jsonFile = directory.resolve("capacity/duties.json");
        assertEquals(
                ExitCodes.OK,
                TestbedCommand.run(
                        "duties", "--members", "5", "--ends", "1", "--json", jsonFile.toString()));
        MeasurementFile measured = MeasurementFile.read(jsonFile);
        assertEquals(32, measured.metrics().get("n5.loss0.held"));
        assertEquals(0, measured.metrics().get("n5.loss0.twice"));
        assertTrue(measured.metrics().get("n5.loss0.killed_s.p99") > 1);
    }

    @Test
    void figuresCommandChecksPageAgainstFiles() throws IOException {
        new MeasurementFile("lab members", List.of(1L), new TreeMap<>(Map.of("bytes", 394.2)))
                .write(directory.resolve("m.json"));
        Path page = directory.resolve("page.md");
        Files.writeString(page, "[394 m][b]\n\n[b]: m.json \"bytes\"\n");
        assertEquals(ExitCodes.OK, TestbedCommand.run("figures", page.toString()));
        Files.writeString(page, "[391 m][b]\n\n[b]: m.json \"bytes\"\n");
        assertEquals(ExitCodes.VIOLATION, TestbedCommand.run("figures", page.toString()));
        assertEquals(
                ExitCodes.USAGE,
                TestbedCommand.run("figures", directory.resolve("nowhere.md").toString()));
        assertEquals(ExitCodes.USAGE, TestbedCommand.run("cost", "servers=many"));
    }
}
