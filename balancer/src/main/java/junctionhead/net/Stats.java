package junctionhead.net;

import java.util.List;

/**
 * The figures of one moment, as operators read them. {@code current} counts requests taken and not
 * ended, {@code listed} the upstreams in the list and {@code avoided} those of them that get
 * nothing now.
 */
record Stats(boolean ready, List<Ends> ends, long sends, int current, int listed, int avoided) {
    private static final String PREFIX = "app.";

    /** How the requests of one class have ended since the start. */
    record Ends(String requestClass, long answered, long deferred, long errored) {}

    /** What is known before anything has happened. */
    static final Stats NONE = new Stats(false, List.of(), 0, 0, 0, 0);

    Stats {
        ends = List.copyOf(ends);
    }

    /** As StatsD's text, a figure to a line; counters count from the start of the process. */
    String text() {
        StringBuilder text = new StringBuilder();
        for (Ends e : ends) {
            String of = "transactions." + e.requestClass() + ".";
            counter(text, of + "answered", e.answered());
            counter(text, of + "deferred", e.deferred());
            counter(text, of + "errored", e.errored());
        }
        counter(text, "sends", sends);
        gauge(text, "current", current);
        gauge(text, "cluster_size", listed);
        gauge(text, "cluster_unhealthy", avoided);
        return text.toString();
    }

    private static void counter(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(':').append(value).append("|c\n");
    }

    private static void gauge(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(':').append(value).append("|g\n");
    }
}
