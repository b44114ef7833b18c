package loadbalancer.admin;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * What the operators are told of single requests: each kind of event has a counter, and a few lines
 * a second that carry the request's id. Guards against a log that grows with the trouble it tells
 * of. It belongs to the event loop's thread.
 */
public final class EventLog {
    /** What is counted; the names are those of the log. */
    public enum Kind {
        /** A client's input that was turned away before it could become a request. */
        REJECTED,
        /** A request that came before the one ahead of it on its connection was answered. */
        PIPELINED,
        /** A client's connection that was closed for what it did, or did not do. */
        DROPPED,
        /** A request's final answer was a refusal. */
        REFUSED,
        /** A request's final answer was a failure. */
        FAILED,
        /** An attempt that ended otherwise than served. */
        ATTEMPT,
        /** An upstream's answer that can't be read, or that nobody asked for. */
        UNREADABLE,
        /** A datagram that is no peer's message. */
        STRAY;

        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    // Of one kind in a second
    private static final int MAX_LINES_PER_SECOND = 5;
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final int MAX_REQUEST_ID_CHARS = 40;

    private final Consumer<String> log;
    private final Supplier<Long> nanoClock;
    private final long[] counts = new long[Kind.values().length];
    private final int[] linesInWindow = new int[counts.length];
    private long[] lastReportedCounts = counts.clone();
    private long windowStartNanos;

    public EventLog(Consumer<String> log, Supplier<Long> nanoClock) {
        this.log = log;
        this.nanoClock = nanoClock;
        this.windowStartNanos = nanoClock.get();
    }

    /**
     * Counts an event, and tells of it unless its kind has had its lines; {@code requestId} may be
     * null.
     */
    public void record(Kind kind, String requestId, Supplier<String> detail) {
        counts[kind.ordinal()]++;
        long nowNanos = nanoClock.get();
        if (nowNanos - windowStartNanos >= SECOND_NANOS) {
            windowStartNanos = nowNanos;
            Arrays.fill(linesInWindow, 0);
        }
        if (linesInWindow[kind.ordinal()]++ < MAX_LINES_PER_SECOND) {
            log.accept(kind.label() + " " + printable(requestId) + ": " + detail.get());
        }
    }

    public long count(Kind kind) {
        return counts[kind.ordinal()];
    }

    /** Writes the counters, unless nothing has been counted since the last time. */
    public void logSummary(Supplier<String> state) {
        if (!Arrays.equals(counts, lastReportedCounts)) {
            lastReportedCounts = counts.clone();
            log.accept("counters: " + this + "; " + state.get());
        }
    }

    @Override
    public String toString() {
        return Arrays.stream(Kind.values())
                .map(k -> k.label() + " " + count(k))
                .collect(Collectors.joining(", "));
    }

    // An id comes from outside: it must not forge a line, nor fill the log.
    private static String printable(String id) {
        if (id == null || id.isEmpty()) {
            return "-";
        }
        return id.substring(0, Math.min(MAX_REQUEST_ID_CHARS, id.length()))
                .replaceAll("[^!-~]", "?");
    }
}
