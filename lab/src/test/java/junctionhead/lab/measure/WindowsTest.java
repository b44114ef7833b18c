package junctionhead.lab.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.IntStream;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.report.HtmlReport;
import junctionhead.lab.rules.Order;
import junctionhead.lab.scenario.ScenarioReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class WindowsTest {
    private final Windows windows =
            new Windows(
                    ScenarioReader.parse(
                            "s.toml",
                            """
        length_s = 20
        [[class]]
        name = "x"
        aim_ms = 300
        late_share = 0.5
        """,
                            false));

    private void order(long at, Order.End end, long latency) {
        Order order = new Order(new Plan.Arrival(at, 0, 0, 0, 1000, false));
        order.end(end, at + latency);
        windows.ended(order);
    }

    private void serve(long from, long to, Order.End end) {
        for (long at = from; at < to; at += 20_000) {
            order(at, end, 10_000);
        }
    }

    @Test
    void anAnswerPastItsAimIsLateAndEarnsAPart() {
        order(0, Order.End.SERVED, 300_000);
        order(0, Order.End.SERVED, 301_000);
        order(50_000, Order.End.REFUSED, 1_000);
        order(150_000, Order.End.FAILED, 1_000);
        Windows.Window first = windows.all().get(0);
        assertEquals(
                List.of(3, 1, 1, 1, 0),
                List.of(
                        first.asked(),
                        first.served(),
                        first.late(),
                        first.refused(),
                        first.failed()));
        assertEquals(1.5 / 4, windows.service(), 1e-9);
        assertEquals(2, windows.unserved(0, 1_000_000));
        assertEquals(1, windows.unserved(100_000, 1_000_000));
    }

    @Test
    void serviceIsBackWhenItHasBeenForASecond() {
        serve(0, 8_000_000, Order.End.SERVED);
        serve(8_000_000, 10_000_000, Order.End.FAILED);
        // Half a second is not enough
        serve(10_000_000, 10_500_000, Order.End.SERVED);
        serve(10_500_000, 11_000_000, Order.End.FAILED);
        serve(11_000_000, 20_000_000, Order.End.SERVED);
        assertEquals(3_000_000, windows.backAfter(8_000_000));
        assertEquals(0, windows.backAfter(15_000_000));
    }

    @Test
    void serviceThatDoesNotComeBackIsSaidSo() {
        serve(0, 8_000_000, Order.End.SERVED);
        serve(8_000_000, 20_000_000, Order.End.REFUSED);
        assertEquals(-1, windows.backAfter(8_000_000));
    }

    @Test
    void differencesWithinChanceAreNone() {
        List<Double> noise =
                IntStream.range(0, 20).mapToObj(i -> i % 2 == 0 ? 0.1 : -0.09).toList();
        assertFalse(Bootstrap.of(noise, 1).differs());
        assertTrue(Bootstrap.of(noise.stream().map(d -> d + 0.2).toList(), 9).differs());
        assertEquals(Bootstrap.of(noise, 1), Bootstrap.of(noise, 1));
    }

    @Test
    void lookingAtManyFiguresAsksForMoreOfEach() {
        List<Double> few = List.of(0.3, 0.2, -0.1, 0.4, 0.25, -0.05, 0.1, 0.3);
        assertTrue(Bootstrap.of(few, 1).differs());
        assertFalse(Bootstrap.of(few, 200).differs());
    }

    @Test
    void aReportIsOnePageWithItsPlot(@TempDir Path folder) throws IOException {
        Result result =
                new Result(
                        "a <scenario>",
                        1,
                        "p",
                        false,
                        "too busy",
                        2,
                        1,
                        List.of("one answer broken"),
                        new TreeMap<>(java.util.Map.of("service", 0.5)),
                        java.util.Map.of(),
                        List.of(new Result.Slice(0, 2, 1, 0, 0, 1)),
                        List.of(new Result.FaultBar("kill balancers", 0.5, -1, -1, 7)),
                        List.of(
                                new Result.Process(
                                        0,
                                        "a",
                                        List.of(new double[] {-1, 1}),
                                        1,
                                        80,
                                        100,
                                        5,
                                        50,
                                        1)));
        result.write(folder);
        String page = Files.readString(new HtmlReport(Result.read(folder)).write(folder));
        assertTrue(
                page.contains("a &lt;scenario&gt;")
                        && page.contains("counts for nothing: too busy"));
        assertTrue(page.contains("one answer broken") && page.contains("not back"));
        assertTrue(page.contains("data:image/png;base64,iVBOR"), "the plot is in the page");
        assertFalse(page.contains("http"), "nothing comes from a network");
    }
}
