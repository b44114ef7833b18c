package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests {@code .ci/known-red}, the script that prints the tests whose failure CI ignores: which
 * lists it accepts and rejects.
 */
class KnownRedListTest {
    private static final String VALID_LINE =
            "KnownRedListTest#listedTestIsPrintedForSurefire | a trial | issue 26\n";

    @TempDir private Path directory;

    private Process runScript(String list) throws IOException {
        return startScript(Files.writeString(directory.resolve("red.txt"), list));
    }

    private static Process startScript(Path list) throws IOException {
        return new ProcessBuilder("bash", ".ci/known-red", list.toString())
                .directory(Path.of("..").toAbsolutePath().toFile())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static String awaitOutput(Process process) throws IOException, InterruptedException {
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), "exit code");
        return output;
    }

    @Test
    void listedTestIsPrintedForSurefire() throws IOException, InterruptedException {
        assertEquals(
                "loadbalancer/KnownRedListTest#listedTestIsPrintedForSurefire\n",
                awaitOutput(runScript(VALID_LINE)));
        assertEquals("", awaitOutput(runScript("\n")));
        assertEquals("", awaitOutput(startScript(directory.resolve("none"))));
    }

    /**
     * Rejected are lines without a method, cause or issue, lines that name no test, and lists with
     * more lines than allowed.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "KnownRedListTest | a trial | issue 26\n",
                "KnownRedListTest#listedTestIsPrintedForSurefire | | issue 26\n",
                "KnownRedListTest#listedTestIsPrintedForSurefire | a trial\n",
                "KnownRedListTest#runScript | no test | issue 26\n",
                "KnownRedListTest#gone | a trial | issue 26\n",
                "NowhereTest#gone | a trial | issue 26\n",
                VALID_LINE + VALID_LINE + VALID_LINE + VALID_LINE,
            })
    void malformedListIsRejected(String text) throws IOException, InterruptedException {
        Process process = runScript(text);
        process.getInputStream().readAllBytes();
        assertEquals(1, process.waitFor(), "exit code");
    }
}
