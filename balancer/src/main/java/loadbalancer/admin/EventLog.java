package loadbalancer.admin;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Log of events of single requests. Each kind of event has a counter that counts all of them, and a
 * limit on log lines a second, so that the log can't grow with an overload or a fault. It belongs
 * to the event loop's thread.
 */
public final class EventLog {
    /** Kinds of events; their names in lower case stand in the log. */
    public enum Kind {
        /** A client's input that was rejected before it became a request. */
        REJECTED,
        /** A request that arrived before the previous one of its connection was answered. */
        PIPELINED,
        /** A client's connection that was closed for a fault or a timeout of the client. */
        DROPPED,
        /** A request whose final response was a rejection. */
        REFUSED,
        /** A request whose final response was a failure. */
        FAILED,
        /** An attempt that ended without a usable response. */
        ATTEMPT,
        /** An upstream's response that can't be parsed, or that belongs to no attempt. */
        UNREADABLE,
        /** A datagram that is not a peer's message. */
        STRAY;

        /** The name in the log. */
        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private static final int MAX_LINES_PER_WINDOW = 5;
    private static final long WINDOW_NANOS = 1_000_000_000;
    private static final int MAX_REQUEST_ID_CHARS = 40;

    private final Consumer<String> log;
    private final Supplier<Long> nanoClock;
    // By the kind's ordinal, as are the other arrays
    private final long[] counts = new long[Kind.values().length];
    private final int[] eventsInWindow = new int[counts.length];
    private long[] lastLoggedCounts = counts.clone();
    private long windowStartNanos;

    /** A log that writes lines to {@code log}; {@code nanoClock} is monotonic, in ns. */
    public EventLog(Consumer<String> log, Supplier<Long> nanoClock) {
        this.log = log;
        this.nanoClock = nanoClock;
        this.windowStartNanos = nanoClock.get();
    }

    /**
     * Counts an event, and logs it unless its kind has used up its lines of this second.
     *
     * @param requestId the request that it concerns; null if there is none
     * @param detail the rest of the line, called only if the line is logged
     */
    public void record(Kind kind, String requestId, Supplier<String> detail) {
        counts[kind.ordinal()]++;
        long nowNanos = nanoClock.get();
        if (nowNanos - windowStartNanos >= WINDOW_NANOS) {
            windowStartNanos = nowNanos;
            Arrays.fill(eventsInWindow, 0);
        }
        if (eventsInWindow[kind.ordinal()]++ < MAX_LINES_PER_WINDOW) {
            log.accept(kind.label() + " " + printable(requestId) + ": " + detail.get());
        }
    }

    /** The number of events of that kind since the start. */
    public long count(Kind kind) {
        return counts[kind.ordinal()];
    }

    /**
     * Logs all counters, unless no event has been counted since the last summary.
     *
     * @param state the rest of the line, called only if the line is logged
     */
    public void logSummary(Supplier<String> state) {
        if (!Arrays.equals(counts, lastLoggedCounts)) {
            lastLoggedCounts = counts.clone();
            log.accept("counters: " + this + "; " + state.get());
        }
    }

    /** All counters, in the order of the kinds. */
    @Override
    public String toString() {
        return Arrays.stream(Kind.values())
                .map(kind -> kind.label() + " " + count(kind))
                .collect(Collectors.joining(", "));
    }

    // A client chooses the id: it must not forge a line of the log, nor fill it.
    private static String printable(String id) {
        if (id == null || id.isEmpty()) {
            return "-";
        }
        return id.substring(0, Math.min(MAX_REQUEST_ID_CHARS, id.length()))
                .replaceAll("[^!-~]", "?");
    }
}
