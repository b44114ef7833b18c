package loadbalancer.routing.gossip;

import java.util.stream.IntStream;

/**
 * Partitions the balancers of a fleet into blocks of consecutive numbers, over which the fleet's
 * load is aggregated. The partition is computed from the number of balancers, so the balancers need
 * no agreement on it. Block sizes differ by at most one. Immutable.
 *
 * @param balancerCount number of balancers in the fleet, at least 1
 * @param maxBlockSize maximum number of balancers in a block, 1 to 255
 */
public record BlockPartition(int balancerCount, int maxBlockSize) {
    /** Default maximum block size. The balancers of a block exchange load reports directly. */
    public static final int DEFAULT_BLOCK_SIZE = 16;

    /**
     * Maximum number of blocks. A datagram of the last step holds one record for each block beyond
     * the 64th.
     */
    public static final int MAX_BLOCKS = 64 + FleetLoadMessage.MAX_RECORDS;

    /** Maximum number of balancers in a fleet with blocks of the default size. */
    public static final int MAX_BALANCERS = MAX_BLOCKS * DEFAULT_BLOCK_SIZE;

    // The number of balancers of a block is one byte on the wire.
    private static final int MAX_BLOCK_SIZE = 255;

    /**
     * Validates the sizes.
     *
     * @throws FleetSizeException if {@code balancerCount} or {@code maxBlockSize} is out of range
     */
    public BlockPartition {
        if (maxBlockSize < 1
                || maxBlockSize > MAX_BLOCK_SIZE
                || balancerCount < 1
                || balancerCount > MAX_BLOCKS * maxBlockSize) {
            throw new FleetSizeException(balancerCount, MAX_BLOCKS * maxBlockSize);
        }
    }

    /** Creates a partition into blocks of the default size. */
    public BlockPartition(int balancerCount) {
        this(balancerCount, DEFAULT_BLOCK_SIZE);
    }

    /** Returns the number of blocks. */
    public int blockCount() {
        return (balancerCount + maxBlockSize - 1) / maxBlockSize;
    }

    /** Returns the block of the balancer with the number {@code balancer}. */
    public int blockOf(int balancer) {
        return ((balancer + 1) * blockCount() - 1) / balancerCount;
    }

    /** Returns the number of the first balancer in {@code block}. */
    public int firstBalancer(int block) {
        return block * balancerCount / blockCount();
    }

    /** Returns the number of balancers in {@code block}. */
    public int blockSize(int block) {
        return firstBalancer(block + 1) - firstBalancer(block);
    }

    /** Returns the numbers of the balancers in {@code block}, in ascending order. */
    IntStream balancersOf(int block) {
        return IntStream.range(firstBalancer(block), firstBalancer(block + 1));
    }

    /**
     * Returns the number of steps after which a record has reached all of {@code blockCount}
     * blocks: log2 of the count, rounded up.
     */
    static int stepCount(int blockCount) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(blockCount - 1);
    }
}
