package junctionhead.aggregation;

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
 * #FORGET}. The ring is that of the blocks with a record that counts: those that are lost or cut
 * off are missed within that time and then left out, and are tried one at a time. Nobody's loss
 * stops the others: who lives of a block shares out whom it tells, another one each round.
 */
public final class BlockSums {
    /** µs in which all steps are made once. */
    public static final long ROUND = 1_000_000;

    /** µs after which a record no longer counts. */
    public static final long FORGET = 5_000_000;

    /** First byte of these datagrams: their format and its version. */
    public static final byte FORMAT = 6;

    static final int HEAD = 4;
    static final int RECORD = 5;
    // In a datagram of 256 bytes
    static final int RECORDS_MOST = 50;
    // µs
    static final long AGE_UNIT = 50_000;

    /**
     * A block's mean rate counts for so many times the middle block's at most: one may talk
     * nonsense.
     */
    static final double SKEW_MOST = 8;

    // Of a block; where more would be needed the teller's own has lost three of four.
    private static final int TARGETS_MOST = 4;
    private static final int MANTISSA_BITS = 12;
    private static final int MANTISSA = (1 << MANTISSA_BITS) - 1;

    private final Blocks blocks;
    private final int self;
    // Block
    private final int own;
    // By block, requests a second
    private final int[] rates;
    // By block, balancers heard; 0: no record yet
    private final int[] present;
    // By block, when it was so; by the own clock
    private final long[] trueAt;
    private long lastStep = Long.MIN_VALUE;

    /** Takes a datagram that is to be sent. */
    public interface Sender {
        /** To the balancer of that number. */
        void send(int to, byte[] data);
    }

    /**
     * What is known of the fleet.
     *
     * @param rate requests a second that come to all balancers
     * @param present balancers in it
     * @param age µs, of the oldest part
     */
    public record Total(double rate, int present, long age) {}

    /** {@code self} is this balancer's number. */
    public BlockSums(int self, Blocks blocks) {
        this.blocks = blocks;
        this.self = self;
        this.own = blocks.of(self);
        this.rates = new int[blocks.count()];
        this.present = new int[blocks.count()];
        this.trueAt = new long[blocks.count()];
        Arrays.fill(trueAt, Long.MIN_VALUE / 2);
    }

    /** As another one is now; what is done to one leaves the other as it is. */
    public BlockSums(BlockSums other) {
        this.blocks = other.blocks;
        this.self = other.self;
        this.own = other.own;
        this.rates = other.rates.clone();
        this.present = other.present.clone();
        this.trueAt = other.trueAt.clone();
        this.lastStep = other.lastStep;
    }

    /** How balancers are told apart. */
    public Blocks blocks() {
        return blocks;
    }

    /**
     * True of the own block now: so many of its balancers are there, with so many requests a
     * second.
     */
    public void own(long now, int there, long rate) {
        if (present[own] == 0) {
            // Until shown otherwise all blocks are taken to be there.
            IntStream.range(0, present.length)
                    .filter(b -> present[b] == 0)
                    .forEach(b -> trueAt[b] = now);
        }
        rates[own] = (int) Math.min(Integer.MAX_VALUE, rate);
        present[own] = there;
        trueAt[own] = now;
    }

    /**
     * Sends what is due: at most one step for each call, and each step once a round, at a time that
     * is the same for all whose clocks agree. {@code alive}: which of the own block's other
     * balancers are there; the living share out whom they tell.
     */
    public void tick(long now, IntPredicate alive, Sender sender) {
        int steps = Blocks.steps(blocks.count());
        long due = steps == 0 ? lastStep : Math.floorDiv(now, ROUND / steps);
        if (due == lastStep) {
            return;
        }
        lastStep = due;
        int step = (int) Math.floorMod(due, (long) steps);
        long round = Math.floorDiv(due, (long) steps);
        int[] ring =
                IntStream.range(0, blocks.count())
                        .filter(b -> b == own || isThere(now, b))
                        .toArray();
        int at = Arrays.binarySearch(ring, own);
        Teller teller = new Teller(alive, round, sender);
        int far = 1 << step;
        if (far < ring.length) {
            int window = Math.min(far, ring.length - far);
            teller.tell(ring[(at + far) % ring.length], encode(now, ring, at, -1, window));
            int back = ring[Math.floorMod(at - far, ring.length)];
            if (2 * far != ring.length) {
                teller.tell(back, encode(now, ring, at, 1, window));
            }
        }
        if (step == 0 && ring.length < blocks.count()) {
            int[] missing =
                    IntStream.range(0, blocks.count())
                            .filter(b -> b != own && !isThere(now, b))
                            .toArray();
            int block = missing[(int) Math.floorMod(round + self, (long) missing.length)];
            int to = (int) Math.floorMod(round / missing.length + self, (long) blocks.size(block));
            sender.send(
                    blocks.first(block) + to,
                    encode(now, ring, at, -1, Math.min(RECORDS_MOST, ring.length)));
        }
    }

    // Whom this balancer tells of another block. Others each round: a path that is cut is not the
    // same
    // receiver's each time.
    private final class Teller {
        private final long round;
        private final Sender sender;
        private int living;
        // Of this one among them
        private int place;

        Teller(IntPredicate alive, long round, Sender sender) {
            this.round = round;
            this.sender = sender;
            for (int i = 0; i < blocks.size(own); i++) {
                int balancer = blocks.first(own) + i;
                place = balancer == self ? living : place;
                living += balancer == self || alive.test(balancer) ? 1 : 0;
            }
        }

        void tell(int block, byte[] data) {
            int size = blocks.size(block);
            for (int i = 0, sent = 0; i < size && sent < TARGETS_MOST; i++) {
                long to = Math.floorMod(i + round, (long) size);
                if (Math.floorMod(to + round, (long) living) == place) {
                    sender.send(blocks.first(block) + (int) to, data);
                    sent++;
                }
            }
        }
    }

    // The records of so many blocks of the ring, from the place on in that direction.
    private byte[] encode(long now, int[] ring, int at, int direction, int window) {
        byte[] data = new byte[HEAD + RECORD * window];
        data[0] = FORMAT;
        put(data, 1, blocks.balancers());
        data[3] = (byte) window;
        for (int i = 0; i < window; i++) {
            int block = ring[Math.floorMod(at + direction * i, ring.length)];
            int to = HEAD + RECORD * i;
            // Rounded up: told on and on, a record does not stay young.
            long age = (Math.max(0, now - trueAt[block]) + AGE_UNIT - 1) / AGE_UNIT;
            data[to] = (byte) block;
            data[to + 1] = (byte) Math.min(255, age);
            data[to + 2] = (byte) present[block];
            put(data, to + 3, shorten(rates[block]));
        }
        return data;
    }

    /**
     * Takes a datagram in; false where it is none of these, or of a fleet of another size, or can't
     * be true: then nothing is taken of it.
     */
    public boolean heard(long now, int from, byte[] data) {
        if (data.length < HEAD
                || data[0] != FORMAT
                || from < 0
                || from >= blocks.balancers()
                || at(data, 1) != blocks.balancers()
                || data.length != HEAD + RECORD * (data[3] & 255)
                || (data[3] & 255) > RECORDS_MOST) {
            return false;
        }
        for (int i = HEAD; i < data.length; i += RECORD) {
            if ((data[i] & 255) >= blocks.count()
                    || (data[i + 2] & 255) > blocks.size(data[i] & 255)) {
                return false;
            }
        }
        for (int i = HEAD; i < data.length; i += RECORD) {
            int block = data[i] & 255;
            int there = data[i + 2] & 255;
            long when = now - (data[i + 1] & 255) * AGE_UNIT;
            if (block != own
                    && there > 0
                    && (when > trueAt[block] || present[block] == 0)
                    && now - when < FORGET) {
                trueAt[block] = when;
                present[block] = there;
                rates[block] = lengthen(at(data, i + 3));
            }
        }
        return true;
    }

    private boolean isThere(long now, int block) {
        return now - trueAt[block] < FORGET;
    }

    /** Whether the block's record counts still. */
    public boolean knows(long now, int block) {
        return present[block] > 0 && isThere(now, block);
    }

    /** What is known of a block, itself as it was {@code age} µs ago; null where nothing counts. */
    public Total known(long now, int block) {
        return knows(now, block)
                ? new Total(rates[block], present[block], now - trueAt[block])
                : null;
    }

    /** The same for states from which the same follows. */
    public long fingerprint(long now) {
        long h = self;
        for (int block = 0; block < rates.length; block++) {
            long age = Math.min(FORGET, now - trueAt[block]);
            h = (h * 1_000_003 + rates[block] * 31L + present[block]) * 1_000_003 + age;
        }
        return h;
    }

    /** All blocks of which there is a record that counts, the own one among them. */
    public Total total(long now) {
        double most = mostPerBalancer(now);
        double rate = 0;
        int there = 0;
        long age = 0;
        for (int block = 0; block < rates.length; block++) {
            if (knows(now, block)) {
                rate += Math.min(rates[block], most * present[block]);
                there += present[block];
                age = Math.max(age, now - trueAt[block]);
            }
        }
        return new Total(rate, there, age);
    }

    private double mostPerBalancer(long now) {
        double[] means = new double[rates.length];
        int known = 0;
        for (int block = 0; block < rates.length; block++) {
            if (knows(now, block)) {
                means[known++] = rates[block] / (double) present[block];
            }
        }
        Arrays.sort(means, 0, known);
        return known == 0 ? 0 : SKEW_MOST * Math.max(1, means[known / 2]);
    }

    /** Four bits of exponent, twelve of the rest: to a part in 2,000, up to 134 million. */
    static int shorten(int rate) {
        int exponent = 0;
        int rest = Math.max(0, rate);
        while (rest > MANTISSA && exponent < 15) {
            rest >>= 1;
            exponent++;
        }
        return exponent << MANTISSA_BITS | Math.min(MANTISSA, rest);
    }

    static int lengthen(int written) {
        return (written & MANTISSA) << (written >> MANTISSA_BITS);
    }

    private static void put(byte[] data, int at, int value) {
        data[at] = (byte) (value >> 8);
        data[at + 1] = (byte) value;
    }

    private static int at(byte[] data, int i) {
        return (data[i] & 255) << 8 | data[i + 1] & 255;
    }
}
