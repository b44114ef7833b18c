package junctionhead.net;

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
final class Events {
    /** What is counted; the names are those of the log. */
    enum Kind {
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

        String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    // Of one kind in a second
    private static final int LINES = 5;
    private static final long SECOND = 1_000_000_000;
    private static final int ID_MOST = 40;

    private final Consumer<String> log;
    private final Supplier<Long> nanos;
    private final long[] counts = new long[Kind.values().length];
    private final int[] lines = new int[counts.length];
    private long[] told = counts.clone();
    private long second;

    Events(Consumer<String> log, Supplier<Long> nanos) {
        this.log = log;
        this.nanos = nanos;
        this.second = nanos.get();
    }

    /**
     * Counts an event, and tells of it unless its kind has had its lines; {@code request} may be
     * null.
     */
    void tell(Kind kind, String request, Supplier<String> what) {
        counts[kind.ordinal()]++;
        long now = nanos.get();
        if (now - second >= SECOND) {
            second = now;
            Arrays.fill(lines, 0);
        }
        if (lines[kind.ordinal()]++ < LINES) {
            log.accept(kind.word() + " " + printable(request) + ": " + what.get());
        }
    }

    long count(Kind kind) {
        return counts[kind.ordinal()];
    }

    /** Writes the counters, unless nothing has been counted since the last time. */
    void summary(Supplier<String> state) {
        if (!Arrays.equals(counts, told)) {
            told = counts.clone();
            log.accept("counters: " + this + "; " + state.get());
        }
    }

    @Override
    public String toString() {
        return Arrays.stream(Kind.values())
                .map(k -> k.word() + " " + count(k))
                .collect(Collectors.joining(", "));
    }

    // An id comes from outside: it must not forge a line, nor fill the log.
    private static String printable(String id) {
        if (id == null || id.isEmpty()) {
            return "-";
        }
        return id.substring(0, Math.min(ID_MOST, id.length())).replaceAll("[^!-~]", "?");
    }
}
