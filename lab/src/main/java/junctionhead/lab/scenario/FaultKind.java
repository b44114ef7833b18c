package junctionhead.lab.scenario;

import java.util.Locale;

/** What may go wrong, on whom, and whether it lasts. */
public enum FaultKind {
    /**
     * The processes of {@code on} die at once; with {@code until_s} they start again, {@code state}
     * as said.
     */
    KILL(Party.BALANCERS, false, false),
    /** They get SIGTERM; with {@code until_s} they start again. */
    TERM(Party.BALANCERS, false, false),
    /** SIGSTOP, and SIGCONT at {@code until_s}. */
    PAUSE(Party.BALANCERS, false, true),
    /**
     * What goes between {@code on} and {@code to} is held back; {@code one_way}: from {@code on}
     * only.
     */
    CUT(Party.ANY, true, true),
    /** {@code amount} of datagrams is lost; of what TCP carries, that part comes 200 ms late. */
    LOSS(Party.ANY, true, true),
    /** {@code delay_ms} is added, and up to {@code spread_ms} more. */
    DELAY(Party.ANY, true, true),
    /**
     * {@code amount} of datagrams come twice, the second after {@code delay_ms}. Balancers only.
     */
    REPEAT(Party.BALANCERS, true, true),
    /** {@code amount} of datagrams wait {@code delay_ms} while later ones pass. Balancers only. */
    REORDER(Party.BALANCERS, true, true),
    /** No more than {@code amount} bytes a second, each way. */
    THIN(Party.ANY, true, true),
    /** Connections from {@code on} to {@code to} are refused. */
    REFUSE(Party.BALANCERS, true, true),
    /** All connections between them end with a reset, once. */
    RESET(Party.BALANCERS, true, false),
    /** The upstream's process dies; at {@code until_s} it is back, cold. */
    CRASH(Party.UPSTREAMS, false, false),
    /** The upstream's machine falls silent: connections neither come up nor end. */
    VANISH(Party.UPSTREAMS, false, true),
    /** {@code amount} times slower. */
    SLOW(Party.UPSTREAMS, false, true),
    /** Takes requests and answers none. */
    HANG(Party.UPSTREAMS, false, true),
    /** Answers 500 to requests of {@code class}, or to all. */
    FAIL(Party.UPSTREAMS, false, true),
    /**
     * Drains from {@code at_s}; its process ends, and a cold successor starts, at {@code until_s}.
     */
    REPLACE(Party.UPSTREAMS, false, true),
    /** Discovery's news come {@code delay_ms} later at these balancers. */
    LATE(Party.BALANCERS, false, true),
    /** Discovery answers these balancers with what it knew when this began. */
    STALE(Party.BALANCERS, false, true),
    /** Discovery says nothing to these balancers. */
    SILENT(Party.BALANCERS, false, true),
    /** Discovery refuses these balancers' connections, and ends those it has. */
    DENY(Party.BALANCERS, false, true);

    /** Who {@code on} may name. */
    public enum Party {
        BALANCERS,
        UPSTREAMS,
        ANY
    }

    private final Party party;
    private final boolean path;
    private final boolean lasts;

    FaultKind(Party party, boolean path, boolean lasts) {
        this.party = party;
        this.path = path;
        this.lasts = lasts;
    }

    public Party party() {
        return party;
    }

    /** Whether it is about what lies between {@code on} and {@code to}. */
    public boolean path() {
        return path;
    }

    /** Whether it must say when it ends. */
    public boolean lasts() {
        return lasts;
    }

    /** Its word in a scenario. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Null for an unknown word. */
    public static FaultKind of(String word) {
        for (FaultKind kind : values()) {
            if (kind.word().equals(word)) {
                return kind;
            }
        }
        return null;
    }
}
