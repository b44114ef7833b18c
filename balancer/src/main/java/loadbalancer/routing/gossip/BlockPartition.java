package loadbalancer.routing.gossip;

/**
 * How the balancers of a fleet are told apart for sums over all of them: by their numbers alone, in
 * blocks that follow one another round a ring. Who speaks to whom follows from it, so nobody has to
 * be agreed upon, and none has more than its part.
 *
 * @param balancerCount of the fleet, from 1 on
 * @param maxBlockSize balancers that a block has at most, from 1 on; all have as many, to one more
 *     or less
 */
public record BlockPartition(int balancerCount, int maxBlockSize) {
    /** Balancers of a block, at most, as usual: those that a balancer hears itself. */
    public static final int DEFAULT_BLOCK_SIZE = 16;

    /**
     * So many blocks can there be: those told of in the last step, past 64, have to fit in one
     * datagram.
     */
    public static final int MAX_BLOCKS = 64 + FleetLoadAggregator.MAX_RECORDS;

    /** So many balancers can be summed in blocks of the usual size. */
    public static final int MAX_BALANCERS = MAX_BLOCKS * DEFAULT_BLOCK_SIZE;

    /** IllegalArgumentException, with the limit, where there are none or too many. */
    public BlockPartition {
        if (maxBlockSize < 1
                || maxBlockSize > 255
                || balancerCount < 1
                || balancerCount > MAX_BLOCKS * maxBlockSize) {
            throw new IllegalArgumentException(
                    "sums over the fleet reach 1 to "
                            + MAX_BLOCKS * maxBlockSize
                            + " balancers, not "
                            + balancerCount);
        }
    }

    /** Blocks of the usual size. */
    public BlockPartition(int balancerCount) {
        this(balancerCount, DEFAULT_BLOCK_SIZE);
    }

    /** How many there are. */
    public int blockCount() {
        return (balancerCount + maxBlockSize - 1) / maxBlockSize;
    }

    /** The block of the balancer of that number. */
    public int blockOf(int balancer) {
        return ((balancer + 1) * blockCount() - 1) / balancerCount;
    }

    /** The number of a block's first balancer. */
    public int firstBalancer(int block) {
        return block * balancerCount / blockCount();
    }

    /** How many balancers a block has. */
    public int blockSize(int block) {
        return firstBalancer(block + 1) - firstBalancer(block);
    }

    /**
     * Steps after which what one block of so many tells has come to all: each doubles those that
     * know it.
     */
    static int stepCount(int blockCount) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(blockCount - 1);
    }
}
