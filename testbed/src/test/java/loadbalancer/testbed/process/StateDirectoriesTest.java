package loadbalancer.testbed.process;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
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

class StateDirectoriesTest {
    @TempDir private Path root;
    private StateDirectories stateDirectories;
    private Path stateDirectory;

    @BeforeEach
    void writeTwoFiles() throws IOException {
        stateDirectories = new StateDirectories(root);
        stateDirectory = stateDirectories.directoryOf(3);
        Files.writeString(stateDirectory.resolve("old"), "abcd");
        Files.setLastModifiedTime(stateDirectory.resolve("old"), FileTime.fromMillis(1_000));
        Files.writeString(stateDirectory.resolve("new"), "efgh");
        Files.setLastModifiedTime(stateDirectory.resolve("new"), FileTime.fromMillis(2_000));
    }

    private List<String> fileNames() throws IOException {
        try (Stream<Path> files = Files.list(stateDirectory)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
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
    void onlyNewestFileIsDamaged(String damage, int offset, String expectedContent)
            throws IOException {
        stateDirectories.applyStateChange(3, damage, offset);
        assertEquals(expectedContent, Files.readString(stateDirectory.resolve("new")));
        assertEquals("abcd", Files.readString(stateDirectory.resolve("old")));
    }

    @Test
    void emptiedDirectoryStaysAndIsEmpty() throws IOException {
        stateDirectories.applyStateChange(3, "emptied", 0);
        assertEquals(List.of(), fileNames());
    }

    @Test
    void olderCopyIsRestored() throws IOException {
        stateDirectories.backUp(3);
        Files.writeString(stateDirectory.resolve("new"), "changed");
        Files.writeString(stateDirectory.resolve("newer"), "x");
        stateDirectories.applyStateChange(3, "older", 0);
        assertEquals(List.of("new", "old"), fileNames());
        assertArrayEquals(
                "efgh".getBytes(StandardCharsets.UTF_8),
                Files.readAllBytes(stateDirectory.resolve("new")));
    }
}
