package junctionhead.duties;

import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import junctionhead.Hashing;

/**
 * Where things belong: keys in slots, slots with members. By rendezvous hashing (Thaler,
 * Ravishankar), so that when one member goes only its own slots move.
 */
public final class Spread {
    // Voters are drawn apart from holders
    private static final long VOTERS = 0x9e3779b97f4a7c15L;

    private Spread() {}

    /** The slot of a key. */
    public static int slot(String key, int slots) {
        return (int) Long.remainderUnsigned(Hashing.hash(key), slots);
    }

    /**
     * Who should hold a slot: of the members present the one that it weighs highest; -1 where none
     * is.
     */
    public static int holder(int slot, int members, IntPredicate present) {
        return IntStream.range(0, members)
                .filter(present)
                .boxed()
                .max((a, b) -> Long.compareUnsigned(weight(slot, a), weight(slot, b)))
                .orElse(-1);
    }

    /**
     * A slot's voters, ascending: all of a small fleet, {@code most} of a large one. They follow
     * from the configured members alone, never from who is present: two majorities of them always
     * share one.
     */
    public static int[] voters(int slot, int members, int most) {
        return IntStream.range(0, members)
                .boxed()
                .sorted(
                        (a, b) ->
                                Long.compareUnsigned(
                                        weight(slot, b) * VOTERS, weight(slot, a) * VOTERS))
                .limit(most)
                .mapToInt(Integer::intValue)
                .sorted()
                .toArray();
    }

    private static long weight(int slot, int member) {
        return Hashing.mix(Hashing.mix(slot) + member);
    }
}
