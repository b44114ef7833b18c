package junctionhead;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The list of tests that fail for a real fault: what CI passes over, and what it does not take. */
class KnownRedTest {
    private static final String GOOD =
            "KnownRedTest#aListedTestIsNamedForSurefire | a trial | issue 26\n";

    @TempDir private Path folder;

    private Process run(String text) throws IOException {
        Path file = Files.writeString(folder.resolve("red.txt"), text);
        return new ProcessBuilder("bash", ".ci/known-red", file.toString())
                .directory(Path.of("..").toAbsolutePath().toFile())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static String out(Process process) throws IOException, InterruptedException {
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor());
        return out;
    }

    @Test
    void aListedTestIsNamedForSurefire() throws IOException, InterruptedException {
        assertEquals("junctionhead/KnownRedTest#aListedTestIsNamedForSurefire\n", out(run(GOOD)));
        assertEquals("", out(run("\n")));
        assertEquals(
                "",
                out(
                        new ProcessBuilder("bash", ".ci/known-red", folder + "/none")
                                .directory(Path.of("..").toAbsolutePath().toFile())
                                .start()));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "KnownRedTest | a trial | issue 26\n",
                "KnownRedTest#aListedTestIsNamedForSurefire | | issue 26\n",
                "KnownRedTest#aListedTestIsNamedForSurefire | a trial\n",
                "KnownRedTest#run | no test | issue 26\n",
                "KnownRedTest#gone | a trial | issue 26\n",
                "NowhereTest#gone | a trial | issue 26\n",
                GOOD + GOOD + GOOD + GOOD,
            })
    void anythingElseIsNotTaken(String text) throws IOException, InterruptedException {
        Process process = run(text);
        process.getInputStream().readAllBytes();
        assertEquals(1, process.waitFor());
    }
}
