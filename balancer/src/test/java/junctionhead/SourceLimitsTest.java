package junctionhead;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

class SourceLimitsTest {
    @Test
    void theModuleCanBeReviewedInAnHour() throws IOException {
        long lines =
                Files.readAllLines(Path.of("src/main/java/junctionhead/Balance.java")).stream()
                        .filter(line -> !line.isBlank())
                        .count();
        assertTrue(lines <= 700, "Balance.java holds " + lines + " non-blank lines, 700 at most");
    }

    /** All files that {@code deploy/balancer.toml} names as policy, as the operators limit them. */
    @Test
    void allThatDecidesStaysWithinItsLimit() throws IOException {
        Matcher named =
                Pattern.compile("\"([^\"]+\\.java)\"")
                        .matcher(
                                Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
                                        .filter(l -> l.startsWith("policy"))
                                        .findAny()
                                        .orElseThrow());
        long lines = 0;
        int files = 0;
        while (named.find()) {
            files++;
            lines +=
                    Files.readAllLines(Path.of("..", named.group(1))).stream()
                            .filter(l -> !l.isBlank())
                            .count();
        }
        assertTrue(
                files >= 8 && lines <= 1_200, files + " files with " + lines + " non-blank lines");
    }
}
