package loadbalancer.config;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@link FileChangeDetector}: which differences of a file count as a change. */
class FileChangeDetectorTest {
    @TempDir private Path directory;

    @Test
    void modifiedFileIsReportedOnce() throws IOException {
        Path file = Files.writeString(directory.resolve("config.json"), "a");
        FileChangeDetector detector = new FileChangeDetector(file);
        assertFalse(detector.hasChanged());
        Files.writeString(file, "ab");
        assertTrue(detector.hasChanged());
        assertFalse(detector.hasChanged());
    }

    @Test
    void missingFileIsNotAChange() throws IOException {
        Path file = Files.writeString(directory.resolve("config.json"), "a");
        FileChangeDetector detector = new FileChangeDetector(file);
        Path moved = Files.move(file, directory.resolve("moved"));
        assertFalse(detector.hasChanged());
        Files.move(moved, file);
        assertFalse(detector.hasChanged());
    }

    @Test
    void fileCreatedLaterIsAChange() throws IOException {
        Path file = directory.resolve("config.json");
        FileChangeDetector detector = new FileChangeDetector(file);
        assertFalse(detector.hasChanged());
        Files.writeString(file, "a");
        assertTrue(detector.hasChanged());
    }
}
