package junctionhead.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import junctionhead.lab.figures.Measured;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Commands leave files of figures, and one holds pages to them, by its exit code. */
class FiguresCommandTest {
    @TempDir private Path folder;

    @Test
    void membersLeaveTheirFigures() throws IOException {
        Path json = folder.resolve("capacity/members.json");
        assertEquals(
                Lab.OK,
                Lab.run(
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
                        json.toString()));
        Measured measured = Measured.read(json);
        assertTrue(measured.command().startsWith("lab members --members 5,10"), measured.command());
        assertEquals(List.of(1L, 2L), measured.seeds());
        for (String key :
                List.of(
                        "n5.loss10.bytes",
                        "n10.loss10.bytes.most",
                        "n10.loss10.known_s.p99",
                        "n5.loss10.healed_s",
                        "n5.loss10.cpu_us")) {
            assertTrue(measured.figures().getOrDefault(key, -1.0) > 0, key);
        }
        assertEquals(0, measured.figures().get("n10.loss10.wronged"));
    }

    @Test
    void dutiesLeaveTheirFigures() throws IOException {
        Path json = folder.resolve("capacity/duties.json");
        assertEquals(
                Lab.OK,
                Lab.run("duties", "--members", "5", "--ends", "1", "--json", json.toString()));
        Measured measured = Measured.read(json);
        assertEquals(32, measured.figures().get("n5.loss0.held"));
        assertEquals(0, measured.figures().get("n5.loss0.twice"));
        assertTrue(measured.figures().get("n5.loss0.killed_s.p99") > 1);
    }

    @Test
    void aPageIsHeldToItsFiles() throws IOException {
        new Measured("lab members", List.of(1L), new TreeMap<>(Map.of("bytes", 394.2)))
                .write(folder.resolve("m.json"));
        Path page = folder.resolve("page.md");
        Files.writeString(page, "[394 m][b]\n\n[b]: m.json \"bytes\"\n");
        assertEquals(Lab.OK, Lab.run("figures", page.toString()));
        Files.writeString(page, "[391 m][b]\n\n[b]: m.json \"bytes\"\n");
        assertEquals(Lab.BROKEN, Lab.run("figures", page.toString()));
        assertEquals(Lab.WRONG_USE, Lab.run("figures", folder.resolve("nowhere.md").toString()));
        assertEquals(Lab.WRONG_USE, Lab.run("cost", "servers=many"));
    }
}
