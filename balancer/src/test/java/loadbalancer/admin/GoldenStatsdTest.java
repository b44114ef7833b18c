package loadbalancer.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.GoldenFiles;
import org.junit.jupiter.api.Test;

/** Compares the StatsD text of counters and gauges with golden files, byte for byte. */
class GoldenStatsdTest {
    private static final String EXTREMES = "statsd/extremes.txt";
    private static final String DISTINCT_COUNTS = "statsd/counted.txt";

    private record Metric(String name, long value, String type) {}

    static MetricsSnapshot extremes() {
        return new MetricsSnapshot(
                true,
                List.of(
                        new MetricsSnapshot.ClassCounters("browse", 0, 0, 0),
                        new MetricsSnapshot.ClassCounters(
                                "order", Long.MAX_VALUE, Long.MAX_VALUE - 1, Long.MAX_VALUE - 2)),
                Long.MAX_VALUE,
                Integer.MAX_VALUE,
                0,
                Integer.MIN_VALUE);
    }

    /** Returns metrics in which each counter has a different value, raised by recorded events. */
    static MetricsSnapshot distinctCounts() {
        Metrics metrics = new Metrics(List.of("browse", "order"));
        for (int i = 0; i < 2; i++) {
            int requestClass = i;
            repeat(1 + i, () -> metrics.recordServed(requestClass));
            repeat(3 + i, () -> metrics.recordRejected(requestClass));
            repeat(5 + i, () -> metrics.recordFailed(requestClass));
        }
        repeat(7, metrics::recordAttemptSent);
        return metrics.snapshot(true, 8, 9, 10);
    }

    private static void repeat(int count, Runnable event) {
        for (int i = 0; i < count; i++) {
            event.run();
        }
    }

    private static List<Metric> parseMetrics(String text) {
        List<Metric> metrics = new ArrayList<>();
        for (String line : text.split("\n")) {
            String[] parts = line.split("[:|]");
            metrics.add(new Metric(parts[0], Long.parseLong(parts[1]), parts[2]));
        }
        return metrics;
    }

    @Test
    void encodesToGoldenBytes() {
        assertEquals(GoldenFiles.text(EXTREMES), extremes().toStatsdText());
        assertEquals(GoldenFiles.text(DISTINCT_COUNTS), distinctCounts().toStatsdText());
    }

    @Test
    void decodesGoldenBytes() {
        assertEquals(
                List.of(
                        new Metric("app.transactions.browse.answered", 1, "c"),
                        new Metric("app.transactions.browse.deferred", 3, "c"),
                        new Metric("app.transactions.browse.errored", 5, "c"),
                        new Metric("app.transactions.order.answered", 2, "c"),
                        new Metric("app.transactions.order.deferred", 4, "c"),
                        new Metric("app.transactions.order.errored", 6, "c"),
                        new Metric("app.sends", 7, "c"),
                        new Metric("app.current", 8, "g"),
                        new Metric("app.cluster_size", 9, "g"),
                        new Metric("app.cluster_unhealthy", 10, "g")),
                parseMetrics(GoldenFiles.text(DISTINCT_COUNTS)));
    }
}
