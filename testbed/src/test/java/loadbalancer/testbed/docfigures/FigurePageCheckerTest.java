package loadbalancer.testbed.docfigures;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A page that agrees with its measurement files passes, and each kind of error is reported. */
class FigurePageCheckerTest {
    private static final String PAGE =
            """
        | quiet | [394 m][quiet] bytes a second, [0.631 m][all] MB for all |
        In code `a 5 m` counts for nothing, and neither does 7 c nor 1,600 balancers.
        One thousand more: [1,394 c][more], and [-0.5 m][below] below.

        [quiet]: capacity/members.json "n1600.bytes"
        [all]: capacity/members.json "n1600.bytes * 1600 / 1e6"
        [more]: capacity/members.json "n1600.bytes + (serve-now:s40.cpu - 0.25) * 2000"
        [below]: capacity/serve-now.json "below"
        """;

    @TempDir private Path directory;

    @BeforeEach
    void writeMeasurements() throws IOException {
        new MeasurementFile("lab members", List.of(1L), new TreeMap<>(Map.of("n1600.bytes", 394.2)))
                .write(directory.resolve("capacity/members.json"));
        new MeasurementFile(
                        "lab cost",
                        List.of(1L, 2L),
                        new TreeMap<>(Map.of("s40.cpu", 0.75, "below", -0.5)))
                .write(directory.resolve("capacity/serve-now.json"));
    }

    private List<String> checkPage(String text) throws IOException {
        return FigurePageChecker.check(Files.writeString(directory.resolve("page.md"), text))
                .errors();
    }

    @Test
    void matchingPageHasNoErrors() throws IOException {
        assertEquals(List.of(), checkPage(PAGE));
        assertEquals(4, FigurePageChecker.check(directory.resolve("page.md")).figureCount());
    }

    /** Columns: a text of the page, its replacement, and the expected error. */
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "[394 m]; [395 m]; 395 m does not agree with 394.20 from capacity/members.json",
                "[0.631 m]; [0.632 m]; 0.632 m does not agree with 0.63072 from",
                "[0.631 m]; [0.6 m]; ''",
                "[0.631 m]; [0.7 m]; 0.7 m does not agree with 0.631 from",
                "[1,394 c]; [1,395 c]; 1,395 c does not agree with 1394.20 from",
                "[-0.5 m]; [0.5 m]; 0.5 m does not agree with -0.500 from",
                "\"n1600.bytes\"; \"n1600.byte\"; no figure n1600.byte in",
                "\"n1600.bytes\"; \"n1600.bytes *\"; expected a number or a key",
                "\"n1600.bytes\"; \"(n1600.bytes\"; missing closing parenthesis",
                "\"n1600.bytes\"; \"n1600.bytes ? 2\"; not an expression",
                "\"n1600.bytes\"; \"n1600.bytes * 1.2.3\"; multiple points",
                "capacity/members.json \"n1600.bytes\"; capacity/member.json \"n1600.bytes\"; "
                        + "cannot read measurement file",
                "serve-now:s40; serve-then:s40; cannot read measurement file",
                "[394 m]; [some m]; no number in [some m][quiet]",
                "[394 m][quiet]; [394 m][loud] [394 m][quiet]; no label loud for 394 m",
                "[394 m][quiet]; 394; no figure uses label quiet",
                "[394 m][quiet]; [394 m][quiet] and 12 ms m; 'marked as measured, but "
                        + "not linked to a file: 12 ms m'",
                "[quiet]: capacity; [all]: capacity; duplicate label all",
            })
    void errorIsReported(String original, String replacement, String expectedError)
            throws IOException {
        assertTrue(PAGE.contains(original), original);
        List<String> errors = checkPage(PAGE.replace(original, replacement));
        assertTrue(
                expectedError.isEmpty()
                        ? errors.isEmpty()
                        : errors.stream().anyMatch(message -> message.contains(expectedError)),
                errors.toString());
    }

    @Test
    void errorNamesItsLine() throws IOException {
        assertTrue(checkPage(PAGE.replace("[1,394 c]", "[1 c]")).get(0).contains("page.md:3: "));
    }

    @Test
    void malformedMeasurementFileIsAnError() throws IOException {
        Files.writeString(directory.resolve("capacity/serve-now.json"), "{\"figures\": 3}");
        assertTrue(
                checkPage(PAGE).stream()
                        .anyMatch(message -> message.contains("cannot read measurement file")));
        assertThrows(
                IOException.class, () -> FigurePageChecker.check(directory.resolve("nowhere.md")));
    }

    @Test
    void measurementFileRoundTrips() throws IOException {
        MeasurementFile written =
                new MeasurementFile(
                        "lab cost", List.of(3L, 1L), new TreeMap<>(Map.of("a.b", 0.25)));
        Path file = directory.resolve("a/b.json");
        written.write(file);
        assertEquals(written, MeasurementFile.read(file));
    }

    @Test
    void repeatsGiveMedianAndSpread() {
        RepeatedMeasurements repeats = new RepeatedMeasurements();
        List.of(3.0, 1.0, 2.00004).forEach(value -> repeats.add("odd", value));
        List.of(4.0, 1.0).forEach(value -> repeats.add("even", value));
        repeats.add("once", 12345.6);
        assertEquals(
                Map.of(
                        "odd",
                        2.0,
                        "odd.least",
                        1.0,
                        "odd.most",
                        3.0,
                        "even",
                        2.5,
                        "even.least",
                        1.0,
                        "even.most",
                        4.0,
                        "once",
                        12350.0),
                repeats.summary());
    }

    /** Checks the figures of docs/CAPACITY.md against its measurement files. */
    @Test
    void capacityPageMatchesItsFiles() throws IOException {
        FigurePageChecker.Result check = FigurePageChecker.check(Path.of("../docs/CAPACITY.md"));
        assertEquals(List.of(), check.errors());
        assertTrue(
                check.figureCount() > 20,
                "only " + check.figureCount() + " figures refer to measurement files");
    }
}
