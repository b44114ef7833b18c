package loadbalancer.testbed.report;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.testbed.statistics.RunResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class HtmlReportTest {
    @Test
    void reportIsOneSelfContainedPage(@TempDir Path directory) throws IOException {
        resultOfBusyRun().write(directory);
        String page = Files.readString(new HtmlReport(RunResult.read(directory)).write(directory));
        assertTrue(
                page.contains("a &lt;scenario&gt;")
                        && page.contains("This result is not trusted: too busy"));
        assertTrue(page.contains("one answer broken") && page.contains("not recovered"));
        assertTrue(
                page.contains("data:image/png;base64,iVBOR"),
                "the plot must be embedded in the page");
        assertFalse(page.contains("http"), "the page must not refer to network resources");
    }

    private static RunResult resultOfBusyRun() {
        return new RunResult(
                "a <scenario>",
                1,
                "p",
                false,
                "too busy",
                2,
                1,
                List.of("one answer broken"),
                new TreeMap<>(Map.of("service", 0.5)),
                Map.of(),
                List.of(new RunResult.TimeSlice(0, 2, 1, 0, 0, 1)),
                List.of(new RunResult.FaultImpact("kill balancers", 0.5, -1, -1, 7)),
                List.of(
                        new RunResult.BalancerUsage(
                                0,
                                "a",
                                List.of(new RunResult.Lifetime(-1, 1)),
                                1,
                                80,
                                100,
                                5,
                                50,
                                1)));
    }
}
