package loadbalancer.testbed.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScenarioReaderTest {
    private static final String VALID =
            """
        length_s = 10
        [fleet]
        balancers = 3
        zones = ["a", "b"]
        [[class]]
        name = "x"
        """;

    /** Returns the message of the exception that a text causes. */
    private static String parseError(String text, boolean simulated) {
        return assertThrows(
                        InvalidScenarioException.class,
                        () -> ScenarioReader.parse("s.toml", text, simulated))
                .getMessage();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "lenght_s = 10 | s.toml: lenght_s: unknown field",
                "[fleet]; ballancers = 3 | s.toml: fleet.ballancers: unknown field",
                "length_s = 0 | s.toml: length_s: 0 is not between 1 and 3600",
                "length_s = = | s.toml: line 1: Unknown token",
                "[fleet]; balancers = 41 | s.toml: fleet.balancers: 41 is not between 1 and 40",
                "length_s = 10 | s.toml: class: missing: at least one request class",
                "[[class]]; effect = `often` | s.toml: class[0].effect: 'often' is not "
                        + "one of keyed, safe, unsafe",
                "[[class]]; [[expect.never_two]]; what = `x`; takes = `(`; leaves = `y` "
                        + "| s.toml: expect.never_two[0].takes: invalid regular expression: Unclosed group",
                "[[class]]; name = `a b` | s.toml: class[0].name: "
                        + "only letters, digits, _ and - are allowed: 'a b'",
                "[[class]]; name = `a`; [[class]]; name = `a` "
                        + "| s.toml: class[1].name: duplicate name: 'a'",
                "[[class]]; work_ms = [2.0, 1.0] | s.toml: class[0].work_ms: not a range "
                        + "[lower, upper] with 0 <= lower <= upper: [2.0, 1.0]",
            })
    void errorNamesFileAndField(String text, String expectedMessage) {
        String lines = text.replace("; ", "\n").replace('`', '"');
        assertEquals(expectedMessage, parseError(lines, false));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "kind = `kil`; at_s = 1; on = `balancers` | kind: unknown kind of fault: 'kil'",
                "kind = `kill`; on = `balancers` | at_s: missing: the fault's start in seconds",
                "kind = `kill`; at_s = 11; on = `balancers` | at_s: 11 is not between 0 and 10",
                "kind = `pause`; at_s = 1; on = `balancers` "
                        + "| until_s: missing: the fault's end in seconds",
                "kind = `pause`; at_s = 5; until_s = 4; on = `balancers` | until_s: 4 is "
                        + "not between 5 and 10",
                "kind = `kill`; at_s = 1; on = `balancers:3` | on: not a number from 0 to 2: '3'",
                "kind = `kill`; at_s = 1; on = `zone:c` | on: no zone is named 'c'",
                "kind = `kill`; at_s = 1; on = `upstreams` | on: kill accepts balancers only",
                "kind = `cut`; at_s = 1; until_s = 2; on = `balancers` "
                        + "| to: missing: balancers, upstreams or zone:NAME",
                "kind = `hang`; at_s = 1; until_s = 2; on = `upstreams`; to = `zone:a` | "
                        + "to: hang affects no network path, so it must not be set",
                "kind = `loss`; at_s = 1; until_s = 2; on = `zone:a`; to = `zone:b`; amount = 2.0 "
                        + "| amount: 2 is not between 0 and 1",
                "kind = `fail`; at_s = 1; until_s = 2; on = `upstreams`; class = `y` "
                        + "| class: no class is named 'y'",
            })
    void invalidFaultIsRejected(String fields, String expectedMessage) {
        String text = VALID + "[[fault]]\n" + fields.replace("; ", "\n").replace('`', '"');
        assertEquals("s.toml: fault[0]." + expectedMessage, parseError(text, false));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "[fleet]; balancers = 1601 | s.toml: fleet.balancers: 1601 is not between 1 and 1600",
                "[upstreams]; count = 14001 | s.toml: upstreams.count: 14001 is not between 1 and 14000",
            })
    void simulationAllowsLargerSizes(String text, String expectedMessage) {
        String lines = text.replace("; ", "\n");
        assertEquals(expectedMessage, parseError(lines, true));
        String atLimit = lines.replace("1601", "1600").replace("14001", "14000") + "\n[[class]]\n";
        assertEquals(1, ScenarioReader.parse("s.toml", atLimit, true).classes().size());
        assertThrows(
                InvalidScenarioException.class,
                () -> ScenarioReader.parse("s.toml", atLimit, false));
    }

    @Test
    void failoverExpectationRequiresZoneFault() {
        assertEquals(
                "s.toml: expect.zone_left_within_s: requires a fault of kind crash or vanish",
                parseError(VALID + "[expect]\nzone_left_within_s = 1\n", false));
    }

    @Test
    void omittedFieldsHaveDefaults() {
        Scenario scenario = ScenarioReader.parse("s.toml", VALID, false);
        assertEquals(10_000_000, scenario.lengthMicros());
        assertEquals(4, scenario.upstreams().count());
        assertEquals("safe", scenario.classes().get(0).idempotency());
        assertEquals(1, scenario.zoneOfBalancer(1));
    }

    @TestFactory
    List<DynamicTest> everyScenarioFileIsValid() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("scenarios"))) {
            return files.filter(Files::isRegularFile)
                    .sorted()
                    .map(ScenarioReaderTest::validityTest)
                    .toList();
        }
    }

    private static DynamicTest validityTest(Path file) {
        return DynamicTest.dynamicTest(
                file.toString(),
                () -> assertEquals(true, ScenarioReader.read(file, true).lengthS() > 0));
    }
}
