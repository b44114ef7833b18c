package junctionhead.aggregation;

/**
 * How the balancers of a fleet are told apart for sums over all of them: by their numbers alone, in
 * blocks that follow one another round a ring. Who speaks to whom follows from it, so nobody has to
 * be agreed upon, and none has more than its part.
 *
 * @param balancers of the fleet, from 1 on
 * @param each balancers that a block has at most, from 1 on; all have as many, to one more or less
 */
public record Blocks(int balancers, int each) {
    /** Balancers of a block, at most, as usual: those that a balancer hears itself. */
    public static final int SIZE = 16;

    /**
     * So many blocks can there be: those told of in the last step, past 64, have to fit in one
     * datagram.
     */
    public static final int MOST = 64 + BlockSums.RECORDS_MOST;

    /** So many balancers can be summed in blocks of the usual size. */
    public static final int BALANCERS_MOST = MOST * SIZE;

    /** IllegalArgumentException, with the limit, where there are none or too many. */
    public Blocks {
        if (each < 1 || each > 255 || balancers < 1 || balancers > MOST * each) {
            throw new IllegalArgumentException(
                    "sums over the fleet reach 1 to "
                            + MOST * each
                            + " balancers, not "
                            + balancers);
        }
    }

    /** Blocks of the usual size. */
    public Blocks(int balancers) {
        this(balancers, SIZE);
    }

    /** How many there are. */
    public int count() {
        return (balancers + each - 1) / each;
    }

    /** The block of the balancer of that number. */
    public int of(int balancer) {
        return ((balancer + 1) * count() - 1) / balancers;
    }

    /** The number of a block's first balancer. */
    public int first(int block) {
        return block * balancers / count();
    }

    /** How many balancers a block has. */
    public int size(int block) {
        return first(block + 1) - first(block);
    }

    /**
     * Steps after which what one block of so many tells has come to all: each doubles those that
     * know it.
     */
    static int steps(int blocks) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(blocks - 1);
    }
}
