package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against avoidable costs of a start that the program's classes would add. */
class StartupCostTest {
    @Test
    void noClassUsesIndyStringConcatenation() throws IOException, URISyntaxException {
        // With indy string concatenation the JVM generates classes at the first use of each
        // concatenation: a tenth of a second of CPU time in all.
        Path classDirectory =
                Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        List<Path> classFiles;
        try (Stream<Path> files = Files.walk(classDirectory)) {
            classFiles = files.filter(file -> file.toString().endsWith(".class")).toList();
        }
        assertTrue(classFiles.size() > 50, "number of class files: " + classFiles.size());
        assertEquals(
                List.of(),
                classFiles.stream().filter(StartupCostTest::usesIndyStringConcatenation).toList());
    }

    private static boolean usesIndyStringConcatenation(Path file) {
        try {
            return new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1)
                    .contains("makeConcatWithConstants");
        } catch (IOException e) {
            throw new AssertionError(file + ": " + e, e);
        }
    }
}
