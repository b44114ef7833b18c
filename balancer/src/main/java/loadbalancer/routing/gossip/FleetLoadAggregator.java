package loadbalancer.routing.gossip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * Aggregates the request rate over a fleet by recursive doubling over blocks of balancers (the scan
 * of Hillis and Steele, as all-reduce uses it), in both directions of a ring.
 *
 * <p>Each balancer hears the others of its block directly and knows their sum. In step k of a round
 * it sends to the blocks 2^k further and 2^k back the records that it has of the 2^k blocks that
 * end with its own; after log2(blocks) steps each balancer has a record of every block. Records are
 * forwarded as they are instead of partial sums, so duplicated, late or detoured datagrams can't
 * count twice. Datagrams grow with the logarithm of the fleet, bytes by 0.6 a second per balancer
 * (a record of 5 bytes per block of 16, in both directions).
 *
 * <p>A record carries its age, without its time on the way. The youngest record of a block counts,
 * and none past {@link #EXPIRY_MICROS}. The ring consists of the blocks with a current record: lost
 * blocks leave it after that time, and each balancer probes one of them per round. The live
 * balancers of a block share out the receivers, differently each round.
 *
 * <p>A pure state machine: time and datagrams in, datagrams out. Not thread-safe.
 */
public final class FleetLoadAggregator {
    /** Time in which all steps are made once. */
    public static final long ROUND_MICROS = 1_000_000;

    /** Age after which a record no longer counts. */
    public static final long EXPIRY_MICROS = 5_000_000;

    // A block's mean rate per balancer counts for at most this multiple of the median block's: a
    // faulty balancer may report nonsense.
    private static final double MAX_RATE_SKEW = 8;

    // Where more would be needed, three of four of the sender's block are lost.
    private static final int MAX_TARGETS_PER_BLOCK = 4;

    // Directions in which the records of a datagram follow one another round the ring.
    private static final int BACKWARD = -1;
    private static final int FORWARD = 1;

    private final BlockPartition partition;
    private final int ownRank;
    private final int ownBlock;

    // The records, by block. No record yet: no balancer present.
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
     * Load of several balancers together.
     *
     * @param requestsPerSecond that they receive
     * @param presentCount number of balancers
     * @param ageMicros age of the oldest part
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

    /** Creates an independent copy of another aggregator in its present state. */
    public FleetLoadAggregator(FleetLoadAggregator other) {
        this.partition = other.partition;
        this.ownRank = other.ownRank;
        this.ownBlock = other.ownBlock;
        this.blockRates = other.blockRates.clone();
        this.presentCounts = other.presentCounts.clone();
        this.observedAtMicros = other.observedAtMicros.clone();
        this.lastStepIndex = other.lastStepIndex;
    }

    /** The partition of the fleet into blocks. */
    public BlockPartition partition() {
        return partition;
    }

    /** Sets the record of the own block: its present balancers and their rate at {@code now}. */
    public void ownBlock(long now, int presentCount, long requestsPerSecond) {
        if (presentCounts[ownBlock] == 0) {
            // At the start all blocks are presumed present for one expiry time.
            IntStream.range(0, presentCounts.length)
                    .filter(block -> presentCounts[block] == 0)
                    .forEach(block -> observedAtMicros[block] = now);
        }
        blockRates[ownBlock] = (int) Math.min(Integer.MAX_VALUE, requestsPerSecond);
        presentCounts[ownBlock] = presentCount;
        observedAtMicros[ownBlock] = now;
    }

    /**
     * Sends what is due: at most one step per call, and each step once a round, at an instant that
     * is the same for all balancers whose clocks agree.
     *
     * @param now µs
     * @param isAlive which of the other balancers of the own block are present; they share out the
     *     receivers
     * @param sender takes the datagrams
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
        // At half of the ring both directions lead to the same block.
        if (2 * distance != ringSize) {
            blockSender.sendToBlock(
                    ring.blockAt(-distance), encodeRecords(ring, FORWARD, recordCount));
        }
    }

    // So that the halves of a fleet that was partitioned find each other again.
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

    // Records of the ring's next blocks in a direction, the own block first.
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

    /** The own block and the blocks with a current record, in the order of their numbers. */
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

        /** The block that many places from the own one. */
        int blockAt(int distance) {
            return blocks[Math.floorMod(ownIndex + distance, blocks.length)];
        }
    }

    /**
     * Sends to the receivers in another block that fall to this balancer. They differ each round,
     * so that a path that is cut does not always affect the same receiver.
     */
    private final class BlockSender {
        private final long round;
        private final DatagramSender sender;
        private final int aliveCount;
        // Index of this balancer among those alive in its block
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
     * Takes in a datagram.
     *
     * @return false, without any effect, if it is of another format, damaged, of a fleet of another
     *     size, or has a record that can't be true
     */
    public boolean onDatagram(long now, int sender, byte[] datagram) {
        if (sender < 0 || sender >= partition.balancerCount()) {
            return false;
        }
        return FleetLoadMessage.decode(datagram, partition)
                .map(
                        message -> {
                            message.records().forEach(received -> takeIfNewer(now, received));
                            return true;
                        })
                .orElse(false);
    }

    private void takeIfNewer(long now, FleetLoadMessage.BlockRecord received) {
        int block = received.block();
        long receivedAtMicros = now - received.ageMicros();
        boolean isNewer = receivedAtMicros > observedAtMicros[block] || presentCounts[block] == 0;
        if (block != ownBlock
                && received.presentCount() > 0
                && isNewer
                && received.ageMicros() < EXPIRY_MICROS) {
            observedAtMicros[block] = receivedAtMicros;
            presentCounts[block] = received.presentCount();
            blockRates[block] = received.requestsPerSecond();
        }
    }

    private boolean isCurrent(long now, int block) {
        return now - observedAtMicros[block] < EXPIRY_MICROS;
    }

    /** Whether there is a record of {@code block} that counts. */
    public boolean hasCurrentRecord(long now, int block) {
        return presentCounts[block] > 0 && isCurrent(now, block);
    }

    /** Load of {@code block} by its record; null without a record that counts. */
    public LoadTotal blockTotal(long now, int block) {
        return hasCurrentRecord(now, block)
                ? new LoadTotal(
                        blockRates[block], presentCounts[block], now - observedAtMicros[block])
                : null;
    }

    /** Hash of the state relative to {@code now}; equal for states with the same future. */
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

    /** Load of all blocks with a record that counts, the own block included. */
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
