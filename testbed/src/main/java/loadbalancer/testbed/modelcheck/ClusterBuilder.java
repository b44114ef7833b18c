package loadbalancer.testbed.modelcheck;

/**
 * A state in the making: what the builders of all models have in common. Begins as a copy of a
 * state, which it leaves unchanged.
 *
 * @param <W> a state of the model
 */
abstract class ClusterBuilder<W extends StateSpaceSearch.State<W>> {
    private final W base;
    private long nowMicros;
    private int remainingFaults;

    ClusterBuilder(W base) {
        this.base = base;
        nowMicros = base.nowMicros();
        remainingFaults = base.remainingFaults();
    }

    /** The state that it began as, which precedes the one in the making. */
    final W base() {
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

    /** One fault less may follow. */
    final void consumeFault() {
        remainingFaults--;
    }

    /** Returns a copy of flags in which one is changed. */
    static boolean[] with(boolean[] flags, int index, boolean value) {
        boolean[] changed = flags.clone();
        changed[index] = value;
        return changed;
    }
}
