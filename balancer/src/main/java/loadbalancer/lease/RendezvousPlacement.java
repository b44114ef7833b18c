package loadbalancer.lease;

import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import loadbalancer.util.Hashing;

/**
 * Where things belong: keys in slots, slots with members. By rendezvous hashing (Thaler,
 * Ravishankar), so that when one member goes only its own slots move.
 */
public final class RendezvousPlacement {
    // Voters are drawn apart from holders
    private static final long VOTER_SALT = 0x9e3779b97f4a7c15L;

    private RendezvousPlacement() {}

    /** The slot of a key. */
    public static int slotOf(String key, int slotCount) {
        return (int) Long.remainderUnsigned(Hashing.hash(key), slotCount);
    }

    /**
     * Who should hold a slot: of the members present the one that it weighs highest; -1 where none
     * is.
     */
    public static int preferredHolder(int slot, int memberCount, IntPredicate isPresent) {
        return IntStream.range(0, memberCount)
                .filter(isPresent)
                .boxed()
                .max((a, b) -> Long.compareUnsigned(weight(slot, a), weight(slot, b)))
                .orElse(-1);
    }

    /**
     * A slot's voters, ascending: all of a small fleet, {@code maxVoters} of a large one. They
     * follow from the configured members alone, never from who is present: two majorities of them
     * always share one.
     */
    public static int[] votersOf(int slot, int memberCount, int maxVoters) {
        return IntStream.range(0, memberCount)
                .boxed()
                .sorted(
                        (a, b) ->
                                Long.compareUnsigned(
                                        weight(slot, b) * VOTER_SALT, weight(slot, a) * VOTER_SALT))
                .limit(maxVoters)
                .mapToInt(Integer::intValue)
                .sorted()
                .toArray();
    }

    private static long weight(int slot, int member) {
        return Hashing.mix(Hashing.mix(slot) + member);
    }
}
