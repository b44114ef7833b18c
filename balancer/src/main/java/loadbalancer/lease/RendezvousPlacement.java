package loadbalancer.lease;

import java.util.Comparator;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import loadbalancer.util.Hashing;

/**
 * Assigns keys to slots by hash, and slots to members by rendezvous hashing (Thaler, Ravishankar):
 * when a member leaves, only the slots that it held move. Stateless; any thread may use it.
 */
public final class RendezvousPlacement {
    /** Stands for the absence of a member. */
    public static final int NO_MEMBER = -1;

    // Makes the choice of voters independent of the choice of holders.
    private static final long VOTER_SALT = 0x9e3779b97f4a7c15L;

    private RendezvousPlacement() {}

    /** Returns the slot of a key, from 0 to {@code slotCount - 1}. */
    public static int slotOf(String key, int slotCount) {
        return (int) Long.remainderUnsigned(Hashing.hash(key), slotCount);
    }

    /**
     * Returns the member that should hold a slot: the one with the greatest weight among those
     * present, or {@link #NO_MEMBER} if none is present.
     */
    public static int preferredHolder(int slot, int memberCount, IntPredicate isPresent) {
        return IntStream.range(0, memberCount)
                .filter(isPresent)
                .boxed()
                .max((a, b) -> Long.compareUnsigned(weight(slot, a), weight(slot, b)))
                .orElse(NO_MEMBER);
    }

    /**
     * Returns a slot's voters in ascending order: {@code maxVoters} members, or all if there are no
     * more. The voters depend only on the configured members, not on which members are present, so
     * that any two majorities of them overlap.
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
