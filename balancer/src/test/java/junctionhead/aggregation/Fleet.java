package junctionhead.aggregation;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A fleet of {@link BlockSums} in simulated time, whose datagrams are late, lost or come twice by a
 * seed.
 */
final class Fleet {
    // µs between looks
    static final long TICK = 50_000;
    // µs on the way
    private static final long DELAY_MOST = 2_000;

    final Blocks blocks;
    final List<BlockSums> members = new ArrayList<>();
    final int[] rates;
    final boolean[] alive;
    // µs that a member's clock is ahead
    final long[] skew;
    // Datagrams, by member
    final int[] sent;
    // The same
    final long[] bytes;
    double loss;
    double twice;
    long now = 1_000_000_000_000L;
    private final SplittableRandom random;
    private final PriorityQueue<Letter> underWay = new PriorityQueue<>();
    private long letters;

    private record Letter(long at, long order, int from, int to, byte[] data)
            implements Comparable<Letter> {
        @Override
        public int compareTo(Letter other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    Fleet(Blocks blocks, long seed) {
        this.blocks = blocks;
        this.random = new SplittableRandom(seed);
        int n = blocks.balancers();
        rates = new int[n];
        alive = new boolean[n];
        skew = new long[n];
        sent = new int[n];
        bytes = new long[n];
        for (int i = 0; i < n; i++) {
            members.add(new BlockSums(i, blocks));
            rates[i] = 1 + random.nextInt(120);
            alive[i] = true;
        }
    }

    /** A process in place of a member's: it knows nothing. */
    void restart(int member) {
        members.set(member, new BlockSums(member, blocks));
        alive[member] = true;
    }

    void run(long length) {
        for (long end = now + length; now < end; now += TICK) {
            while (!underWay.isEmpty() && underWay.peek().at <= now) {
                Letter l = underWay.poll();
                if (alive[l.to]) {
                    members.get(l.to).heard(clock(l.to), l.from, l.data);
                }
            }
            for (int i = 0; i < members.size(); i++) {
                if (alive[i]) {
                    look(i);
                }
            }
        }
    }

    private void look(int i) {
        int block = blocks.of(i);
        int there = 0;
        long rate = 0;
        for (int m = blocks.first(block); m < blocks.first(block) + blocks.size(block); m++) {
            there += alive[m] ? 1 : 0;
            rate += alive[m] ? rates[m] : 0;
        }
        BlockSums member = members.get(i);
        member.own(clock(i), there, rate);
        member.tick(
                clock(i),
                m -> alive[m],
                (to, data) -> {
                    sent[i]++;
                    bytes[i] += data.length;
                    for (int copies = random.nextDouble() < twice ? 2 : 1; copies > 0; copies--) {
                        if (random.nextDouble() >= loss) {
                            underWay.add(
                                    new Letter(
                                            now + random.nextLong(DELAY_MOST),
                                            letters++,
                                            i,
                                            to,
                                            data));
                        }
                    }
                });
    }

    long clock(int member) {
        return now + skew[member];
    }

    BlockSums.Total total(int member) {
        return members.get(member).total(clock(member));
    }

    long trueRate() {
        long sum = 0;
        for (int i = 0; i < rates.length; i++) {
            sum += alive[i] ? rates[i] : 0;
        }
        return sum;
    }

    int living() {
        int count = 0;
        for (boolean there : alive) {
            count += there ? 1 : 0;
        }
        return count;
    }

    /** The largest part by which a living member's sum is off. */
    double worstError() {
        double worst = 0;
        for (int i = 0; i < rates.length; i++) {
            worst = alive[i] ? Math.max(worst, Math.abs(total(i).rate() / trueRate() - 1)) : worst;
        }
        return worst;
    }
}
