package junctionhead;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import junctionhead.Books.Attempt;
import junctionhead.Books.Node;
import junctionhead.Books.Request;
import junctionhead.Policy.Effect;

/**
 * Which servers get nothing for a while: those that fail fast or have fallen silent would win every
 * queue comparison. Two failures within some ten recent attempts are far beyond any sane base rate.
 */
final class Exclusion {
    // Faded failures before a server can be ejected
    private static final double FAIL_COUNT = 1.6;
    // And their share of its recent attempts
    private static final double FAIL_SHARE = 0.15;
    // µs, first ejection; doubles each time
    private static final long EJECT_FIRST = 1_000_000;
    // Up to 16 s
    private static final int EJECT_DOUBLINGS = 4;
    // Successes in a row, one at a time, that end a trial
    static final int TRIALS_OK = 3;
    // Of the rest of a server that turns away
    private static final int FULL_DOUBLINGS = 3;
    // Failed connects in a row that say so
    private static final int CUT_OFF = 2;
    // Silent for this multiple of the usual latency: stalled
    private static final double SILENCE = 3;

    private final SplittableRandom random;
    private final Latencies latencies;
    private final long tick;
    // Or most of them: the fault is elsewhere
    private boolean allLookBad;
    // Every server is cut off, or so it seems
    private boolean noneReached;

    Exclusion(SplittableRandom random, Latencies latencies, long tick) {
        this.random = random;
        this.latencies = latencies;
        this.tick = tick;
    }

    /** Whether a server may be a candidate for a request, for all that is known of its health. */
    boolean admits(Node n, Request r, boolean anySafe, long now) {
        if (allLookBad && !cutOff(n)) {
            return true;
        }
        // One on trial gets one attempt at a time, and none that could not be repeated where others
        // can be.
        return !looksBad(n, now)
                && (n.trial == 0
                        || n.inFlight == 0 && (r.kind.effect() == Effect.SAFE || !anySafe));
    }

    private boolean looksBad(Node n, long now) {
        return n.ejectedUntil > now || n.fullUntil > now || stalled(n, now);
    }

    private boolean stalled(Node n, long now) {
        Attempt oldest = n.oldest();
        if (oldest == null || oldest.request.uploading) {
            return false;
        }
        double patience = SILENCE * latencies.usual(oldest.request.number) + tick;
        return now - oldest.at > patience && now - n.lastOk > patience;
    }

    /**
     * Looks at all servers; those not watched are well. Bounds ejection: when most look bad the
     * fault is likely elsewhere, and all are used. Those that can't be connected to don't count
     * while others can be: with a zone of more than half the servers lost, all were used, and most
     * attempts went to the lost ones.
     */
    void look(List<Node> watched, int all, long now) {
        noneReached = watched.stream().filter(n -> n.unreached >= CUT_OFF).count() == all;
        long reached = all - watched.stream().filter(this::cutOff).count();
        allLookBad =
                2 * watched.stream().filter(n -> !cutOff(n) && looksBad(n, now)).count() > reached;
    }

    boolean cutOff(Node n) {
        return n.unreached >= CUT_OFF && !noneReached;
    }

    /**
     * Whether the last that was seen of it says that nobody is there: no connection, or no answer.
     */
    boolean isSilent(Node n, long now) {
        return n.unreached > 0 || stalled(n, now);
    }

    /** Whether nothing may be asked of it now: for what is in reach, not for a single request. */
    boolean isOut(Node n, long now) {
        return cutOff(n) || n.ejectedUntil > now && !allLookBad;
    }

    // Another balancer of this zone can't connect to it. Guards against a lost zone that each finds
    // by
    // itself: at thin traffic that took two failed attempts a server, and seconds. Who found it
    // tries it.
    void saidLost(Node n, long now) {
        if (n.saidLost || n.unreached < CUT_OFF && now - n.lastOk > EJECT_FIRST) {
            n.watch();
            n.saidLost = true;
            n.unreached = CUT_OFF;
            n.trial = TRIALS_OK;
            n.ejectedUntil = now + EJECT_FIRST + random.nextLong(EJECT_FIRST);
        }
    }

    /** An attempt was served; {@code recovered} runs where that ends a trial. */
    void served(Node n, Runnable recovered) {
        n.fulls = 0;
        if (n.trial > 0 && --n.trial == 0) {
            n.ejections = 0;
            n.fails = 0;
            recovered.run();
        }
    }

    // It answers in no time, so it would win again and again while its queue is longest of all.
    // Longer each time: all balancers' retries, each with a handshake, kept full ones busy.
    void turnedAway(Node n, double usually, long now) {
        double times = 1 << Math.min(FULL_DOUBLINGS, n.fulls++);
        n.fullUntil = now + (long) (usually * (0.5 + random.nextDouble()) * times);
    }

    /**
     * A failure neither earns rank nor frees its slot at once, and enough of them eject the server.
     *
     * @param weight of the failure, 0: it says nothing of the server as a whole
     * @param penalty µs for which its slot counts as taken
     * @param scale of faded counts
     * @param remark hears of an ejection
     */
    void failed(
            Node n, double weight, long penalty, double scale, long now, Consumer<String> remark) {
        n.count = Math.max(0, n.count - scale);
        n.penalty(now + penalty);
        n.fails += weight * scale;
        boolean many = n.fails > FAIL_COUNT * scale && n.fails > FAIL_SHARE * (n.fails + n.oks);
        if (weight > 0 && (n.trial > 0 || many) && n.ejectedUntil <= now) {
            // A connect that fails costs little, and a lost zone is back before the list tells.
            int doublings = n.unreached > 0 ? 0 : Math.min(EJECT_DOUBLINGS, n.ejections++);
            long length = EJECT_FIRST << doublings;
            n.ejectedUntil = now + length + random.nextLong(length / 4);
            n.trial = TRIALS_OK;
            remark.accept(
                    "ejected " + n.server.id() + " for " + length / 1000 + " ms after failures");
        }
    }
}
