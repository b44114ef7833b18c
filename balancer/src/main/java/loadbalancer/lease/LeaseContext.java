package loadbalancer.lease;

import java.util.Arrays;
import java.util.function.IntPredicate;
import loadbalancer.util.Hashing;

/**
 * Holds the state that all slots of one member share: its identity, its view of the members, its
 * outbox, its fencing guard and its random numbers. Only the caller's event loop uses it.
 */
final class LeaseContext {
    private final int self;
    private final LeaseTiming timing;
    private final LeaseOutbox outbox;
    private final FencingGuard fencingGuard;
    private final boolean[] present;
    private boolean draining;
    private long randomState;

    LeaseContext(int self, int memberCount, LeaseTiming timing, LeaseOutbox outbox, long seed) {
        this.self = self;
        this.timing = timing;
        this.outbox = outbox;
        this.fencingGuard = new FencingGuard(timing.slotCount());
        this.present = new boolean[memberCount];
        Arrays.fill(present, true);
        this.randomState = seed;
    }

    LeaseContext(LeaseContext other) {
        self = other.self;
        timing = other.timing;
        outbox = new LeaseOutbox(other.outbox);
        fencingGuard = new FencingGuard(other.fencingGuard);
        present = other.present.clone();
        draining = other.draining;
        randomState = other.randomState;
    }

    int self() {
        return self;
    }

    int memberCount() {
        return present.length;
    }

    LeaseTiming timing() {
        return timing;
    }

    LeaseOutbox outbox() {
        return outbox;
    }

    FencingGuard fencingGuard() {
        return fencingGuard;
    }

    boolean isPresent(int member) {
        return present[member];
    }

    /** Replaces the view of which members are present; returns whether it has changed. */
    boolean updatePresence(IntPredicate isPresent) {
        boolean changed = false;
        for (int member = 0; member < present.length; member++) {
            boolean nowPresent = isPresent.test(member);
            changed |= present[member] != nowPresent;
            present[member] = nowPresent;
        }
        return changed;
    }

    /** Returns whether this member is draining, so that it requests no slot. */
    boolean isDraining() {
        return draining;
    }

    void setDraining(boolean draining) {
        this.draining = draining;
    }

    /** Returns a random number from 0 to {@code max}, both included. */
    long nextRandom(long max) {
        randomState = Hashing.mix(randomState);
        return Long.remainderUnsigned(randomState, max + 1);
    }

    int presenceHash() {
        return Arrays.hashCode(present);
    }
}
