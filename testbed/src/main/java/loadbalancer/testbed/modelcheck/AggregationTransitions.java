package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.routing.gossip.BlockPartition;
import loadbalancer.routing.gossip.FleetLoadAggregator;
import loadbalancer.testbed.modelcheck.AggregationClusterState.InFlightDatagram;
import loadbalancer.testbed.modelcheck.AggregationClusterState.RateSince;
import loadbalancer.testbed.modelcheck.AggregationModelChecker.InjectedBug;

/**
 * The events of the aggregation model: datagrams arrive or are lost, time passes, balancers crash
 * and restart, and a partition of the fleet begins or ends. The order of successors is fixed
 * because it determines which states a seed visits. Immutable.
 */
final class AggregationTransitions implements ClusterTransitions<AggregationClusterState> {
    /** Duration of one time step in µs. */
    static final long STEP_MICROS = 250_000;

    private static final long START_MICROS = 1_000_000_000L;
    // The oldest datagrams are lost beyond this limit.
    private static final int MAX_IN_FLIGHT = 5;
    // A datagram has a header of 4 bytes. A record consists of a byte for its block, a byte for its
    // age and three more bytes.
    private static final int FIRST_AGE_OFFSET = 5;
    private static final int RECORD_BYTES = 5;
    private static final int AGE_REDUCTION = 10;
    private static final int BYTE_MASK = 255;

    private final BlockPartition blocks;
    private final InjectedBug injectedBug;

    AggregationTransitions(BlockPartition blocks, InjectedBug injectedBug) {
        this.blocks = blocks;
        this.injectedBug = injectedBug;
    }

    @Override
    public AggregationClusterState initialState(int maxFaults) {
        FleetLoadAggregator[] members = new FleetLoadAggregator[blocks.balancerCount()];
        for (int member = 0; member < members.length; member++) {
            members[member] = new FleetLoadAggregator(member, blocks);
        }
        boolean[] down = new boolean[members.length];
        List<List<RateSince>> rateHistory = new ArrayList<>();
        for (int block = 0; block < blocks.blockCount(); block++) {
            rateHistory.add(List.of(new RateSince(START_MICROS, rateBits(block, down))));
        }
        return new AggregationClusterState(
                members,
                down,
                false,
                List.of(),
                START_MICROS,
                maxFaults,
                rateHistory,
                null,
                "all processes start");
    }

    /**
     * Returns the total of a block's live balancers. The rate of each balancer is a distinct bit,
     * so that a total shows which balancers it includes.
     */
    int rateBits(int block, boolean[] down) {
        int bits = 0;
        for (int member = blocks.firstBalancer(block); member < endOfBlock(block); member++) {
            bits |= down[member] ? 0 : 1 << member;
        }
        return bits;
    }

    private int endOfBlock(int block) {
        return blocks.firstBalancer(block) + blocks.blockSize(block);
    }

    @Override
    public List<AggregationClusterState> successors(AggregationClusterState state) {
        List<AggregationClusterState> successors = new ArrayList<>();
        addMessageEvents(state, state.inFlight().size(), successors);
        successors.add(advanceTime(state));
        if (state.remainingFaults() > 0) {
            for (int member = 0; member < state.members().length; member++) {
                successors.add(toggleMember(state, member));
            }
            successors.add(togglePartition(state));
        }
        return successors;
    }

    private static AggregationClusterBuilder builderWithFault(AggregationClusterState state) {
        AggregationClusterBuilder builder = new AggregationClusterBuilder(state);
        builder.consumeFault();
        return builder;
    }

    @Override
    public boolean canArrive(AggregationClusterState state, int index) {
        return true;
    }

    @Override
    public AggregationClusterState deliver(
            AggregationClusterState state, int index, boolean duplicated) {
        InFlightDatagram datagram = state.inFlight().get(index);
        AggregationClusterBuilder builder = new AggregationClusterBuilder(state);
        if (duplicated) {
            builder.consumeFault();
        } else {
            builder.removeDatagram(index);
        }
        if (state.down()[datagram.to()] || isSeparated(state, datagram.from(), datagram.to())) {
            return builder.build(datagram + " is not received: recipient down or partitioned");
        }
        receive(builder.copyMember(datagram.to()), state.nowMicros(), datagram);
        return builder.build(datagram + ClusterTransitions.describeArrival(duplicated));
    }

    @Override
    public AggregationClusterState lose(AggregationClusterState state, int index) {
        AggregationClusterBuilder builder = builderWithFault(state);
        builder.removeDatagram(index);
        return builder.build(state.inFlight().get(index) + " is lost");
    }

    private static boolean isSeparated(AggregationClusterState state, int first, int second) {
        int half = state.members().length / 2;
        return state.partitioned() && (first < half) != (second < half);
    }

    /** Delivers a datagram to a balancer; an injected bug may change the ages in it. */
    void receive(FleetLoadAggregator recipient, long nowMicros, InFlightDatagram datagram) {
        byte[] payload = datagram.payload();
        if (injectedBug == InjectedBug.REDUCE_AGE_IN_TRANSIT) {
            payload = payload.clone();
            for (int i = FIRST_AGE_OFFSET; i < payload.length; i += RECORD_BYTES) {
                payload[i] = (byte) Math.max(0, (payload[i] & BYTE_MASK) - AGE_REDUCTION);
            }
        }
        recipient.onDatagram(nowMicros, datagram.from(), payload);
    }

    private AggregationClusterState advanceTime(AggregationClusterState state) {
        AggregationClusterBuilder builder = new AggregationClusterBuilder(state);
        builder.advanceTime(STEP_MICROS);
        // A datagram is delayed by one step at most.
        List<InFlightDatagram> inFlight =
                new ArrayList<>(
                        state.inFlight().stream()
                                .filter(datagram -> datagram.sentAtMicros() == state.nowMicros())
                                .toList());
        for (int member = 0; member < state.members().length; member++) {
            if (!state.down()[member]) {
                FleetLoadAggregator aggregator = builder.copyMember(member);
                tick(aggregator, state.down(), member, builder.nowMicros(), inFlight);
            }
        }
        while (inFlight.size() > MAX_IN_FLIGHT) {
            inFlight.remove(0);
        }
        builder.setInFlight(inFlight);
        return builder.build("time passes");
    }

    /** Runs a balancer's tick and adds the datagrams that it sends to those in flight. */
    void tick(
            FleetLoadAggregator aggregator,
            boolean[] down,
            int member,
            long nowMicros,
            List<InFlightDatagram> inFlight) {
        int block = blocks.blockOf(member);
        int presentCount = Integer.bitCount(rateBits(block, down));
        aggregator.setOwnBlockRecord(nowMicros, presentCount, rateBits(block, down));
        aggregator.tick(
                nowMicros,
                other -> !down[other],
                (recipient, payload) -> {
                    if (!isSuppressed(aggregator, member, recipient, nowMicros)) {
                        inFlight.add(new InFlightDatagram(nowMicros, member, recipient, payload));
                    }
                });
    }

    // Returns whether an injected bug prevents a datagram from being sent.
    private boolean isSuppressed(
            FleetLoadAggregator sender, int member, int recipient, long nowMicros) {
        return switch (injectedBug) {
            case ONLY_FIRST_REPORTS -> member != blocks.firstBalancer(blocks.blockOf(member));
            case NEVER_PROBE_UNKNOWN_BLOCKS ->
                    !sender.hasCurrentRecord(nowMicros, blocks.blockOf(recipient))
                            && nowMicros - START_MICROS > FleetLoadAggregator.EXPIRY_MICROS;
            default -> false;
        };
    }

    private AggregationClusterState toggleMember(AggregationClusterState state, int member) {
        AggregationClusterBuilder builder = builderWithFault(state);
        boolean down = !state.down()[member];
        builder.setDown(member, down);
        if (!down) {
            builder.replaceMember(member, new FleetLoadAggregator(member, blocks));
        }
        int block = blocks.blockOf(member);
        builder.addRate(block, rateBits(block, builder.down()));
        return builder.build("n" + member + (down ? " crashes" : " starts"));
    }

    private static AggregationClusterState togglePartition(AggregationClusterState state) {
        AggregationClusterBuilder builder = builderWithFault(state);
        builder.togglePartition();
        return builder.build(state.partitioned() ? "the partition ends" : "a partition begins");
    }
}
