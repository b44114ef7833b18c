package junctionhead.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StateDirsTest {
    @TempDir private Path root;
    private StateDirs states;
    private Path dir;

    @BeforeEach
    void twoFiles() throws IOException {
        states = new StateDirs(root);
        dir = states.of(3);
        Files.writeString(dir.resolve("old"), "abcd");
        Files.setLastModifiedTime(dir.resolve("old"), FileTime.fromMillis(1_000));
        Files.writeString(dir.resolve("new"), "efgh");
        Files.setLastModifiedTime(dir.resolve("new"), FileTime.fromMillis(2_000));
    }

    private List<String> names() throws IOException {
        try (Stream<Path> files = Files.list(dir)) {
            return files.map(f -> f.getFileName().toString()).sorted().toList();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "cut, 0, ''",
        "cut, 2, ef",
        "cut, 4, efgh",
        "cut, 9, efgh",
        "flipped, 0, dfgh",
        "flipped, 3, efgi",
        "flipped, 4, efgh",
        "kept, 0, efgh"
    })
    void theNewestFileIsDamagedAtAByteAndNoOther(String state, int at, String left)
            throws IOException {
        states.change(3, state, at);
        assertEquals(left, Files.readString(dir.resolve("new")));
        assertEquals("abcd", Files.readString(dir.resolve("old")));
    }

    @Test
    void anEmptiedDirectoryIsThereAndEmpty() throws IOException {
        states.change(3, "emptied", 0);
        assertEquals(List.of(), names());
    }

    @Test
    void anOlderCopyIsWhatItWasWhenItWasRemembered() throws IOException {
        states.remember(3);
        Files.writeString(dir.resolve("new"), "changed");
        Files.writeString(dir.resolve("newer"), "x");
        states.change(3, "older", 0);
        assertEquals(List.of("new", "old"), names());
        assertArrayEquals("efgh".getBytes(), Files.readAllBytes(dir.resolve("new")));
    }
}
