package loadbalancer.testbed.scenario;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * The kinds of faults: whom each affects and whether it must say when it ends. Field names in code
 * font are keys of a fault in a scenario file.
 */
public enum FaultKind {
    /**
     * Kills processes; with {@code until_s} they start again after {@code state} was applied to
     * their state directories.
     */
    KILL(TargetKind.BALANCERS, false, false),
    /** Sends SIGTERM; with {@code until_s} the processes start again. */
    TERM(TargetKind.BALANCERS, false, false),
    /** Sends SIGSTOP, and SIGCONT at {@code until_s}. */
    PAUSE(TargetKind.BALANCERS, false, true),
    /**
     * Nothing passes between {@code on} and {@code to}; {@code one_way}: from {@code on} to {@code
     * to} only. TCP delivers what was sent once the fault ends.
     */
    CUT(TargetKind.ANY, true, true),
    /** Loses {@code amount} of the datagrams; that part of what TCP carries is 200 ms late. */
    LOSS(TargetKind.ANY, true, true),
    /** Adds {@code delay_ms} and a random delay of up to {@code spread_ms}. */
    DELAY(TargetKind.ANY, true, true),
    /** Duplicates {@code amount} of the datagrams, the copy {@code delay_ms} later. */
    REPEAT(TargetKind.BALANCERS, true, true),
    /** Delays {@code amount} of the datagrams by {@code delay_ms}, so that later ones overtake. */
    REORDER(TargetKind.BALANCERS, true, true),
    /** Limits the bandwidth to {@code amount} bytes per second in each direction. */
    THIN(TargetKind.ANY, true, true),
    /** Refuses connections from {@code on} to {@code to}. */
    REFUSE(TargetKind.BALANCERS, true, true),
    /** Resets all connections from {@code on} to {@code to}, once. */
    RESET(TargetKind.BALANCERS, true, false),
    /** Kills the upstream's process; at {@code until_s} it starts again, in slow start. */
    CRASH(TargetKind.UPSTREAMS, false, false),
    /** The upstream's machine stops answering: connections neither open nor close. */
    VANISH(TargetKind.UPSTREAMS, false, true),
    /** The upstream is {@code amount} times slower. */
    SLOW(TargetKind.UPSTREAMS, false, true),
    /** The upstream accepts requests and completes none. */
    HANG(TargetKind.UPSTREAMS, false, true),
    /** The upstream responds with 500 to requests of {@code class}, or to all. */
    FAIL(TargetKind.UPSTREAMS, false, true),
    /**
     * The upstream drains from {@code at_s}; at {@code until_s} its process ends and a successor
     * starts, in slow start.
     */
    REPLACE(TargetKind.UPSTREAMS, false, true),
    /** Updates of discovery reach these balancers {@code delay_ms} later. */
    LATE(TargetKind.BALANCERS, false, true),
    /** Discovery serves these balancers the list as it was when the fault began. */
    STALE(TargetKind.BALANCERS, false, true),
    /** Discovery accepts connections of these balancers and responds to nothing. */
    SILENT(TargetKind.BALANCERS, false, true),
    /** Discovery refuses connections of these balancers and closes the open ones. */
    DENY(TargetKind.BALANCERS, false, true);

    /** What {@code on} may select. */
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

    /** What {@code on} may select. */
    public TargetKind targetKind() {
        return targetKind;
    }

    /** Whether it affects what lies between {@code on} and {@code to}. */
    public boolean affectsPath() {
        return affectsPath;
    }

    /** Whether {@code until_s} is required. */
    public boolean requiresEnd() {
        return requiresEnd;
    }

    /** The value of {@code kind} in a scenario file. */
    public String keyword() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The kind with that keyword; empty if there is none. */
    public static Optional<FaultKind> fromKeyword(String keyword) {
        return Arrays.stream(values()).filter(kind -> kind.keyword().equals(keyword)).findFirst();
    }
}
