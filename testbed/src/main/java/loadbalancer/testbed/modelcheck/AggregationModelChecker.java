package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import loadbalancer.routing.gossip.BlockPartition;
import loadbalancer.routing.gossip.FleetLoadAggregator;

/**
 * Checks a few balancers of {@link FleetLoadAggregator} under datagrams late by up to a step of
 * time, in any order, lost and duplicated, balancers that crash and start again, and a partition
 * into halves. In each state every record reports a total that its block had at the record's time
 * or later, apart from the time in transit, which a record's age leaves out; from a part of the
 * states, once faults end, all live balancers must come to know the total of the live ones.
 */
public final class AggregationModelChecker
        implements StateSpaceSearch.Model<AggregationModelChecker.ClusterState> {
    // By how much time advances in one step
    private static final long STEP_MICROS = 250_000;
    private static final long START_MICROS = 1_000_000_000L;
    // Beyond it the oldest datagrams are lost.
    private static final int MAX_IN_FLIGHT = 5;
    // How long after the last fault totals must be right
    private static final long CONVERGENCE_MICROS = 2 * FleetLoadAggregator.EXPIRY_MICROS;

    private final BlockPartition blocks;
    private final InjectedBug injectedBug;

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

    /**
     * A state of all balancers and datagrams. Arrays are shared between states and never modified.
     *
     * @param rateHistory by block: the totals of its live balancers, newest last
     * @param from the state before; null at the start
     * @param step what led here
     */
    record ClusterState(
            FleetLoadAggregator[] members,
            boolean[] down,
            boolean partitioned,
            List<InFlightMessage> inFlight,
            long now,
            int remainingFaults,
            List<List<RateSince>> rateHistory,
            ClusterState from,
            String step)
            implements StateSpaceSearch.State<ClusterState> {}

    /** A block's total and since when it holds. */
    record RateSince(long sinceMicros, int rateBits) {}

    record InFlightMessage(long sentAtMicros, int from, int to, byte[] payload) {}

    /** Creates a checker of a partition into few blocks of few balancers. */
    public AggregationModelChecker(BlockPartition partition, InjectedBug injectedBug) {
        this.blocks = partition;
        this.injectedBug = injectedBug;
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
        return new StateSpaceSearch<>(this)
                .randomWalk(
                        initialState(maxFaults),
                        maxStates,
                        stepsPerWalk,
                        convergenceCheckInterval,
                        seed);
    }

    /** Explores from the newest state and from a random one in turn; see {@link #randomWalk}. */
    public CheckResult explore(
            long maxStates, int maxFaults, int convergenceCheckInterval, long seed) {
        return new StateSpaceSearch<>(this)
                .explore(initialState(maxFaults), maxStates, convergenceCheckInterval, seed);
    }

    private ClusterState initialState(int maxFaults) {
        FleetLoadAggregator[] members = new FleetLoadAggregator[blocks.balancerCount()];
        for (int memberIndex = 0; memberIndex < members.length; memberIndex++) {
            members[memberIndex] = new FleetLoadAggregator(memberIndex, blocks);
        }
        boolean[] down = new boolean[members.length];
        List<List<RateSince>> rateHistory = new ArrayList<>();
        for (int block = 0; block < blocks.blockCount(); block++) {
            rateHistory.add(List.of(new RateSince(START_MICROS, rateBits(block, down))));
        }
        return new ClusterState(
                members,
                down,
                false,
                List.of(),
                START_MICROS,
                maxFaults,
                rateHistory,
                null,
                "all start");
    }

    // Each balancer's rate is a bit of its own, so that a total shows whose rates it contains.
    private int rateBits(int block, boolean[] down) {
        int bits = 0;
        for (int memberIndex = blocks.firstBalancer(block);
                memberIndex < blocks.firstBalancer(block) + blocks.blockSize(block);
                memberIndex++) {
            bits |= down[memberIndex] ? 0 : 1 << memberIndex;
        }
        return bits;
    }

    @Override
    public boolean isFaultTransition(ClusterState before, ClusterState state) {
        return state.remainingFaults < before.remainingFaults;
    }

    @Override
    public long fingerprint(ClusterState state) {
        long hash =
                state.remainingFaults * 2L
                        + (state.partitioned ? 1 : 0)
                        + Math.floorMod(state.now, FleetLoadAggregator.ROUND_MICROS);
        for (int memberIndex = 0; memberIndex < state.members.length; memberIndex++) {
            hash =
                    hash * 1_000_003
                            + (state.down[memberIndex]
                                    ? 1
                                    : state.members[memberIndex].fingerprint(state.now));
        }
        return Fingerprints.of(
                hash,
                state.inFlight,
                message ->
                        Fingerprints.messageHash(
                                message.from, message.to, Arrays.hashCode(message.payload)));
    }

    // ------------------------------------------------------------ transitions

    @Override
    public List<ClusterState> successors(ClusterState state) {
        List<ClusterState> successors = new ArrayList<>();
        for (int i = 0; i < state.inFlight.size(); i++) {
            InFlightMessage message = state.inFlight.get(i);
            List<InFlightMessage> remaining = new ArrayList<>(state.inFlight);
            remaining.remove(i);
            successors.add(deliver(state, message, remaining, state.remainingFaults, "arrives"));
            if (state.remainingFaults > 0) {
                successors.add(
                        new ClusterState(
                                state.members,
                                state.down,
                                state.partitioned,
                                remaining,
                                state.now,
                                state.remainingFaults - 1,
                                state.rateHistory,
                                state,
                                describe(message) + " is lost"));
                successors.add(
                        deliver(
                                state,
                                message,
                                state.inFlight,
                                state.remainingFaults - 1,
                                "arrives, and will once more"));
            }
        }
        successors.add(advanceTime(state));
        if (state.remainingFaults > 0) {
            for (int memberIndex = 0; memberIndex < state.members.length; memberIndex++) {
                successors.add(toggleMember(state, memberIndex));
            }
            successors.add(
                    new ClusterState(
                            state.members,
                            state.down,
                            !state.partitioned,
                            state.inFlight,
                            state.now,
                            state.remainingFaults - 1,
                            state.rateHistory,
                            state,
                            state.partitioned
                                    ? "the halves are joined"
                                    : "the halves are cut apart"));
        }
        return successors;
    }

    private static String describe(InFlightMessage message) {
        return "the datagram of n" + message.from + " to n" + message.to;
    }

    private boolean isPartitioned(ClusterState state, int first, int second) {
        return state.partitioned
                && (first < state.members.length / 2) != (second < state.members.length / 2);
    }

    private ClusterState deliver(
            ClusterState state,
            InFlightMessage message,
            List<InFlightMessage> remaining,
            int remainingFaults,
            String outcome) {
        if (state.down[message.to] || isPartitioned(state, message.from, message.to)) {
            return new ClusterState(
                    state.members,
                    state.down,
                    state.partitioned,
                    remaining,
                    state.now,
                    remainingFaults,
                    state.rateHistory,
                    state,
                    describe(message) + " finds nobody");
        }
        FleetLoadAggregator[] members = state.members.clone();
        members[message.to] = new FleetLoadAggregator(members[message.to]);
        receive(members[message.to], state.now, message);
        return new ClusterState(
                members,
                state.down,
                state.partitioned,
                remaining,
                state.now,
                remainingFaults,
                state.rateHistory,
                state,
                describe(message) + " " + outcome);
    }

    private void receive(FleetLoadAggregator aggregator, long nowMicros, InFlightMessage message) {
        byte[] payload = message.payload;
        if (injectedBug == InjectedBug.REDUCE_AGE_IN_TRANSIT) {
            payload = payload.clone();
            for (int i = 5; i < payload.length; i += 5) {
                payload[i] = (byte) Math.max(0, (payload[i] & 255) - 10);
            }
        }
        aggregator.onDatagram(nowMicros, message.from, payload);
    }

    private void tick(
            FleetLoadAggregator[] members,
            boolean[] down,
            int memberIndex,
            long nowMicros,
            List<InFlightMessage> inFlight) {
        int block = blocks.blockOf(memberIndex);
        int presentCount = 0;
        for (int i = blocks.firstBalancer(block);
                i < blocks.firstBalancer(block) + blocks.blockSize(block);
                i++) {
            presentCount += down[i] ? 0 : 1;
        }
        members[memberIndex].ownBlock(nowMicros, presentCount, rateBits(block, down));
        FleetLoadAggregator aggregator = members[memberIndex];
        aggregator.tick(
                nowMicros,
                i -> !down[i],
                (recipient, payload) -> {
                    boolean muted =
                            injectedBug == InjectedBug.ONLY_FIRST_REPORTS
                                    && memberIndex != blocks.firstBalancer(block);
                    boolean skipped =
                            injectedBug == InjectedBug.NEVER_PROBE_UNKNOWN_BLOCKS
                                    && !aggregator.hasCurrentRecord(
                                            nowMicros, blocks.blockOf(recipient))
                                    && nowMicros - START_MICROS > FleetLoadAggregator.EXPIRY_MICROS;
                    if (!muted && !skipped) {
                        inFlight.add(
                                new InFlightMessage(nowMicros, memberIndex, recipient, payload));
                    }
                });
    }

    private ClusterState advanceTime(ClusterState state) {
        long nowMicros = state.now + STEP_MICROS;
        FleetLoadAggregator[] members = state.members.clone();
        List<InFlightMessage> inFlight =
                new ArrayList<>(
                        state.inFlight.stream()
                                .filter(message -> message.sentAtMicros == state.now)
                                .toList());
        for (int memberIndex = 0; memberIndex < members.length; memberIndex++) {
            if (!state.down[memberIndex]) {
                members[memberIndex] = new FleetLoadAggregator(members[memberIndex]);
                tick(members, state.down, memberIndex, nowMicros, inFlight);
            }
        }
        while (inFlight.size() > MAX_IN_FLIGHT) {
            inFlight.remove(0);
        }
        return new ClusterState(
                members,
                state.down,
                state.partitioned,
                inFlight,
                nowMicros,
                state.remainingFaults,
                state.rateHistory,
                state,
                "time passes");
    }

    private ClusterState toggleMember(ClusterState state, int memberIndex) {
        boolean[] down = state.down.clone();
        down[memberIndex] = !down[memberIndex];
        FleetLoadAggregator[] members = state.members.clone();
        if (!down[memberIndex]) {
            members[memberIndex] = new FleetLoadAggregator(memberIndex, blocks);
        }
        List<List<RateSince>> rateHistory = new ArrayList<>(state.rateHistory);
        int block = blocks.blockOf(memberIndex);
        List<RateSince> blockHistory = new ArrayList<>(rateHistory.get(block));
        blockHistory.add(new RateSince(state.now, rateBits(block, down)));
        rateHistory.set(block, blockHistory);
        return new ClusterState(
                members,
                down,
                state.partitioned,
                state.inFlight,
                state.now,
                state.remainingFaults - 1,
                rateHistory,
                state,
                "n" + memberIndex + (down[memberIndex] ? " crashes" : " starts"));
    }

    // ------------------------------------------------------------ checks

    @Override
    public String findViolation(ClusterState before, ClusterState state) {
        for (int memberIndex = 0; memberIndex < state.members.length; memberIndex++) {
            for (int block = 0; !state.down[memberIndex] && block < blocks.blockCount(); block++) {
                FleetLoadAggregator.LoadTotal knownTotal =
                        state.members[memberIndex].blockTotal(state.now, block);
                // A record is passed on a step after it arrived at the soonest, so that at most
                // half
                // of the time since it was made is transit, which its age leaves out.
                if (knownTotal != null
                        && !hadRateSince(
                                state,
                                block,
                                state.now - 2 * knownTotal.ageMicros() - STEP_MICROS,
                                (int) knownTotal.requestsPerSecond())) {
                    return "n"
                            + memberIndex
                            + " takes block "
                            + block
                            + " to have had "
                            + Long.toBinaryString((long) knownTotal.requestsPerSecond())
                            + " "
                            + knownTotal.ageMicros() / 1000
                            + " ms ago, and it had not since";
                }
            }
        }
        return "";
    }

    // Whether a block had that total at that time or later. What a balancer reports of its own
    // block may be as old as its latest tick.
    private static boolean hadRateSince(
            ClusterState state, int block, long sinceMicros, int expectedBits) {
        List<RateSince> blockHistory = state.rateHistory.get(block);
        for (int i = 0; i < blockHistory.size(); i++) {
            long untilMicros =
                    i + 1 < blockHistory.size()
                            ? blockHistory.get(i + 1).sinceMicros
                            : Long.MAX_VALUE;
            if (blockHistory.get(i).rateBits == expectedBits && untilMicros >= sinceMicros) {
                return true;
            }
        }
        return false;
    }

    // The halves are joined; balancers that are down stay down.
    @Override
    public String findConvergenceViolation(ClusterState state) {
        FleetLoadAggregator[] members =
                Arrays.stream(state.members)
                        .map(FleetLoadAggregator::new)
                        .toArray(FleetLoadAggregator[]::new);
        long nowMicros = state.now;
        for (long endMicros = nowMicros + CONVERGENCE_MICROS;
                nowMicros < endMicros;
                nowMicros += STEP_MICROS) {
            List<InFlightMessage> inFlight = new ArrayList<>();
            for (int memberIndex = 0; memberIndex < members.length; memberIndex++) {
                if (!state.down[memberIndex]) {
                    tick(members, state.down, memberIndex, nowMicros, inFlight);
                }
            }
            for (InFlightMessage message : inFlight) {
                if (!state.down[message.to]) {
                    receive(members[message.to], nowMicros, message);
                }
            }
        }
        int liveBits = 0;
        for (int memberIndex = 0; memberIndex < members.length; memberIndex++) {
            liveBits |= state.down[memberIndex] ? 0 : 1 << memberIndex;
        }
        for (int memberIndex = 0; memberIndex < members.length; memberIndex++) {
            for (int block = 0; !state.down[memberIndex] && block < blocks.blockCount(); block++) {
                FleetLoadAggregator.LoadTotal knownTotal =
                        members[memberIndex].blockTotal(nowMicros, block);
                int knownBits = knownTotal == null ? 0 : (int) knownTotal.requestsPerSecond();
                if (knownBits != rateBits(block, state.down)) {
                    return "n"
                            + memberIndex
                            + " knows "
                            + Integer.toBinaryString(knownBits)
                            + " of block "
                            + block
                            + " and "
                            + Integer.toBinaryString(liveBits)
                            + " live, "
                            + CONVERGENCE_MICROS / 1000
                            + " ms after the last fault";
                }
            }
        }
        return "";
    }
}
