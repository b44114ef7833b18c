package loadbalancer.testbed.modelcheck;

import java.util.Arrays;
import java.util.List;
import loadbalancer.lease.Lease;
import loadbalancer.lease.LeaseManager;
import loadbalancer.lease.LeaseTiming;
import loadbalancer.lease.VoterPromise;
import loadbalancer.testbed.modelcheck.LeaseModelChecker.InjectedBug;

/**
 * Properties of the members of the lease model: their clocks, which have different rates and
 * offsets, the start of their processes, and the epochs under which they act. Immutable.
 */
final class LeaseMembers {
    // The only slot of the model.
    static final int SLOT = 0;

    private static final long WALL_CLOCK_EPOCH_MS = 1_000_000;
    private static final long CLOCK_OFFSET_MICROS = 7_200_000_000L;
    private static final int[] CLOCK_RATES_PERCENT = {105, 95, 100, 97, 103};
    // With MARGIN_TOO_SMALL, clocks deviate by more than the timing's margin allows.
    private static final int EXCESSIVE_CLOCK_DEVIATION_FACTOR = 3;

    private final int count;
    private final LeaseTiming timing;
    private final InjectedBug injectedBug;

    LeaseMembers(int count, LeaseTiming timing, InjectedBug injectedBug) {
        this.count = count;
        this.timing = timing;
        this.injectedBug = injectedBug;
    }

    int count() {
        return count;
    }

    LeaseTiming timing() {
        return timing;
    }

    boolean hasBug(InjectedBug bug) {
        return injectedBug == bug;
    }

    /** Returns a member's monotonic clock in µs at a time of the model in µs. */
    long clockMicros(int member, long nowMicros) {
        int deviationFactor =
                hasBug(InjectedBug.MARGIN_TOO_SMALL) ? EXCESSIVE_CLOCK_DEVIATION_FACTOR : 1;
        int deviationPercent = (CLOCK_RATES_PERCENT[member] - 100) * deviationFactor;
        return CLOCK_OFFSET_MICROS * (member + 1) + nowMicros / 100 * (100 + deviationPercent);
    }

    /** Starts a member's process; {@code promises} are those on its disk, null for an empty one. */
    LeaseManager start(int member, List<VoterPromise> promises, long nowMicros) {
        long wallClockMs = WALL_CLOCK_EPOCH_MS + nowMicros / 1000;
        long processId = wallClockMs * count + member;
        long clockMicros = clockMicros(member, nowMicros);
        List<VoterPromise> recovered = promises == null ? List.of() : promises;
        LeaseManager manager =
                new LeaseManager(
                        member,
                        count,
                        timing,
                        recovered,
                        true,
                        wallClockMs,
                        processId,
                        clockMicros);
        if (hasBug(InjectedBug.SKIP_WAIT_AFTER_START)) {
            manager.onReachable(clockMicros - timing.leaseMicros());
        }
        return manager;
    }

    /** Returns a view in which all members are present. */
    boolean[] completeView() {
        boolean[] view = new boolean[count];
        Arrays.fill(view, true);
        return view;
    }

    /** Returns the epoch under which a member may act now, or 0 if it may not act. */
    long actingEpoch(LeaseClusterState state, int member) {
        if (hasBug(InjectedBug.SKIP_EXPIRY_CHECK)) {
            return state.believesHolder()[member] ? state.highestEpoch() : 0;
        }
        long clockMicros = clockMicros(member, state.nowMicros());
        return state.managers()[member]
                .currentLease(clockMicros, SLOT)
                .map(Lease::epoch)
                .orElse(0L);
    }
}
