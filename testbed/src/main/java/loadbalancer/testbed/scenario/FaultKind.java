package loadbalancer.testbed.scenario;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * The kinds of faults, with the targets that each may have and whether its end is required. Names
 * in code font are keys of a fault in a scenario file.
 */
public enum FaultKind {
    /**
     * Sends SIGKILL to processes. If {@code until_s} is set, {@code state} is then applied to their
     * state directories and they start again.
     */
    KILL(TargetKind.BALANCERS, false, false),
    /** Sends SIGTERM to processes. If {@code until_s} is set, they then start again. */
    TERM(TargetKind.BALANCERS, false, false),
    /** Sends SIGSTOP to processes, and SIGCONT at {@code until_s}. */
    PAUSE(TargetKind.BALANCERS, false, true),
    /**
     * Blocks all traffic between {@code on} and {@code to}; with {@code one_way}, only that from
     * {@code on} to {@code to}. Data sent over TCP is delivered when the fault ends.
     */
    CUT(TargetKind.ANY, true, true),
    /**
     * Loses the fraction {@code amount} of datagrams; delays that fraction of TCP data by 200 ms.
     */
    LOSS(TargetKind.ANY, true, true),
    /** Delays traffic by {@code delay_ms} and a random time of up to {@code spread_ms}. */
    DELAY(TargetKind.ANY, true, true),
    /** Duplicates the fraction {@code amount} of datagrams; copies are {@code delay_ms} later. */
    REPEAT(TargetKind.BALANCERS, true, true),
    /**
     * Delays the fraction {@code amount} of datagrams by {@code delay_ms}, so that later ones
     * overtake them.
     */
    REORDER(TargetKind.BALANCERS, true, true),
    /** Limits the bandwidth to {@code amount} bytes per second in each direction. */
    THIN(TargetKind.ANY, true, true),
    /** Refuses connections from {@code on} to {@code to}. */
    REFUSE(TargetKind.BALANCERS, true, true),
    /** Resets all connections from {@code on} to {@code to}, once. */
    RESET(TargetKind.BALANCERS, true, false),
    /** Kills the upstream's process. At {@code until_s} it starts again, in slow start. */
    CRASH(TargetKind.UPSTREAMS, false, false),
    /** The upstream's machine stops responding: connections neither open nor close. */
    VANISH(TargetKind.UPSTREAMS, false, true),
    /** The upstream is {@code amount} times slower. */
    SLOW(TargetKind.UPSTREAMS, false, true),
    /** The upstream accepts requests but completes none. */
    HANG(TargetKind.UPSTREAMS, false, true),
    /** The upstream responds with 500 to requests of {@code class}, or to all if it is not set. */
    FAIL(TargetKind.UPSTREAMS, false, true),
    /**
     * The upstream drains from {@code at_s}; at {@code until_s} its process ends and a successor
     * starts, in slow start.
     */
    REPLACE(TargetKind.UPSTREAMS, false, true),
    /** Discovery delays its updates for these balancers by {@code delay_ms}. */
    LATE(TargetKind.BALANCERS, false, true),
    /** Discovery serves these balancers the endpoint list as of the start of the fault. */
    STALE(TargetKind.BALANCERS, false, true),
    /** Discovery accepts connections of these balancers but does not respond to them. */
    SILENT(TargetKind.BALANCERS, false, true),
    /** Discovery refuses connections of these balancers and closes the open ones. */
    DENY(TargetKind.BALANCERS, false, true);

    /** The targets that {@code on} may select. */
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

    /** Returns the targets that {@code on} may select. */
    public TargetKind targetKind() {
        return targetKind;
    }

    /** Returns whether it affects the network path between {@code on} and {@code to}. */
    public boolean affectsPath() {
        return affectsPath;
    }

    /** Returns whether {@code until_s} is required. */
    public boolean requiresEnd() {
        return requiresEnd;
    }

    /** Returns the value of {@code kind} in a scenario file. */
    public String keyword() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the kind with a keyword; empty if there is none. */
    public static Optional<FaultKind> fromKeyword(String keyword) {
        return Arrays.stream(values()).filter(kind -> kind.keyword().equals(keyword)).findFirst();
    }
}
