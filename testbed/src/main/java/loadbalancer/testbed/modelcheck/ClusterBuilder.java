package loadbalancer.testbed.modelcheck;

/**
 * Builds a successor of a state, which remains unchanged. This class holds what the builders of all
 * models have in common. Used by one thread.
 *
 * @param <S> type of the model's states
 */
abstract class ClusterBuilder<S extends StateSpaceSearch.State<S>> {
    private final S base;
    private long nowMicros;
    private int remainingFaults;

    ClusterBuilder(S base) {
        this.base = base;
        nowMicros = base.nowMicros();
        remainingFaults = base.remainingFaults();
    }

    /** Returns the state that precedes the one being built. */
    final S base() {
        return base;
    }

    final long nowMicros() {
        return nowMicros;
    }

    final void advanceTime(long stepMicros) {
        nowMicros += stepMicros;
    }

    final int remainingFaults() {
        return remainingFaults;
    }

    /** Reduces the number of faults that may still happen by one. */
    final void consumeFault() {
        remainingFaults--;
    }

    /** Returns a copy of the flags with one of them set to the value. */
    static boolean[] copyWith(boolean[] flags, int index, boolean value) {
        boolean[] changed = flags.clone();
        changed[index] = value;
        return changed;
    }
}
