package junctionhead.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import junctionhead.lab.figures.Measured;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command's exit code tells whether a page agrees with its files. */
class FiguresCommandTest {
    @TempDir
    private Path folder;

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
    }
}
