package loadbalancer.routing.gossip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * Aggregates the request rate over a fleet by recursive doubling over blocks of balancers (a
 * Hillis-Steele scan, as used for all-reduce), in both directions of a ring of blocks.
 *
 * <p>Each balancer receives load reports directly from the others in its block and knows the block
 * sum. In step k of a round it sends to the blocks at distance 2^k forward and backward the records
 * of the 2^k consecutive blocks that end with its own. After log2(blocks) steps each balancer has a
 * record of every block. Records are forwarded unchanged instead of as partial sums, so duplicated,
 * late or rerouted datagrams can't count twice. The number of datagrams grows with the logarithm of
 * the fleet size, and their bytes by 0.6 per second for each balancer (a record of 5 bytes per
 * block of 16, in both directions).
 *
 * <p>A record contains its age, which excludes time in transit. The youngest record of a block
 * counts, until it is older than {@link #EXPIRY_MICROS}. The ring consists of the blocks with a
 * current record: unreachable blocks leave it when their record expires, and each balancer probes
 * one of them per round. The live balancers of a block divide the receivers among themselves,
 * differently in each round.
 *
 * <p>A pure state machine: time and datagrams are its input, datagrams its output. Not thread-safe;
 * the routing policy calls it on the event loop's thread.
 */
public final class FleetLoadAggregator {
    /** Duration of a round, in which each step is executed once. */
    public static final long ROUND_MICROS = 1_000_000;

    /** Age after which a record no longer counts. */
    public static final long EXPIRY_MICROS = 5_000_000;

    // Upper bound on a block's mean rate per balancer, as a multiple of the median block's. It
    // limits the effect of a faulty balancer that reports an implausible rate.
    private static final double MAX_RATE_SKEW = 8;

    // More receivers per sender are needed only if three quarters of the sender's block are down.
    private static final int MAX_TARGETS_PER_BLOCK = 4;

    // Directions around the ring in which the records of a datagram are ordered.
    private static final int BACKWARD = -1;
    private static final int FORWARD = 1;

    private final BlockPartition partition;
    private final int ownRank;
    private final int ownBlock;

    // The record of each block, indexed by block. A present count of 0 means no record yet.
    private final int[] blockRates;
    private final int[] presentCounts;
    private final long[] observedAtMicros;

    private long lastStepIndex = Long.MIN_VALUE;

    /** Sends a datagram to another balancer. */
    public interface DatagramSender {
        /** Sends {@code datagram} to the balancer with the number {@code recipient}. */
        void send(int recipient, byte[] datagram);
    }

    /**
     * Combined load of several balancers.
     *
     * @param requestsPerSecond requests per second that they receive
     * @param presentCount number of balancers present
     * @param ageMicros age of the oldest record included, µs
     */
    public record LoadTotal(double requestsPerSecond, int presentCount, long ageMicros) {}

    /** Creates the aggregator of the balancer with the number {@code ownRank}, without records. */
    public FleetLoadAggregator(int ownRank, BlockPartition partition) {
        this.partition = partition;
        this.ownRank = ownRank;
        this.ownBlock = partition.blockOf(ownRank);
        this.blockRates = new int[partition.blockCount()];
        this.presentCounts = new int[partition.blockCount()];
        this.observedAtMicros = new long[partition.blockCount()];
        Arrays.fill(observedAtMicros, Long.MIN_VALUE / 2);
    }

    /** Creates an independent copy of another aggregator in its current state. */
    public FleetLoadAggregator(FleetLoadAggregator other) {
        this.partition = other.partition;
        this.ownRank = other.ownRank;
        this.ownBlock = other.ownBlock;
        this.blockRates = other.blockRates.clone();
        this.presentCounts = other.presentCounts.clone();
        this.observedAtMicros = other.observedAtMicros.clone();
        this.lastStepIndex = other.lastStepIndex;
    }

    /** Returns the partition of the fleet into blocks. */
    public BlockPartition partition() {
        return partition;
    }

    /**
     * Sets the record of the own block.
     *
     * @param now µs
     * @param presentCount number of balancers present in the own block, this one included
     * @param requestsPerSecond requests per second that they receive together
     */
    public void setOwnBlockRecord(long now, int presentCount, long requestsPerSecond) {
        if (presentCounts[ownBlock] == 0) {
            // At the start all blocks are assumed to be present until EXPIRY_MICROS have passed.
            IntStream.range(0, presentCounts.length)
                    .filter(block -> presentCounts[block] == 0)
                    .forEach(block -> observedAtMicros[block] = now);
        }
        blockRates[ownBlock] = (int) Math.min(Integer.MAX_VALUE, requestsPerSecond);
        presentCounts[ownBlock] = presentCount;
        observedAtMicros[ownBlock] = now;
    }

    /**
     * Executes the step that is due: at most one per call, and each step once per round. Balancers
     * with synchronized clocks execute a step at the same time.
     *
     * @param now µs
     * @param isAlive whether another balancer of the own block is present; those present divide the
     *     receivers among themselves
     * @param sender sends the datagrams
     */
    public void tick(long now, IntPredicate isAlive, DatagramSender sender) {
        int stepCount = BlockPartition.stepCount(partition.blockCount());
        if (stepCount == 0) {
            return;
        }
        long stepIndex = Math.floorDiv(now, ROUND_MICROS / stepCount);
        if (stepIndex == lastStepIndex) {
            return;
        }
        lastStepIndex = stepIndex;
        int step = (int) Math.floorMod(stepIndex, (long) stepCount);
        long round = Math.floorDiv(stepIndex, (long) stepCount);
        Ring ring = new Ring(now);
        sendStep(ring, 1 << step, new BlockSender(isAlive, round, sender));
        if (step == 0 && ring.blocks.length < partition.blockCount()) {
            probeMissingBlock(ring, round, sender);
        }
    }

    private void sendStep(Ring ring, int distance, BlockSender blockSender) {
        int ringSize = ring.blocks.length;
        if (distance >= ringSize) {
            return;
        }
        int recordCount = Math.min(distance, ringSize - distance);
        blockSender.sendToBlock(ring.blockAt(distance), encodeRecords(ring, BACKWARD, recordCount));
        // At a distance of half the ring, both directions lead to the same block.
        if (2 * distance != ringSize) {
            blockSender.sendToBlock(
                    ring.blockAt(-distance), encodeRecords(ring, FORWARD, recordCount));
        }
    }

    // Lets the two sides of a network partition find each other again after it heals.
    private void probeMissingBlock(Ring ring, long round, DatagramSender sender) {
        int[] missingBlocks =
                IntStream.range(0, partition.blockCount())
                        .filter(block -> block != ownBlock && !isCurrent(ring.now, block))
                        .toArray();
        int missingIndex = (int) Math.floorMod(round + ownRank, (long) missingBlocks.length);
        int block = missingBlocks[missingIndex];
        long memberIndex =
                Math.floorMod(
                        round / missingBlocks.length + ownRank, (long) partition.blockSize(block));
        int recordCount = Math.min(FleetLoadMessage.MAX_RECORDS, ring.blocks.length);
        sender.send(
                partition.firstBalancer(block) + (int) memberIndex,
                encodeRecords(ring, BACKWARD, recordCount));
    }

    // Encodes the records of successive blocks in a direction of the ring, the own block first.
    private byte[] encodeRecords(Ring ring, int direction, int recordCount) {
        List<FleetLoadMessage.BlockRecord> records = new ArrayList<>(recordCount);
        for (int i = 0; i < recordCount; i++) {
            int block = ring.blockAt(direction * i);
            records.add(
                    new FleetLoadMessage.BlockRecord(
                            block,
                            ring.now - observedAtMicros[block],
                            presentCounts[block],
                            blockRates[block]));
        }
        return new FleetLoadMessage(partition.balancerCount(), records).encode();
    }

    /** The ring of the own block and all blocks with a current record, ordered by number. */
    private final class Ring {
        private final long now;
        private final int[] blocks;
        private final int ownIndex;

        Ring(long now) {
            this.now = now;
            this.blocks =
                    IntStream.range(0, partition.blockCount())
                            .filter(block -> block == ownBlock || isCurrent(now, block))
                            .toArray();
            this.ownIndex = Arrays.binarySearch(blocks, ownBlock);
        }

        /** Returns the block {@code distance} positions after the own block in the ring. */
        int blockAt(int distance) {
            return blocks[Math.floorMod(ownIndex + distance, blocks.length)];
        }
    }

    /**
     * Sends to the receivers in another block that are assigned to this balancer. The assignment
     * changes each round, so that a broken network path does not always affect the same receiver.
     */
    private final class BlockSender {
        private final long round;
        private final DatagramSender sender;
        private final int aliveCount;
        // Index of this balancer among the live balancers of its block.
        private final int ownAliveIndex;

        BlockSender(IntPredicate isAlive, long round, DatagramSender sender) {
            this.round = round;
            this.sender = sender;
            int[] alive =
                    partition
                            .balancersOf(ownBlock)
                            .filter(balancer -> balancer == ownRank || isAlive.test(balancer))
                            .toArray();
            this.aliveCount = alive.length;
            this.ownAliveIndex = Arrays.binarySearch(alive, ownRank);
        }

        void sendToBlock(int block, byte[] datagram) {
            int size = partition.blockSize(block);
            int sentCount = 0;
            for (int i = 0; i < size && sentCount < MAX_TARGETS_PER_BLOCK; i++) {
                long memberIndex = Math.floorMod(i + round, (long) size);
                if (Math.floorMod(memberIndex + round, (long) aliveCount) == ownAliveIndex) {
                    sender.send(partition.firstBalancer(block) + (int) memberIndex, datagram);
                    sentCount++;
                }
            }
        }
    }

    /**
     * Processes a received datagram.
     *
     * @param now µs
     * @param sender number of the balancer that sent it
     * @param datagram an encoded {@code FleetLoadMessage}
     * @return false if the datagram was ignored because it has another format, is damaged, comes
     *     from a fleet of another size, or contains an impossible record
     */
    public boolean onDatagram(long now, int sender, byte[] datagram) {
        if (sender < 0 || sender >= partition.balancerCount()) {
            return false;
        }
        return FleetLoadMessage.decode(datagram, partition)
                .map(
                        message -> {
                            message.records().forEach(received -> storeIfNewer(now, received));
                            return true;
                        })
                .orElse(false);
    }

    private void storeIfNewer(long now, FleetLoadMessage.BlockRecord received) {
        int block = received.block();
        long recordObservedAtMicros = now - received.ageMicros();
        boolean isNewer =
                recordObservedAtMicros > observedAtMicros[block] || presentCounts[block] == 0;
        if (block != ownBlock
                && received.presentCount() > 0
                && isNewer
                && received.ageMicros() < EXPIRY_MICROS) {
            observedAtMicros[block] = recordObservedAtMicros;
            presentCounts[block] = received.presentCount();
            blockRates[block] = received.requestsPerSecond();
        }
    }

    private boolean isCurrent(long now, int block) {
        return now - observedAtMicros[block] < EXPIRY_MICROS;
    }

    /** Returns whether there is a record of {@code block} that has not expired. */
    public boolean hasCurrentRecord(long now, int block) {
        return presentCounts[block] > 0 && isCurrent(now, block);
    }

    /** Returns the load of {@code block}, or null if there is no unexpired record of it. */
    public LoadTotal blockTotal(long now, int block) {
        return hasCurrentRecord(now, block)
                ? new LoadTotal(
                        blockRates[block], presentCounts[block], now - observedAtMicros[block])
                : null;
    }

    /**
     * Returns a hash of the state relative to {@code now}. States that behave the same from then on
     * have equal hashes.
     */
    public long fingerprint(long now) {
        long hash = ownRank;
        for (int block = 0; block < blockRates.length; block++) {
            long ageMicros = Math.min(EXPIRY_MICROS, now - observedAtMicros[block]);
            hash =
                    (hash * 1_000_003 + blockRates[block] * 31L + presentCounts[block]) * 1_000_003
                            + ageMicros;
        }
        return hash;
    }

    /** Returns the load of all blocks with an unexpired record, the own block included. */
    public LoadTotal total(long now) {
        double maxRatePerBalancer = maxRatePerBalancer(now);
        double requestsPerSecond = 0;
        int presentCount = 0;
        long ageMicros = 0;
        for (int block = 0; block < blockRates.length; block++) {
            if (hasCurrentRecord(now, block)) {
                requestsPerSecond +=
                        Math.min(blockRates[block], maxRatePerBalancer * presentCounts[block]);
                presentCount += presentCounts[block];
                ageMicros = Math.max(ageMicros, now - observedAtMicros[block]);
            }
        }
        return new LoadTotal(requestsPerSecond, presentCount, ageMicros);
    }

    private double maxRatePerBalancer(long now) {
        double[] meanRates = new double[blockRates.length];
        int knownCount = 0;
        for (int block = 0; block < blockRates.length; block++) {
            if (hasCurrentRecord(now, block)) {
                meanRates[knownCount++] = blockRates[block] / (double) presentCounts[block];
            }
        }
        Arrays.sort(meanRates, 0, knownCount);
        return knownCount == 0 ? 0 : MAX_RATE_SKEW * Math.max(1, meanRates[knownCount / 2]);
    }
}
