package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import loadbalancer.routing.gossip.BlockPartition;
import loadbalancer.routing.gossip.FleetLoadAggregator;
import loadbalancer.testbed.modelcheck.AggregationClusterState.InFlightDatagram;
import loadbalancer.testbed.modelcheck.AggregationClusterState.RateSince;

/**
 * Checks {@link FleetLoadAggregator} with a few balancers. Datagrams are delayed by up to one time
 * step, reordered, lost and duplicated, balancers crash and restart, and the fleet is partitioned
 * into two halves. In each state every record must report a total that its block had at the
 * record's time or later; the time in transit, which a record's age does not include, is allowed
 * for. From some of the states, once faults end, all live balancers must learn the totals of the
 * live balancers. Used by one thread.
 */
public final class AggregationModelChecker
        implements StateSpaceSearch.Model<AggregationClusterState> {
    private static final long STEP_MICROS = AggregationTransitions.STEP_MICROS;
    // Time after the last fault within which totals must become right.
    private static final long CONVERGENCE_MICROS = 2 * FleetLoadAggregator.EXPIRY_MICROS;

    private final BlockPartition blocks;
    private final AggregationTransitions transitions;

    /** A bug that a test injects to show that the check detects it. */
    public enum InjectedBug {
        NONE,
        /** A record's age decreases in transit. */
        REDUCE_AGE_IN_TRANSIT,
        /** Only the first balancer of a block reports. */
        ONLY_FIRST_REPORTS,
        /** A balancer sends no datagrams to blocks of which it has no current record. */
        NEVER_PROBE_UNKNOWN_BLOCKS
    }

    /** Creates a checker of a partition into few blocks of few balancers. */
    public AggregationModelChecker(BlockPartition partition, InjectedBug injectedBug) {
        this.blocks = partition;
        this.transitions = new AggregationTransitions(partition, injectedBug);
    }

    /**
     * Explores by long random walks until {@code maxStates} distinct states have been visited.
     *
     * @param maxFaults maximum number of crashes, restarts, partition changes, losses and
     *     duplicates on one path
     * @param stepsPerWalk number of steps of one walk
     * @param convergenceCheckInterval convergence is checked from one in this many states
     */
    public CheckResult randomWalk(
            long maxStates,
            int maxFaults,
            int stepsPerWalk,
            int convergenceCheckInterval,
            long seed) {
        return new StateSpaceSearch<>(transitions, this)
                .randomWalk(maxStates, maxFaults, stepsPerWalk, convergenceCheckInterval, seed);
    }

    /**
     * Explores as often from the newest state as from a random one. The parameters are those of
     * {@link #randomWalk}.
     */
    public CheckResult explore(
            long maxStates, int maxFaults, int convergenceCheckInterval, long seed) {
        return new StateSpaceSearch<>(transitions, this)
                .explore(maxStates, maxFaults, convergenceCheckInterval, seed);
    }

    @Override
    public long fingerprint(AggregationClusterState state) {
        long hash =
                state.remainingFaults() * 2L
                        + (state.partitioned() ? 1 : 0)
                        + Math.floorMod(state.nowMicros(), FleetLoadAggregator.ROUND_MICROS);
        for (int member = 0; member < state.members().length; member++) {
            hash = hash * 1_000_003 + processHash(state, member);
        }
        return Fingerprints.combine(
                hash,
                state.inFlight(),
                datagram ->
                        Fingerprints.messageHash(
                                datagram.from(),
                                datagram.to(),
                                Arrays.hashCode(datagram.payload())));
    }

    private static long processHash(AggregationClusterState state, int member) {
        return state.down()[member] ? 1 : state.members()[member].fingerprint(state.nowMicros());
    }

    @Override
    public String findViolation(AggregationClusterState before, AggregationClusterState state) {
        for (int member = 0; member < state.members().length; member++) {
            for (int block = 0; !state.down()[member] && block < blocks.blockCount(); block++) {
                // Null if the member knows no total of the block.
                FleetLoadAggregator.LoadTotal knownTotal =
                        state.members()[member].blockTotal(state.nowMicros(), block);
                if (knownTotal != null && !isPossible(state, block, knownTotal)) {
                    return String.format(
                            Locale.ROOT,
                            "n%d knows for block %d the total %s of %d ms ago, which it has not had since",
                            member,
                            block,
                            Long.toBinaryString((long) knownTotal.requestsPerSecond()),
                            knownTotal.ageMicros() / 1000);
                }
            }
        }
        return "";
    }

    // A record is forwarded one step after its arrival at the earliest, so that at most half of the
    // time since it was made was spent in transit, which its age does not include.
    private static boolean isPossible(
            AggregationClusterState state, int block, FleetLoadAggregator.LoadTotal total) {
        long sinceMicros = state.nowMicros() - 2 * total.ageMicros() - STEP_MICROS;
        return hadRateSince(state, block, sinceMicros, (int) total.requestsPerSecond());
    }

    // Returns whether a block had that total at that time or later. The total that a balancer
    // reports of its own block may be as old as its latest tick.
    private static boolean hadRateSince(
            AggregationClusterState state, int block, long sinceMicros, int expectedBits) {
        List<RateSince> blockHistory = state.rateHistory().get(block);
        for (int i = 0; i < blockHistory.size(); i++) {
            long untilMicros =
                    i + 1 < blockHistory.size()
                            ? blockHistory.get(i + 1).sinceMicros()
                            : Long.MAX_VALUE;
            if (blockHistory.get(i).rateBits() == expectedBits && untilMicros >= sinceMicros) {
                return true;
            }
        }
        return false;
    }

    // The partition ends; balancers that are down stay down.
    @Override
    public String findConvergenceViolation(AggregationClusterState state) {
        FleetLoadAggregator[] members =
                Arrays.stream(state.members())
                        .map(FleetLoadAggregator::new)
                        .toArray(FleetLoadAggregator[]::new);
        long nowMicros = state.nowMicros();
        long endMicros = nowMicros + CONVERGENCE_MICROS;
        for (; nowMicros < endMicros; nowMicros += STEP_MICROS) {
            runFaultFreeStep(members, state.down(), nowMicros);
        }
        for (int member = 0; member < members.length; member++) {
            for (int block = 0; !state.down()[member] && block < blocks.blockCount(); block++) {
                int knownBits = knownBits(members[member], nowMicros, block);
                if (knownBits != transitions.rateBits(block, state.down())) {
                    return describeWrongTotal(member, block, knownBits, state.down());
                }
            }
        }
        return "";
    }

    private void runFaultFreeStep(FleetLoadAggregator[] members, boolean[] down, long nowMicros) {
        List<InFlightDatagram> inFlight = new ArrayList<>();
        for (int member = 0; member < members.length; member++) {
            if (!down[member]) {
                transitions.tick(members[member], down, member, nowMicros, inFlight);
            }
        }
        for (InFlightDatagram datagram : inFlight) {
            if (!down[datagram.to()]) {
                transitions.receive(members[datagram.to()], nowMicros, datagram);
            }
        }
    }

    private static int knownBits(FleetLoadAggregator member, long nowMicros, int block) {
        FleetLoadAggregator.LoadTotal knownTotal = member.blockTotal(nowMicros, block);
        return knownTotal == null ? 0 : (int) knownTotal.requestsPerSecond();
    }

    private static String describeWrongTotal(int member, int block, int knownBits, boolean[] down) {
        int liveBits = 0;
        for (int other = 0; other < down.length; other++) {
            liveBits |= down[other] ? 0 : 1 << other;
        }
        return String.format(
                Locale.ROOT,
                "n%d knows the total %s of block %d with live balancers %s, %d ms after the last fault",
                member,
                Integer.toBinaryString(knownBits),
                block,
                Integer.toBinaryString(liveBits),
                CONVERGENCE_MICROS / 1000);
    }
}
