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
 * Checks a few balancers of {@link FleetLoadAggregator} under datagrams late by up to a step of
 * time, in any order, lost and duplicated, balancers that crash and start again, and a partition
 * into halves. In each state every record reports a total that its block had at the record's time
 * or later, apart from the time in transit, which a record's age leaves out; from a part of the
 * states, once faults end, all live balancers must come to know the total of the live ones.
 */
public final class AggregationModelChecker
        implements StateSpaceSearch.Model<AggregationClusterState> {
    private static final long STEP_MICROS = AggregationTransitions.STEP_MICROS;
    // How long after the last fault totals must be right
    private static final long CONVERGENCE_MICROS = 2 * FleetLoadAggregator.EXPIRY_MICROS;

    private final BlockPartition blocks;
    private final AggregationTransitions transitions;

    /** A bug built into the model, to show that the check finds it. */
    public enum InjectedBug {
        NONE,
        /** A record's age decreases in transit. */
        REDUCE_AGE_IN_TRANSIT,
        /** Only the first balancer of a block reports. */
        ONLY_FIRST_REPORTS,
        /** No datagrams go to blocks of which no current record is known. */
        NEVER_PROBE_UNKNOWN_BLOCKS
    }

    /** Creates a checker of a partition into few blocks of few balancers. */
    public AggregationModelChecker(BlockPartition partition, InjectedBug injectedBug) {
        this.blocks = partition;
        this.transitions = new AggregationTransitions(partition, injectedBug);
    }

    /**
     * Explores by long random walks until that many distinct states were visited.
     *
     * @param maxFaults upper bound of crashes, starts, partitions, losses and duplicates on one
     *     path
     * @param convergenceCheckInterval from one state in that many it is checked whether totals come
     *     to be right
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

    /** Explores from the newest state and from a random one in turn; see {@link #randomWalk}. */
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
        return Fingerprints.of(
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

    // ------------------------------------------------------------ checks

    @Override
    public String findViolation(AggregationClusterState before, AggregationClusterState state) {
        for (int member = 0; member < state.members().length; member++) {
            for (int block = 0; !state.down()[member] && block < blocks.blockCount(); block++) {
                // Null where the member knows no total of the block
                FleetLoadAggregator.LoadTotal knownTotal =
                        state.members()[member].blockTotal(state.nowMicros(), block);
                if (knownTotal != null && !isPossible(state, block, knownTotal)) {
                    return String.format(
                            Locale.ROOT,
                            "n%d takes block %d to have had %s %d ms ago, and it had not since",
                            member,
                            block,
                            Long.toBinaryString((long) knownTotal.requestsPerSecond()),
                            knownTotal.ageMicros() / 1000);
                }
            }
        }
        return "";
    }

    // A record is passed on a step after it arrived at the soonest, so that at most half of the
    // time since it was made is transit, which its age leaves out.
    private static boolean isPossible(
            AggregationClusterState state, int block, FleetLoadAggregator.LoadTotal total) {
        long sinceMicros = state.nowMicros() - 2 * total.ageMicros() - STEP_MICROS;
        return hadRateSince(state, block, sinceMicros, (int) total.requestsPerSecond());
    }

    // Whether a block had that total at that time or later. What a balancer reports of its own
    // block may be as old as its latest tick.
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

    // The halves are joined; balancers that are down stay down.
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
                "n%d knows %s of block %d and %s live, %d ms after the last fault",
                member,
                Integer.toBinaryString(knownBits),
                block,
                Integer.toBinaryString(liveBits),
                CONVERGENCE_MICROS / 1000);
    }
}
