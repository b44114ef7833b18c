package loadbalancer.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests which events {@link EventLog} logs, and that request ids can't corrupt its lines. */
class EventLogTest {
    private static final long SECOND_NANOS = 1_000_000_000;

    private final List<String> lines = new ArrayList<>();
    private final AtomicLong clockNanos = new AtomicLong(7);
    private final EventLog events = new EventLog(lines::add, clockNanos::get);

    private void record(EventLog.Kind kind, int times) {
        for (int i = 0; i < times; i++) {
            events.record(kind, "r" + i, () -> "detail");
        }
    }

    @Test
    void linesOfOneKindAreLimitedEachSecond() {
        record(EventLog.Kind.REFUSED, 7);
        record(EventLog.Kind.FAILED, 1);
        assertEquals(6, lines.size());
        clockNanos.addAndGet(SECOND_NANOS);
        record(EventLog.Kind.REFUSED, 1);
        assertEquals("refused r0: detail", lines.get(6));
        assertEquals(8, events.count(EventLog.Kind.REFUSED));
    }

    @Test
    void requestIdCannotForgeALine() {
        events.record(EventLog.Kind.DROPPED, "a\nfailed b", () -> "detail");
        events.record(EventLog.Kind.DROPPED, "x".repeat(60), () -> "detail");
        events.record(EventLog.Kind.DROPPED, null, () -> "detail");
        assertEquals(
                List.of(
                        "dropped a?failed?b: detail",
                        "dropped " + "x".repeat(40) + ": detail",
                        "dropped -: detail"),
                lines);
    }

    @Test
    void summaryIsLoggedOnlyAfterNewEvents() {
        events.logSummary(() -> "state");
        assertEquals(List.of(), lines);
        record(EventLog.Kind.STRAY, 1);
        events.logSummary(() -> "state");
        events.logSummary(() -> "state");
        assertEquals(
                List.of(
                        "stray r0: detail",
                        "counters: rejected 0, pipelined 0, dropped 0, refused 0, failed 0,"
                                + " attempt 0, unreadable 0, stray 1; state"),
                lines);
    }
}
