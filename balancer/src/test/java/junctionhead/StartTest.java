package junctionhead;

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

/** What the program's classes must not make a start pay for. */
class StartTest {
    @Test
    void noStringJoinIsLinkedWhileTheProgramRuns() throws IOException, URISyntaxException {
        // Each place that joins strings spun classes of its own when first met: a tenth of a second
        // of CPU.
        Path classes =
                Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        List<Path> all;
        try (Stream<Path> files = Files.walk(classes)) {
            all = files.filter(f -> f.toString().endsWith(".class")).toList();
        }
        assertTrue(all.size() > 50, "the program's classes: " + all.size());
        assertEquals(List.of(), all.stream().filter(StartTest::joins).toList());
    }

    private static boolean joins(Path file) {
        try {
            return new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1)
                    .contains("makeConcatWithConstants");
        } catch (IOException e) {
            throw new AssertionError(file + ": " + e, e);
        }
    }
}
