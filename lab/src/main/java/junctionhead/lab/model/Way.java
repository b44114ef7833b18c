package junctionhead.lab.model;

import java.util.ArrayList;
import java.util.List;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.scenario.Scenario;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One direction between two parties, and what is wrong with it now. Faults add and take back their
 * parts, so that several may hold at one time. Times are µs.
 */
public final class Way {
    // What loss costs a TCP connection
    private static final long RETRANSMISSION = 200_000;

    private final UniformRandomProvider random;
    private final long base;
    private final List<Trouble> troubles = new ArrayList<>(2);
    // When a thin way has passed on all it took
    private long freeAt;

    /** What a fault does to a way; 0 and false leave it as it is. {@code thin}: bytes a second. */
    public record Trouble(
            boolean cut,
            double loss,
            long delay,
            long spread,
            double repeat,
            double reorder,
            double thin) {
        /** Nothing passes. */
        public static Trouble cutOff() {
            return new Trouble(true, 0, 0, 0, 0, 0, 0);
        }

        /** What a fault of a path does to each direction that it is about. */
        public static Trouble of(Plan.Fault f) {
            Scenario.Fault t = f.text();
            double amount = t.amount() == null ? 0 : t.amount();
            long delay = Math.round(1e3 * t.delayMs());
            return switch (f.kind()) {
                case CUT -> cutOff();
                case LOSS -> new Trouble(false, amount, 0, 0, 0, 0, 0);
                case DELAY -> new Trouble(false, 0, delay, Math.round(1e3 * t.spreadMs()), 0, 0, 0);
                case REPEAT -> new Trouble(false, 0, delay, 0, amount, 0, 0);
                case REORDER -> new Trouble(false, 0, delay, 0, 0, amount, 0);
                case THIN -> new Trouble(false, 0, 0, 0, 0, 0, amount);
                default -> throw new IllegalArgumentException("no trouble of a path: " + f.kind());
            };
        }
    }

    /** {@code base}: its delay when nothing is wrong. */
    public Way(UniformRandomProvider random, long base) {
        this.random = random;
        this.base = base;
    }

    /** A trouble begins or ends. */
    public void set(Trouble trouble, boolean on) {
        if (on) {
            troubles.add(trouble);
        } else {
            troubles.remove(trouble);
        }
    }

    /** Whether nothing is wrong, and it takes no time. */
    public boolean plain() {
        return troubles.isEmpty() && base == 0;
    }

    /** Whether nothing passes. */
    public boolean cut() {
        for (Trouble t : troubles) {
            // Asked for each attempt: no stream
            if (t.cut) {
                return true;
            }
        }
        return false;
    }

    private boolean drawn(double part) {
        return part > 0 && random.nextDouble() < part;
    }

    /** Whether a datagram is lost. */
    public boolean loses() {
        for (Trouble t : troubles) {
            // Asked for each datagram: no stream
            if (t.cut || drawn(t.loss)) {
                return true;
            }
        }
        return false;
    }

    /**
     * The delays of a datagram's copies; a copy that is to be passed by later ones waits for
     * longer.
     */
    public List<Long> copies() {
        List<Long> delays = new ArrayList<>(2);
        long delay = delay();
        for (Trouble t : troubles) {
            if (drawn(t.repeat)) {
                delays.add(delay + Math.max(1, t.delay));
            }
            if (drawn(t.reorder)) {
                delay += t.delay;
            }
        }
        delays.add(0, delay);
        return delays;
    }

    private long delay() {
        long delay = base;
        for (Trouble t : troubles) {
            boolean ofDatagrams = t.repeat > 0 || t.reorder > 0;
            delay +=
                    (ofDatagrams ? 0 : t.delay)
                            + (t.spread > 0 ? (long) (random.nextDouble() * t.spread) : 0);
        }
        return delay;
    }

    /** The delay of so many bytes of a TCP connection. */
    public long delayOf(long now, int bytes) {
        long delay = delay() + transmission(now, bytes);
        for (Trouble t : troubles) {
            delay += drawn(t.loss) ? RETRANSMISSION : 0;
        }
        return delay;
    }

    /** What a thin way keeps so many bytes waiting, behind what it has taken already. */
    public long transmission(long now, int bytes) {
        double thin = 0;
        for (Trouble t : troubles) {
            thin = t.thin > 0 && (thin == 0 || t.thin < thin) ? t.thin : thin;
        }
        if (thin == 0) {
            return 0;
        }
        freeAt = Math.max(freeAt, now) + (long) (bytes / thin * 1e6);
        return freeAt - now;
    }
}
