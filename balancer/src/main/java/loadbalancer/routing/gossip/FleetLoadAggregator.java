package loadbalancer.routing.gossip;

import java.util.Arrays;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * Sums over a fleet of balancers at a small cost, in datagrams that grow with its logarithm and
 * bytes that grow by 0.6 a second for each balancer (a record of 5 bytes for a block of 16, both
 * ways round): recursive doubling over blocks (Hillis and Steele's scan, as all-reduce does it),
 * both ways round a ring, with each block's record told on as it is in place of partial sums, so
 * that what comes twice, late or round about can't count twice. Each balancer hears its block's
 * others itself, and knows their sum; in step k of a round it tells the blocks 2^k further and 2^k
 * back what it knows of the 2^k blocks that end with its own. After log2(blocks) steps each has a
 * record of every block.
 *
 * <p>A pure state machine: time and datagrams in, datagrams out; not for several threads. A record
 * says how old it is, less its time on the way; the youngest counts, none counts past {@link
 * #EXPIRY_MICROS}. The ring is that of the blocks with a record that counts: those that are lost or
 * cut off are missed within that time and then left out, and are tried one at a time. Nobody's loss
 * stops the others: who lives of a block shares out whom it tells, another one each round.
 */
public final class FleetLoadAggregator {
    /** µs in which all steps are made once. */
    public static final long ROUND_MICROS = 1_000_000;

    /** µs after which a record no longer counts. */
    public static final long EXPIRY_MICROS = 5_000_000;

    /** First byte of these datagrams: their format and its version. */
    public static final byte FORMAT = 6;

    static final int HEADER_BYTES = 4;
    static final int RECORD_BYTES = 5;
    // In a datagram of 256 bytes
    static final int MAX_RECORDS = 50;
    // µs
    static final long AGE_UNIT_MICROS = 50_000;

    /**
     * A block's mean rate counts for so many times the middle block's at most: one may talk
     * nonsense.
     */
    static final double MAX_RATE_SKEW = 8;

    // Of a block; where more would be needed the teller's own has lost three of four.
    private static final int MAX_TARGETS_PER_BLOCK = 4;
    private static final int MANTISSA_BITS = 12;
    private static final int MAX_MANTISSA = (1 << MANTISSA_BITS) - 1;

    private final BlockPartition partition;
    private final int ownRank;
    // Block
    private final int ownBlock;
    // By block, requests a second
    private final int[] blockRates;
    // By block, balancers heard; 0: no record yet
    private final int[] presentCounts;
    // By block, when it was so; by the own clock
    private final long[] observedAtMicros;
    private long lastStepIndex = Long.MIN_VALUE;

    /** Takes a datagram that is to be sent. */
    public interface DatagramSender {
        /** To the balancer of that number. */
        void send(int recipient, byte[] data);
    }

    /**
     * What is known of the fleet.
     *
     * @param requestsPerSecond requests a second that come to all balancers
     * @param presentCount balancers in it
     * @param ageMicros µs, of the oldest part
     */
    public record LoadTotal(double requestsPerSecond, int presentCount, long ageMicros) {}

    /** {@code ownRank} is this balancer's number. */
    public FleetLoadAggregator(int ownRank, BlockPartition partition) {
        this.partition = partition;
        this.ownRank = ownRank;
        this.ownBlock = partition.blockOf(ownRank);
        this.blockRates = new int[partition.blockCount()];
        this.presentCounts = new int[partition.blockCount()];
        this.observedAtMicros = new long[partition.blockCount()];
        Arrays.fill(observedAtMicros, Long.MIN_VALUE / 2);
    }

    /** As another one is now; what is done to one leaves the other as it is. */
    public FleetLoadAggregator(FleetLoadAggregator other) {
        this.partition = other.partition;
        this.ownRank = other.ownRank;
        this.ownBlock = other.ownBlock;
        this.blockRates = other.blockRates.clone();
        this.presentCounts = other.presentCounts.clone();
        this.observedAtMicros = other.observedAtMicros.clone();
        this.lastStepIndex = other.lastStepIndex;
    }

    /** How balancers are told apart. */
    public BlockPartition partition() {
        return partition;
    }

    /**
     * True of the own block now: so many of its balancers are there, with so many requests a
     * second.
     */
    public void ownBlock(long now, int presentCount, long requestsPerSecond) {
        if (presentCounts[ownBlock] == 0) {
            // Until shown otherwise all blocks are taken to be there.
            IntStream.range(0, presentCounts.length)
                    .filter(block -> presentCounts[block] == 0)
                    .forEach(block -> observedAtMicros[block] = now);
        }
        blockRates[ownBlock] = (int) Math.min(Integer.MAX_VALUE, requestsPerSecond);
        presentCounts[ownBlock] = presentCount;
        observedAtMicros[ownBlock] = now;
    }

    /**
     * Sends what is due: at most one step for each call, and each step once a round, at a time that
     * is the same for all whose clocks agree. {@code isAlive}: which of the own block's other
     * balancers are there; the living share out whom they tell.
     */
    public void tick(long now, IntPredicate isAlive, DatagramSender sender) {
        int stepCount = BlockPartition.stepCount(partition.blockCount());
        long stepIndex =
                stepCount == 0 ? lastStepIndex : Math.floorDiv(now, ROUND_MICROS / stepCount);
        if (stepIndex == lastStepIndex) {
            return;
        }
        lastStepIndex = stepIndex;
        int step = (int) Math.floorMod(stepIndex, (long) stepCount);
        long round = Math.floorDiv(stepIndex, (long) stepCount);
        int[] ringBlocks =
                IntStream.range(0, partition.blockCount())
                        .filter(candidate -> candidate == ownBlock || isCurrent(now, candidate))
                        .toArray();
        int ownIndex = Arrays.binarySearch(ringBlocks, ownBlock);
        BlockSender blockSender = new BlockSender(isAlive, round, sender);
        int distance = 1 << step;
        if (distance < ringBlocks.length) {
            int window = Math.min(distance, ringBlocks.length - distance);
            blockSender.sendToBlock(
                    ringBlocks[(ownIndex + distance) % ringBlocks.length],
                    encode(now, ringBlocks, ownIndex, -1, window));
            int backwardBlock = ringBlocks[Math.floorMod(ownIndex - distance, ringBlocks.length)];
            if (2 * distance != ringBlocks.length) {
                blockSender.sendToBlock(
                        backwardBlock, encode(now, ringBlocks, ownIndex, 1, window));
            }
        }
        if (step == 0 && ringBlocks.length < partition.blockCount()) {
            int[] missingBlocks =
                    IntStream.range(0, partition.blockCount())
                            .filter(
                                    candidate ->
                                            candidate != ownBlock && !isCurrent(now, candidate))
                            .toArray();
            int block =
                    missingBlocks[
                            (int) Math.floorMod(round + ownRank, (long) missingBlocks.length)];
            int memberIndex =
                    (int)
                            Math.floorMod(
                                    round / missingBlocks.length + ownRank,
                                    (long) partition.blockSize(block));
            sender.send(
                    partition.firstBalancer(block) + memberIndex,
                    encode(
                            now,
                            ringBlocks,
                            ownIndex,
                            -1,
                            Math.min(MAX_RECORDS, ringBlocks.length)));
        }
    }

    // Whom this balancer tells of another block. Others each round: a path that is cut is not the
    // same
    // receiver's each time.
    private final class BlockSender {
        private final long round;
        private final DatagramSender sender;
        private int liveCount;
        // Of this one among them
        private int liveIndex;

        BlockSender(IntPredicate isAlive, long round, DatagramSender sender) {
            this.round = round;
            this.sender = sender;
            for (int i = 0; i < partition.blockSize(ownBlock); i++) {
                int balancer = partition.firstBalancer(ownBlock) + i;
                liveIndex = balancer == ownRank ? liveCount : liveIndex;
                liveCount += balancer == ownRank || isAlive.test(balancer) ? 1 : 0;
            }
        }

        void sendToBlock(int block, byte[] data) {
            int size = partition.blockSize(block);
            for (int i = 0, sentCount = 0; i < size && sentCount < MAX_TARGETS_PER_BLOCK; i++) {
                long memberIndex = Math.floorMod(i + round, (long) size);
                if (Math.floorMod(memberIndex + round, (long) liveCount) == liveIndex) {
                    sender.send(partition.firstBalancer(block) + (int) memberIndex, data);
                    sentCount++;
                }
            }
        }
    }

    // The records of so many blocks of the ring, from the place on in that direction.
    private byte[] encode(long now, int[] ringBlocks, int startIndex, int direction, int window) {
        byte[] data = new byte[HEADER_BYTES + RECORD_BYTES * window];
        data[0] = FORMAT;
        writeUnsignedShort(data, 1, partition.balancerCount());
        data[3] = (byte) window;
        for (int i = 0; i < window; i++) {
            int block = ringBlocks[Math.floorMod(startIndex + direction * i, ringBlocks.length)];
            int offset = HEADER_BYTES + RECORD_BYTES * i;
            // Rounded up: told on and on, a record does not stay young.
            long ageUnits =
                    (Math.max(0, now - observedAtMicros[block]) + AGE_UNIT_MICROS - 1)
                            / AGE_UNIT_MICROS;
            data[offset] = (byte) block;
            data[offset + 1] = (byte) Math.min(255, ageUnits);
            data[offset + 2] = (byte) presentCounts[block];
            writeUnsignedShort(data, offset + 3, encodeRate(blockRates[block]));
        }
        return data;
    }

    /**
     * Takes a datagram in; false where it is none of these, or of a fleet of another size, or can't
     * be true: then nothing is taken of it.
     */
    public boolean onDatagram(long now, int sender, byte[] data) {
        if (data.length < HEADER_BYTES
                || data[0] != FORMAT
                || sender < 0
                || sender >= partition.balancerCount()
                || readUnsignedShort(data, 1) != partition.balancerCount()
                || data.length != HEADER_BYTES + RECORD_BYTES * (data[3] & 255)
                || (data[3] & 255) > MAX_RECORDS) {
            return false;
        }
        for (int offset = HEADER_BYTES; offset < data.length; offset += RECORD_BYTES) {
            if ((data[offset] & 255) >= partition.blockCount()
                    || (data[offset + 2] & 255) > partition.blockSize(data[offset] & 255)) {
                return false;
            }
        }
        for (int offset = HEADER_BYTES; offset < data.length; offset += RECORD_BYTES) {
            int block = data[offset] & 255;
            int presentCount = data[offset + 2] & 255;
            long recordedAtMicros = now - (data[offset + 1] & 255) * AGE_UNIT_MICROS;
            if (block != ownBlock
                    && presentCount > 0
                    && (recordedAtMicros > observedAtMicros[block] || presentCounts[block] == 0)
                    && now - recordedAtMicros < EXPIRY_MICROS) {
                observedAtMicros[block] = recordedAtMicros;
                presentCounts[block] = presentCount;
                blockRates[block] = decodeRate(readUnsignedShort(data, offset + 3));
            }
        }
        return true;
    }

    private boolean isCurrent(long now, int block) {
        return now - observedAtMicros[block] < EXPIRY_MICROS;
    }

    /** Whether the block's record counts still. */
    public boolean hasCurrentRecord(long now, int block) {
        return presentCounts[block] > 0 && isCurrent(now, block);
    }

    /** What is known of a block, itself as it was {@code age} µs ago; null where nothing counts. */
    public LoadTotal blockTotal(long now, int block) {
        return hasCurrentRecord(now, block)
                ? new LoadTotal(
                        blockRates[block], presentCounts[block], now - observedAtMicros[block])
                : null;
    }

    /** The same for states from which the same follows. */
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

    /** All blocks of which there is a record that counts, the own one among them. */
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

    /** Four bits of exponent, twelve of the rest: to a part in 2,000, up to 134 million. */
    static int encodeRate(int rate) {
        int exponent = 0;
        int mantissa = Math.max(0, rate);
        while (mantissa > MAX_MANTISSA && exponent < 15) {
            mantissa >>= 1;
            exponent++;
        }
        return exponent << MANTISSA_BITS | Math.min(MAX_MANTISSA, mantissa);
    }

    static int decodeRate(int encodedRate) {
        return (encodedRate & MAX_MANTISSA) << (encodedRate >> MANTISSA_BITS);
    }

    private static void writeUnsignedShort(byte[] data, int offset, int value) {
        data[offset] = (byte) (value >> 8);
        data[offset + 1] = (byte) value;
    }

    private static int readUnsignedShort(byte[] data, int offset) {
        return (data[offset] & 255) << 8 | data[offset + 1] & 255;
    }
}
