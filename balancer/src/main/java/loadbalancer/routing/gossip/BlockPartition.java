package loadbalancer.routing.gossip;

import java.util.stream.IntStream;

/**
 * Partition of the balancers of a fleet into blocks of consecutive numbers, for aggregation over
 * the fleet. It follows from the number of balancers alone, so no agreement is needed. Sizes of
 * blocks differ by one at most. Immutable.
 *
 * @param balancerCount of the fleet, at least 1
 * @param maxBlockSize balancers in a block at most, 1 to 255
 */
public record BlockPartition(int balancerCount, int maxBlockSize) {
    /** Usual size of a block: balancers that a balancer hears directly. */
    public static final int DEFAULT_BLOCK_SIZE = 16;

    /** Bound on the blocks: the records of the last step, past 64, have to fit in one datagram. */
    public static final int MAX_BLOCKS = 64 + FleetLoadMessage.MAX_RECORDS;

    /** Bound on the balancers of a fleet with blocks of the usual size. */
    public static final int MAX_BALANCERS = MAX_BLOCKS * DEFAULT_BLOCK_SIZE;

    // The number of balancers of a block is one byte on the wire.
    private static final int MAX_BLOCK_SIZE = 255;

    /**
     * Checks the bounds.
     *
     * @throws FleetSizeException with the limit, if there are no balancers or too many
     */
    public BlockPartition {
        if (maxBlockSize < 1
                || maxBlockSize > MAX_BLOCK_SIZE
                || balancerCount < 1
                || balancerCount > MAX_BLOCKS * maxBlockSize) {
            throw new FleetSizeException(balancerCount, MAX_BLOCKS * maxBlockSize);
        }
    }

    /** Partition into blocks of the usual size. */
    public BlockPartition(int balancerCount) {
        this(balancerCount, DEFAULT_BLOCK_SIZE);
    }

    /** Number of blocks. */
    public int blockCount() {
        return (balancerCount + maxBlockSize - 1) / maxBlockSize;
    }

    /** Block of the balancer with the number {@code balancer}. */
    public int blockOf(int balancer) {
        return ((balancer + 1) * blockCount() - 1) / balancerCount;
    }

    /** Number of the first balancer of {@code block}. */
    public int firstBalancer(int block) {
        return block * balancerCount / blockCount();
    }

    /** Number of balancers of {@code block}. */
    public int blockSize(int block) {
        return firstBalancer(block + 1) - firstBalancer(block);
    }

    /** Numbers of the balancers of {@code block}, in order. */
    IntStream balancersOf(int block) {
        return IntStream.range(firstBalancer(block), firstBalancer(block + 1));
    }

    /**
     * Steps after which a record has reached all of {@code blockCount} blocks: log2, rounded up.
     */
    static int stepCount(int blockCount) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(blockCount - 1);
    }
}
