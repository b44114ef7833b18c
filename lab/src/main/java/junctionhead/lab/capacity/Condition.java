package junctionhead.lab.capacity;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import junctionhead.Policy;

/** What happens to a fleet while it is measured. Each plays a trial for its whole length. */
enum Condition {
    /** Nothing but one entry of the list that drains and comes back. */
    QUIET {
        @Override
        void play(Trial t) {
            drainOne(t);
        }
    },
    /** The same while a tenth of the datagrams is lost. */
    LOSS10 {
        @Override
        void play(Trial t) {
            t.drive().loss(0.1);
            drainOne(t);
        }
    },
    /** A zone's balancers and upstreams are lost at once, and come back after half the time. */
    ZONE {
        @Override
        void play(Trial t) {
            int[] lost =
                    IntStream.range(0, t.site().balancers())
                            .filter(b -> t.site().zoneOfBalancer(b) == 0)
                            .toArray();
            IntStream.of(lost).forEach(t.drive()::kill);
            t.drive().news(() -> zone(t.site(), Policy.State.GONE, 0));
            t.play(t.length() / 2);
            long startedAt = t.drive().now();
            t.drive().news(() -> zone(t.site(), Policy.State.UP, startedAt));
            IntStream.of(lost).forEach(t.drive()::start);
            t.play(t.length() - t.length() / 2);
        }
    },
    /**
     * All leave in order, a tenth at a time, and are back after half of the time until the next
     * tenth.
     */
    RESTARTS {
        @Override
        void play(Trial t) {
            long step = t.length() / WAVES;
            for (int wave = 0; wave < WAVES; wave++) {
                int of = wave;
                int[] some =
                        IntStream.range(0, t.site().balancers())
                                .filter(b -> b % WAVES == of)
                                .toArray();
                IntStream.of(some).forEach(t.drive()::leave);
                t.play(step / 2);
                IntStream.of(some).forEach(t.drive()::start);
                t.play(step - step / 2);
            }
        }
    },
    /** The two halves hear nothing of each other for half the time. */
    HALVES {
        @Override
        void play(Trial t) {
            int middle = t.site().balancers() / 2;
            t.drive().cut(b -> b < middle);
            long now = t.drive().now();
            for (int b = 0; b < t.site().balancers(); b++) {
                boolean low = b < middle;
                t.drive().notices().gone(b, now, by -> by < middle != low);
            }
            t.play(t.length() / 2);
            t.drive().cut(b -> true);
            for (int b = 0; b < t.site().balancers(); b++) {
                boolean low = b < middle;
                t.drive().notices().back(b, t.drive().now(), 0, by -> by < middle != low);
            }
            t.play(t.length() - t.length() / 2);
        }
    };

    private static final int WAVES = 10;

    /** Plays exactly the trial's length. */
    abstract void play(Trial t);

    /** As the command line and figures name it. */
    String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    private static void drainOne(Trial t) {
        t.play(t.length() / 2);
        t.drive().news(() -> List.of(t.site().server(0, Policy.State.DRAINING, 0)));
        t.play(t.length() - t.length() / 2);
    }

    private static List<Policy.Server> zone(Site site, Policy.State state, long startedAt) {
        return IntStream.range(0, site.upstreams())
                .filter(u -> site.zoneOfUpstream(u) == 0)
                .mapToObj(u -> site.server(u, state, startedAt))
                .toList();
    }
}
