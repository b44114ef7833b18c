package junctionhead.lab.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import junctionhead.aggregation.BlockSums;
import junctionhead.aggregation.Blocks;

/**
 * Looks at what may happen to a few balancers of {@link BlockSums}: datagrams late by up to a step
 * of time, in any order, lost and repeated, balancers that crash and start anew, halves cut apart
 * and joined. Each state once, by its fingerprint. In each state every record tells of its block as
 * it was at the time it names, or later, but for the time on the way, which an age does not count;
 * and from a part of the states, once faults end, all live balancers must come to know the sum of
 * the live ones.
 */
public final class SumsExplorer implements Search.Model<SumsExplorer.World> {
    // µs that time moves on by
    private static final long STEP = 250_000;
    private static final long START = 1_000_000_000L;
    // Datagrams under way; the oldest beyond it are lost.
    private static final int FLYING_MOST = 5;
    // µs after the last fault in which sums must be true.
    private static final long SETTLE = 2 * BlockSums.FORGET;

    private final Blocks blocks;
    private final Fault planted;

    /** A mistake built in, to see that it is found. */
    public enum Fault {
        NONE,
        /** Records lose age on their way. */
        GROW_YOUNGER,
        /** Only a block's first balancer tells. */
        ONE_TELLS,
        /** Blocks that are not known to be there are never tried. */
        TRY_NOBODY
    }

    /**
     * A state of the world, and how it was come to.
     *
     * @param past of each block the sums of its live balancers, newest last, each with when it
     *     began to hold
     */
    record World(
            BlockSums[] all,
            boolean[] down,
            boolean cut,
            List<Flight> flying,
            long now,
            int faultsLeft,
            List<List<Since>> past,
            World from,
            String step)
            implements Search.State<World> {}

    record Since(long at, int rate) {}

    record Flight(long at, int from, int to, byte[] data) {}

    /** {@code blocks}: few, of few. */
    public SumsExplorer(Blocks blocks, Fault planted) {
        this.blocks = blocks;
        this.planted = planted;
    }

    /**
     * Long walks until so many states were seen.
     *
     * @param faults crashes, starts, cuts, losses and repeats on one path at most
     * @param settleEach from one state in so many it is tried whether sums come to be true
     */
    public Finding walk(long states, int faults, int steps, int settleEach, long seed) {
        return new Search<>(this).walk(start(faults), states, steps, settleEach, seed);
    }

    /** The same from the newest states and from any in turn. */
    public Finding explore(long states, int faults, int settleEach, long seed) {
        return new Search<>(this).explore(start(faults), states, settleEach, seed);
    }

    private World start(int faults) {
        BlockSums[] all = new BlockSums[blocks.balancers()];
        for (int m = 0; m < all.length; m++) {
            all[m] = new BlockSums(m, blocks);
        }
        boolean[] down = new boolean[all.length];
        List<List<Since>> past = new ArrayList<>();
        for (int block = 0; block < blocks.count(); block++) {
            past.add(List.of(new Since(START, rate(block, down))));
        }
        return new World(all, down, false, List.of(), START, faults, past, null, "all start");
    }

    // Each balancer's rate is a bit of its own, so that a sum says who is in it.
    private int rate(int block, boolean[] down) {
        int rate = 0;
        for (int m = blocks.first(block); m < blocks.first(block) + blocks.size(block); m++) {
            rate |= down[m] ? 0 : 1 << m;
        }
        return rate;
    }

    @Override
    public boolean struck(World before, World w) {
        return w.faultsLeft < before.faultsLeft;
    }

    @Override
    public long fingerprint(World w) {
        long h = w.faultsLeft * 2L + (w.cut ? 1 : 0) + Math.floorMod(w.now, BlockSums.ROUND);
        for (int m = 0; m < w.all.length; m++) {
            h = h * 1_000_003 + (w.down[m] ? 1 : w.all[m].fingerprint(w.now));
        }
        // A set: their order does not matter
        long flights = 0;
        for (Flight f : w.flying) {
            long one = (f.from * 31L + f.to) * 31 + Arrays.hashCode(f.data);
            flights += (one ^ one >>> 17) * 0x9e3779b97f4a7c15L;
        }
        return (h ^ flights) * 0xbf58476d1ce4e5b9L;
    }

    // ------------------------------------------------------------ what may happen next

    @Override
    public List<World> after(World w) {
        List<World> next = new ArrayList<>();
        for (int i = 0; i < w.flying.size(); i++) {
            Flight f = w.flying.get(i);
            List<Flight> rest = new ArrayList<>(w.flying);
            rest.remove(i);
            next.add(delivered(w, f, rest, w.faultsLeft, "arrives"));
            if (w.faultsLeft > 0) {
                next.add(
                        new World(
                                w.all,
                                w.down,
                                w.cut,
                                rest,
                                w.now,
                                w.faultsLeft - 1,
                                w.past,
                                w,
                                text(f) + " is lost"));
                next.add(
                        delivered(w, f, w.flying, w.faultsLeft - 1, "arrives, and will once more"));
            }
        }
        next.add(passed(w));
        if (w.faultsLeft > 0) {
            for (int m = 0; m < w.all.length; m++) {
                next.add(turned(w, m));
            }
            next.add(
                    new World(
                            w.all,
                            w.down,
                            !w.cut,
                            w.flying,
                            w.now,
                            w.faultsLeft - 1,
                            w.past,
                            w,
                            w.cut ? "the halves are joined" : "the halves are cut apart"));
        }
        return next;
    }

    private static String text(Flight f) {
        return "the datagram of n" + f.from + " to n" + f.to;
    }

    private boolean parted(World w, int a, int b) {
        return w.cut && (a < w.all.length / 2) != (b < w.all.length / 2);
    }

    private World delivered(World w, Flight f, List<Flight> rest, int faultsLeft, String how) {
        if (w.down[f.to] || parted(w, f.from, f.to)) {
            return new World(
                    w.all,
                    w.down,
                    w.cut,
                    rest,
                    w.now,
                    faultsLeft,
                    w.past,
                    w,
                    text(f) + " finds nobody");
        }
        BlockSums[] all = w.all.clone();
        all[f.to] = new BlockSums(all[f.to]);
        hear(all[f.to], w.now, f);
        return new World(
                all, w.down, w.cut, rest, w.now, faultsLeft, w.past, w, text(f) + " " + how);
    }

    private void hear(BlockSums member, long now, Flight f) {
        byte[] data = f.data;
        if (planted == Fault.GROW_YOUNGER) {
            data = data.clone();
            for (int i = 5; i < data.length; i += 5) {
                data[i] = (byte) Math.max(0, (data[i] & 255) - 10);
            }
        }
        member.heard(now, f.from, data);
    }

    private void tick(BlockSums[] all, boolean[] down, int m, long now, List<Flight> flying) {
        int block = blocks.of(m);
        int there = 0;
        for (int i = blocks.first(block); i < blocks.first(block) + blocks.size(block); i++) {
            there += down[i] ? 0 : 1;
        }
        all[m].own(now, there, rate(block, down));
        BlockSums member = all[m];
        member.tick(
                now,
                i -> !down[i],
                (to, data) -> {
                    boolean mute = planted == Fault.ONE_TELLS && m != blocks.first(block);
                    boolean trial =
                            planted == Fault.TRY_NOBODY
                                    && !member.knows(now, blocks.of(to))
                                    && now - START > BlockSums.FORGET;
                    if (!mute && !trial) {
                        flying.add(new Flight(now, m, to, data));
                    }
                });
    }

    private World passed(World w) {
        long now = w.now + STEP;
        BlockSums[] all = w.all.clone();
        List<Flight> flying =
                new ArrayList<>(w.flying.stream().filter(f -> f.at == w.now).toList());
        for (int m = 0; m < all.length; m++) {
            if (!w.down[m]) {
                all[m] = new BlockSums(all[m]);
                tick(all, w.down, m, now, flying);
            }
        }
        while (flying.size() > FLYING_MOST) {
            flying.remove(0);
        }
        return new World(all, w.down, w.cut, flying, now, w.faultsLeft, w.past, w, "time passes");
    }

    private World turned(World w, int m) {
        boolean[] down = w.down.clone();
        down[m] = !down[m];
        BlockSums[] all = w.all.clone();
        if (!down[m]) {
            all[m] = new BlockSums(m, blocks);
        }
        List<List<Since>> past = new ArrayList<>(w.past);
        int block = blocks.of(m);
        List<Since> of = new ArrayList<>(past.get(block));
        of.add(new Since(w.now, rate(block, down)));
        past.set(block, of);
        return new World(
                all,
                down,
                w.cut,
                w.flying,
                w.now,
                w.faultsLeft - 1,
                past,
                w,
                "n" + m + (down[m] ? " crashes" : " starts"));
    }

    // ------------------------------------------------------------ what must hold

    @Override
    public String wrong(World before, World w) {
        for (int m = 0; m < w.all.length; m++) {
            for (int block = 0; !w.down[m] && block < blocks.count(); block++) {
                BlockSums.Total known = w.all[m].known(w.now, block);
                // Half of its way at the most it was under way: it is told on a step after it came
                // at the
                // soonest.
                if (known != null
                        && !heldAfter(
                                w, block, w.now - 2 * known.age() - STEP, (int) known.rate())) {
                    return "n"
                            + m
                            + " takes block "
                            + block
                            + " to have had "
                            + Long.toBinaryString((long) known.rate())
                            + " "
                            + known.age() / 1000
                            + " ms ago, and it had not since";
                }
            }
        }
        return "";
    }

    // Whether a block's sum was this one at that time or later. What a balancer says of its own
    // block may be
    // as old as its last look.
    private static boolean heldAfter(World w, int block, long at, int rate) {
        List<Since> past = w.past.get(block);
        for (int i = 0; i < past.size(); i++) {
            long until = i + 1 < past.size() ? past.get(i + 1).at : Long.MAX_VALUE;
            if (past.get(i).rate == rate && until >= at) {
                return true;
            }
        }
        return false;
    }

    // No more faults: all goes on, the halves are joined, whoever is down stays down.
    @Override
    public String settle(World w) {
        BlockSums[] all = Arrays.stream(w.all).map(BlockSums::new).toArray(BlockSums[]::new);
        long now = w.now;
        for (long end = now + SETTLE; now < end; now += STEP) {
            List<Flight> flying = new ArrayList<>();
            for (int m = 0; m < all.length; m++) {
                if (!w.down[m]) {
                    tick(all, w.down, m, now, flying);
                }
            }
            for (Flight f : flying) {
                if (!w.down[f.to]) {
                    hear(all[f.to], now, f);
                }
            }
        }
        int sum = 0;
        for (int m = 0; m < all.length; m++) {
            sum |= w.down[m] ? 0 : 1 << m;
        }
        for (int m = 0; m < all.length; m++) {
            for (int block = 0; !w.down[m] && block < blocks.count(); block++) {
                BlockSums.Total known = all[m].known(now, block);
                int mine = known == null ? 0 : (int) known.rate();
                if (mine != rate(block, w.down)) {
                    return "n"
                            + m
                            + " knows "
                            + Integer.toBinaryString(mine)
                            + " of block "
                            + block
                            + " and "
                            + Integer.toBinaryString(sum)
                            + " live, "
                            + SETTLE / 1000
                            + " ms after the last fault";
                }
            }
        }
        return "";
    }
}
