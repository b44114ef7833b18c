package loadbalancer.testbed.scenario;

import java.util.Locale;

/** What may go wrong, on whom, and whether it lasts. */
public enum FaultKind {
    /**
     * The processes of {@code on} die at once; with {@code until_s} they start again, {@code state}
     * as said.
     */
    KILL(TargetKind.BALANCERS, false, false),
    /** They get SIGTERM; with {@code until_s} they start again. */
    TERM(TargetKind.BALANCERS, false, false),
    /** SIGSTOP, and SIGCONT at {@code until_s}. */
    PAUSE(TargetKind.BALANCERS, false, true),
    /**
     * What goes between {@code on} and {@code to} is held back; {@code one_way}: from {@code on}
     * only.
     */
    CUT(TargetKind.ANY, true, true),
    /** {@code amount} of datagrams is lost; of what TCP carries, that part comes 200 ms late. */
    LOSS(TargetKind.ANY, true, true),
    /** {@code delay_ms} is added, and up to {@code spread_ms} more. */
    DELAY(TargetKind.ANY, true, true),
    /**
     * {@code amount} of datagrams come twice, the second after {@code delay_ms}. Balancers only.
     */
    REPEAT(TargetKind.BALANCERS, true, true),
    /** {@code amount} of datagrams wait {@code delay_ms} while later ones pass. Balancers only. */
    REORDER(TargetKind.BALANCERS, true, true),
    /** No more than {@code amount} bytes a second, each way. */
    THIN(TargetKind.ANY, true, true),
    /** Connections from {@code on} to {@code to} are refused. */
    REFUSE(TargetKind.BALANCERS, true, true),
    /** All connections between them end with a reset, once. */
    RESET(TargetKind.BALANCERS, true, false),
    /** The upstream's process dies; at {@code until_s} it is back, cold. */
    CRASH(TargetKind.UPSTREAMS, false, false),
    /** The upstream's machine falls silent: connections neither come up nor end. */
    VANISH(TargetKind.UPSTREAMS, false, true),
    /** {@code amount} times slower. */
    SLOW(TargetKind.UPSTREAMS, false, true),
    /** Takes requests and answers none. */
    HANG(TargetKind.UPSTREAMS, false, true),
    /** Answers 500 to requests of {@code class}, or to all. */
    FAIL(TargetKind.UPSTREAMS, false, true),
    /**
     * Drains from {@code at_s}; its process ends, and a cold successor starts, at {@code until_s}.
     */
    REPLACE(TargetKind.UPSTREAMS, false, true),
    /** Discovery's news come {@code delay_ms} later at these balancers. */
    LATE(TargetKind.BALANCERS, false, true),
    /** Discovery answers these balancers with what it knew when this began. */
    STALE(TargetKind.BALANCERS, false, true),
    /** Discovery says nothing to these balancers. */
    SILENT(TargetKind.BALANCERS, false, true),
    /** Discovery refuses these balancers' connections, and ends those it has. */
    DENY(TargetKind.BALANCERS, false, true);

    /** Who {@code on} may name. */
    public enum TargetKind {
        BALANCERS,
        UPSTREAMS,
        ANY
    }

    private final TargetKind targetKind;
    private final boolean affectsPath;
    private final boolean requiresEnd;

    FaultKind(TargetKind targetKind, boolean affectsPath, boolean requiresEnd) {
        this.targetKind = targetKind;
        this.affectsPath = affectsPath;
        this.requiresEnd = requiresEnd;
    }

    public TargetKind targetKind() {
        return targetKind;
    }

    /** Whether it is about what lies between {@code on} and {@code to}. */
    public boolean affectsPath() {
        return affectsPath;
    }

    /** Whether it must say when it ends. */
    public boolean requiresEnd() {
        return requiresEnd;
    }

    /** Its word in a scenario. */
    public String keyword() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Null for an unknown word. */
    public static FaultKind fromKeyword(String keyword) {
        for (FaultKind kind : values()) {
            if (kind.keyword().equals(keyword)) {
                return kind;
            }
        }
        return null;
    }
}
