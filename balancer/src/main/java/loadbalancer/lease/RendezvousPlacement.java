package loadbalancer.lease;

import java.util.Comparator;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import loadbalancer.util.Hashing;

/**
 * Placement of keys in slots and of slots on members by rendezvous hashing (Thaler, Ravishankar):
 * when a member leaves, only the slots that it held move.
 */
public final class RendezvousPlacement {
    /** In place of a member: there is none. */
    public static final int NO_MEMBER = -1;

    // So that voters are drawn independently of holders.
    private static final long VOTER_SALT = 0x9e3779b97f4a7c15L;

    private RendezvousPlacement() {}

    /** The slot of a key. */
    public static int slotOf(String key, int slotCount) {
        return (int) Long.remainderUnsigned(Hashing.hash(key), slotCount);
    }

    /**
     * The member that should hold a slot: the one of greatest weight among those present; {@link
     * #NO_MEMBER} if none is.
     */
    public static int preferredHolder(int slot, int memberCount, IntPredicate isPresent) {
        return IntStream.range(0, memberCount)
                .filter(isPresent)
                .boxed()
                .max((a, b) -> Long.compareUnsigned(weight(slot, a), weight(slot, b)))
                .orElse(NO_MEMBER);
    }

    /**
     * A slot's voters, ascending: all members if there are at most {@code maxVoters}. They depend
     * on the configured members alone, never on who is present, so that two majorities of them
     * always overlap.
     */
    public static int[] votersOf(int slot, int memberCount, int maxVoters) {
        Comparator<Integer> byVoterWeight =
                (a, b) -> Long.compareUnsigned(voterWeight(slot, a), voterWeight(slot, b));
        return IntStream.range(0, memberCount)
                .boxed()
                .sorted(byVoterWeight.reversed())
                .limit(maxVoters)
                .mapToInt(Integer::intValue)
                .sorted()
                .toArray();
    }

    private static long voterWeight(int slot, int member) {
        return weight(slot, member) * VOTER_SALT;
    }

    private static long weight(int slot, int member) {
        return Hashing.mix(Hashing.mix(slot) + member);
    }
}
