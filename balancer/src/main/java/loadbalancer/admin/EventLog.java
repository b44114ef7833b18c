package loadbalancer.admin;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Counts and logs events of single requests. Each kind of event has a counter for all its events
 * and a limit on log lines per second, so that an overload or a fault can't flood the log. Confined
 * to the event loop.
 */
public final class EventLog {
    /** Kinds of events. The log shows their names in lower case. */
    public enum Kind {
        /** Input of a client that was rejected before it became a request. */
        REJECTED,
        /** A request that arrived before the previous request on its connection was answered. */
        PIPELINED,
        /** A client connection that was closed because of a fault or a timeout of the client. */
        DROPPED,
        /** A request whose final response was a rejection. */
        REFUSED,
        /** A request whose final response was a failure. */
        FAILED,
        /** An attempt that ended without a usable response. */
        ATTEMPT,
        /** A response of an upstream that can't be parsed or belongs to no attempt. */
        UNREADABLE,
        /** A datagram that is not a message of a peer. */
        STRAY;

        /** Returns the name that the log shows. */
        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private static final int MAX_LINES_PER_WINDOW = 5;
    private static final long WINDOW_NANOS = 1_000_000_000;
    private static final int MAX_REQUEST_ID_CHARS = 40;

    private final Consumer<String> log;
    private final Supplier<Long> nanoClock;
    // This array and the next two are indexed by the ordinal of the kind.
    private final long[] counts = new long[Kind.values().length];
    private final int[] eventsInWindow = new int[counts.length];
    private long[] lastLoggedCounts = counts.clone();
    private long windowStartNanos;

    /** Creates a log that writes lines to {@code log}; {@code nanoClock} is monotonic, in ns. */
    public EventLog(Consumer<String> log, Supplier<Long> nanoClock) {
        this.log = log;
        this.nanoClock = nanoClock;
        this.windowStartNanos = nanoClock.get();
    }

    /**
     * Counts an event, and logs it unless the log lines of its kind for this second are used up.
     *
     * @param requestId the id of the request concerned; null if there is none
     * @param detail supplies the rest of the line; called only if the line is logged
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

    /** Returns the number of events of that kind since the start. */
    public long count(Kind kind) {
        return counts[kind.ordinal()];
    }

    /**
     * Logs all counters, unless no event has been counted since the last summary.
     *
     * @param state supplies the rest of the line; called only if the line is logged
     */
    public void logSummary(Supplier<String> state) {
        if (!Arrays.equals(counts, lastLoggedCounts)) {
            lastLoggedCounts = counts.clone();
            log.accept("counters: " + this + "; " + state.get());
        }
    }

    /** Returns all counters, in the order of the kinds. */
    @Override
    public String toString() {
        return Arrays.stream(Kind.values())
                .map(kind -> kind.label() + " " + count(kind))
                .collect(Collectors.joining(", "));
    }

    // The client chooses the id, which must neither forge a log line nor fill the log.
    private static String printable(String id) {
        if (id == null || id.isEmpty()) {
            return "-";
        }
        return id.substring(0, Math.min(MAX_REQUEST_ID_CHARS, id.length()))
                .replaceAll("[^!-~]", "?");
    }
}
