package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import junctionhead.GoldenFiles;
import org.junit.jupiter.api.Test;

/** The counters and gauges in StatsD's text, byte for byte. */
class GoldenStatsdTest {
    private static final String EXTREMES = "statsd/extremes.txt";
    private static final String COUNTED = "statsd/counted.txt";

    private record Figure(String name, long value, String type) {}

    static Stats extremes() {
        return new Stats(
                true,
                List.of(
                        new Stats.Ends("browse", 0, 0, 0),
                        new Stats.Ends(
                                "order", Long.MAX_VALUE, Long.MAX_VALUE - 1, Long.MAX_VALUE - 2)),
                Long.MAX_VALUE,
                Integer.MAX_VALUE,
                0,
                Integer.MIN_VALUE);
    }

    /** Each counter with another count, as the balancer's events raise them. */
    static Stats counted() {
        Metrics metrics = new Metrics(List.of("browse", "order"));
        for (int i = 0; i < 2; i++) {
            int requestClass = i;
            times(1 + i, () -> metrics.answered(requestClass));
            times(3 + i, () -> metrics.deferred(requestClass));
            times(5 + i, () -> metrics.errored(requestClass));
        }
        times(7, metrics::sent);
        return metrics.stats(true, 8, 9, 10);
    }

    private static void times(int count, Runnable event) {
        for (int i = 0; i < count; i++) {
            event.run();
        }
    }

    private static List<Figure> figures(String text) {
        List<Figure> figures = new ArrayList<>();
        for (String line : text.split("\n")) {
            String[] parts = line.split("[:|]");
            figures.add(new Figure(parts[0], Long.parseLong(parts[1]), parts[2]));
        }
        return figures;
    }

    @Test
    void valuesGiveBytes() {
        assertEquals(GoldenFiles.text(EXTREMES), extremes().text());
        assertEquals(GoldenFiles.text(COUNTED), counted().text());
    }

    @Test
    void bytesGiveValues() {
        assertEquals(
                List.of(
                        new Figure("app.transactions.browse.answered", 1, "c"),
                        new Figure("app.transactions.browse.deferred", 3, "c"),
                        new Figure("app.transactions.browse.errored", 5, "c"),
                        new Figure("app.transactions.order.answered", 2, "c"),
                        new Figure("app.transactions.order.deferred", 4, "c"),
                        new Figure("app.transactions.order.errored", 6, "c"),
                        new Figure("app.sends", 7, "c"),
                        new Figure("app.current", 8, "g"),
                        new Figure("app.cluster_size", 9, "g"),
                        new Figure("app.cluster_unhealthy", 10, "g")),
                figures(GoldenFiles.text(COUNTED)));
    }
}
