package junctionhead;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import junctionhead.Books.Node;
import junctionhead.Books.Request;
import junctionhead.Books.Tally;
import junctionhead.Books.Zone;

/**
 * Zones as wholes: left when the news of their servers says that they are lost, met again in steps.
 * Guards against a lost zone that is found server by server at the price of requests, and against
 * one that is back and is met by all at once. Each balancer judges for itself; never are all zones
 * left.
 */
final class Zones {
    // Of the servers there is news of, out: the zone is
    private static final double LOST = 0.8;
    // In doubt from here on
    private static final double DOUBTED = 0.5;
    // Of its servers, of which there must be news
    private static final double NEWS_LEAST = 0.2;
    // µs for which an answer shows that a server serves
    private static final long NEWS = 1_000_000;
    // µs of doubt before it is left
    private static final long DOUBT = 200_000;
    // Then single servers are to blame, and it is whole
    private static final long DOUBT_MOST = 2_000_000;
    // µs in which it is not doubted again after that
    private static final long CALM = 5_000_000;
    // µs that it is left at least; doubles each time
    private static final long HOLD = 500_000;
    // Up to 16 s
    private static final int DOUBLINGS = 5;
    // µs whole, after which its past is forgotten
    private static final long FORGET = 30_000_000;
    // µs between requests that try a zone that is left
    private static final long TRIAL = 100_000;
    // Answers that show it is back
    private static final int TRIALS_OK = 2;
    // Part of the requests that meet it first; doubles
    private static final double FIRST = 0.25;
    // µs each part lasts at least
    private static final long STEP = 250_000;

    /** What a zone is to this balancer. */
    enum State {
        WHOLE,
        DOUBTED,
        LEFT,
        RETURNING
    }

    // By number, as servers have named them
    private final List<Zone> zones = new ArrayList<>();

    /** A zone's; servers that name none (-1) are in one that is always whole. */
    Zone of(int zone) {
        while (zones.size() <= zone + 1) {
            zones.add(new Zone());
        }
        return zones.get(zone + 1);
    }

    /** From when on an answer shows that a server there serves: not from before it was doubted. */
    long newsFrom(int zone, long now) {
        return Math.max(of(zone).state == State.DOUBTED ? of(zone).since : 0, now - NEWS);
    }

    /**
     * Whether a request may go to a server's zone; {@code harmless}: to one that is left too, now
     * and then.
     */
    boolean admits(Node n, Request r, boolean harmless, long now) {
        Zone z = of(n.server.zone());
        return switch (z.state) {
            case WHOLE, DOUBTED -> true;
            case LEFT -> harmless && now >= z.triedAt + TRIAL;
            case RETURNING -> r.chance(n.server.zone()) < z.part;
        };
    }

    /** A request goes to a server. */
    void sent(Node n, long now) {
        of(n.server.zone()).triedAt = now;
    }

    /** An attempt has ended: served, or for want of a connection. */
    void ended(Node n, boolean served) {
        of(n.server.zone()).good += served ? 1 : 0;
        of(n.server.zone()).bad += served ? 0 : 1;
    }

    /**
     * Looks at all zones anew, a tally for each; {@code scarce}: what is in reach can't carry what
     * comes; {@code remark} hears of what changes.
     */
    void look(List<Tally> tallies, boolean scarce, long now, Consumer<String> remark) {
        for (int number = 0; number < tallies.size(); number++) {
            Zone z = of(number);
            Tally t = tallies.get(number);
            State next = next(z, t, scarce, othersServe(number, tallies), now);
            if (next != z.state) {
                z.state = next;
                z.begins(now);
                remark.accept(
                        String.format(
                                Locale.ROOT,
                                "zone %d is %s: %d of %d servers out, %d answering",
                                number,
                                next,
                                t.out(),
                                t.servers(),
                                t.proven()));
            }
        }
    }

    private static State next(Zone z, Tally t, boolean scarce, boolean othersServe, long now) {
        int news = t.out() + t.proven();
        boolean doubtful =
                t.out() > DOUBTED * news
                        && news >= Math.min(t.servers(), Math.max(2, NEWS_LEAST * t.servers()));
        long lasted = now - z.since;
        switch (z.state) {
            case WHOLE:
                z.times = lasted > FORGET ? 0 : z.times;
                return doubtful && now >= z.calmUntil ? State.DOUBTED : State.WHOLE;
            case DOUBTED:
                if (t.out() >= LOST * news && doubtful && lasted >= DOUBT && othersServe) {
                    return leave(z);
                }
                z.calmUntil = doubtful ? now + CALM : now;
                return doubtful && lasted < DOUBT_MOST ? State.DOUBTED : State.WHOLE;
            case LEFT:
                // Where it is needed nothing is held back: cold servers' budgets bound what they
                // get.
                z.part = scarce ? 1 : FIRST;
                return !othersServe
                                || scarce && z.good > 0
                                || z.good >= Math.min(TRIALS_OK, t.servers())
                                        && lasted >= HOLD << Math.min(DOUBLINGS, z.times - 1)
                        ? State.RETURNING
                        : State.LEFT;
            default:
                if (othersServe && (z.bad > z.good || doubtful)) {
                    return leave(z);
                }
                if ((lasted >= STEP || scarce) && (z.good > 0 || !othersServe)) {
                    z.part = Math.min(1, 2 * z.part);
                    z.begins(now);
                }
                return z.part < 1 ? State.RETURNING : State.WHOLE;
        }
    }

    private static State leave(Zone z) {
        z.times++;
        z.part = 0;
        return State.LEFT;
    }

    // Whether servers answer in a zone that is neither left nor in doubt; else this balancer may be
    // the one
    // cut off.
    private boolean othersServe(int number, List<Tally> tallies) {
        for (int z = 0; z < tallies.size(); z++) {
            if (z != number
                    && of(z).state == State.WHOLE
                    && tallies.get(z).proven() > tallies.get(z).out()) {
                return true;
            }
        }
        return false;
    }
}
