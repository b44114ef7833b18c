package junctionhead.lab.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import junctionhead.membership.Membership;
import junctionhead.membership.Message;
import junctionhead.membership.Status;
import junctionhead.membership.Timing;

/**
 * Looks at what may happen to a few members of {@link Membership}: messages delivered in any order,
 * lost and repeated, members that stand still, crash and start anew. Each state once, by its
 * fingerprint, from the newest found and from any in turn. In each state no incarnation has gone
 * back; and from a part of the states, once faults end, all live members must come to hold each
 * other present and the others not.
 */
public final class MembersExplorer implements Search.Model<MembersExplorer.World> {
    // µs that time moves on by
    private static final long STEP = 20_000;
    // ms
    private static final long CLOCK = 1_000_000;
    // messages under way; the oldest beyond it are lost
    private static final int FLYING_MOST = 6;
    // µs after the last fault in which views must agree
    private static final long SETTLE = 6_000_000;

    private final int members;
    private final Timing timing;
    private final Fault planted;

    /** A mistake built in, to see that it is found. */
    public enum Fault {
        NONE,
        FORGETS_ALL,
        DENIES_NOTHING,
        DEAD_STAY_DEAD
    }

    /** A state of the world, and how it was come to. */
    record World(
            Membership[] members,
            boolean[] down,
            boolean[] still,
            List<Flight> flying,
            long now,
            int faultsLeft,
            World from,
            String step)
            implements Search.State<World> {}

    record Flight(int from, int to, Message message) {}

    /** {@code timing}: small times make more happen within few steps. */
    public MembersExplorer(int members, Timing timing, Fault planted) {
        this.members = members;
        this.timing = timing;
        this.planted = planted;
    }

    /**
     * Explores until so many states were seen.
     *
     * @param faults crashes, pauses, losses and repeats on one path at most
     * @param settleEach from one state in so many it is tried whether views come to agree
     */
    public Finding explore(long states, int faults, int settleEach, long seed) {
        Membership[] all = new Membership[members];
        for (int m = 0; m < members; m++) {
            all[m] = new Membership(m, members, timing, CLOCK, 0);
        }
        return new Search<>(this)
                .explore(
                        new World(
                                all,
                                new boolean[members],
                                new boolean[members],
                                List.of(),
                                0,
                                faults,
                                null,
                                "all start"),
                        states,
                        settleEach,
                        seed);
    }

    @Override
    public boolean struck(World before, World w) {
        return w.faultsLeft < before.faultsLeft;
    }

    @Override
    public String wrong(World before, World after) {
        return wentBack(before, after);
    }

    @Override
    public long fingerprint(World w) {
        long h = w.faultsLeft;
        for (int m = 0; m < members; m++) {
            h =
                    h * 1_000_003
                            + (w.down[m]
                                    ? 1
                                    : w.still[m]
                                            ? 2 + w.members[m].fingerprint(w.now)
                                            : w.members[m].fingerprint(w.now));
        }
        // A set: their order does not matter
        long flights = 0;
        for (Flight f : w.flying) {
            long one = (f.from * 31L + f.to) * 31 + f.message.hashCode();
            flights += (one ^ one >>> 17) * 0x9e3779b97f4a7c15L;
        }
        return (h ^ flights) * 0xbf58476d1ce4e5b9L;
    }

    // ------------------------------------------------------------ what may happen next

    @Override
    public List<World> after(World w) {
        List<World> next = new ArrayList<>();
        for (int i = 0; i < w.flying.size(); i++) {
            Flight f = w.flying.get(i);
            List<Flight> rest = new ArrayList<>(w.flying);
            rest.remove(i);
            if (!w.still[f.to]) {
                next.add(delivered(w, f, rest, w.faultsLeft, "arrives"));
            }
            if (w.faultsLeft > 0) {
                next.add(
                        new World(
                                w.members,
                                w.down,
                                w.still,
                                rest,
                                w.now,
                                w.faultsLeft - 1,
                                w,
                                text(f) + " is lost"));
                if (!w.still[f.to]) {
                    next.add(
                            delivered(
                                    w,
                                    f,
                                    w.flying,
                                    w.faultsLeft - 1,
                                    "arrives, and will once more"));
                }
            }
        }
        next.add(passed(w, STEP, "time passes"));
        if (w.faultsLeft > 0) {
            for (int m = 0; m < members; m++) {
                next.add(w.down[m] ? started(w, m) : crashed(w, m));
                if (!w.down[m]) {
                    next.add(stood(w, m));
                }
            }
        }
        return next;
    }

    private static String text(Flight f) {
        return f.message.kind() + " of n" + f.from + " to n" + f.to;
    }

    private World delivered(World w, Flight f, List<Flight> rest, int faultsLeft, String how) {
        if (w.down[f.to]) {
            return new World(
                    w.members,
                    w.down,
                    w.still,
                    rest,
                    w.now,
                    faultsLeft,
                    w,
                    text(f) + " finds nobody");
        }
        Membership[] all = w.members.clone();
        all[f.to] = new Membership(all[f.to]);
        List<Flight> flying = new ArrayList<>(rest);
        fly(flying, f.to, hear(all[f.to], w.now, f));
        return new World(all, w.down, w.still, flying, w.now, faultsLeft, w, text(f) + " " + how);
    }

    // Here a planted fault does its harm: on what a member hears.
    private List<Membership.Act> hear(Membership member, long now, Flight f) {
        Message m = f.message;
        if (planted == Fault.DENIES_NOTHING) {
            m =
                    new Message(
                            m.kind(),
                            m.subject(),
                            m.number(),
                            m.incarnation(),
                            m.news().stream().filter(n -> n.member() != f.to).toList());
        } else if (planted == Fault.DEAD_STAY_DEAD) {
            var view = member.view();
            if (view.members().get(f.from).status() == Status.DEAD) {
                return List.of();
            }
            m =
                    new Message(
                            m.kind(),
                            m.subject(),
                            m.number(),
                            m.incarnation(),
                            m.news().stream()
                                    .filter(
                                            n ->
                                                    n.member() >= members
                                                            || view.members()
                                                                            .get(n.member())
                                                                            .status()
                                                                    != Status.DEAD)
                                    .toList());
        }
        return member.heard(now, f.from, m);
    }

    private static void fly(List<Flight> flying, int from, List<Membership.Act> acts) {
        for (Membership.Act act : acts) {
            if (act instanceof Membership.Send send) {
                flying.add(new Flight(from, send.to(), send.message()));
            }
        }
        while (flying.size() > FLYING_MOST) {
            flying.remove(0);
        }
    }

    private World passed(World w, long step, String how) {
        long now = w.now + step;
        Membership[] all = w.members.clone();
        List<Flight> flying = new ArrayList<>(w.flying);
        for (int m = 0; m < members; m++) {
            if (!w.down[m] && !w.still[m] && all[m].next() <= now) {
                all[m] = new Membership(all[m]);
                fly(flying, m, all[m].tick(now));
            }
        }
        return new World(all, w.down, w.still, flying, now, w.faultsLeft, w, how);
    }

    private World crashed(World w, int m) {
        boolean[] down = w.down.clone();
        down[m] = true;
        return new World(
                w.members,
                down,
                w.still,
                w.flying,
                w.now,
                w.faultsLeft - 1,
                w,
                "n" + m + " crashes");
    }

    private World started(World w, int m) {
        boolean[] down = w.down.clone();
        boolean[] still = w.still.clone();
        down[m] = false;
        still[m] = false;
        Membership[] all = w.members.clone();
        // Each second start finds the clock set back: peers know a higher incarnation than this
        // one.
        boolean back = w.faultsLeft % 2 == 0;
        all[m] = new Membership(m, members, timing, back ? 1 : CLOCK + w.now / 1000, w.now);
        return new World(
                all,
                down,
                still,
                w.flying,
                w.now,
                w.faultsLeft - 1,
                w,
                "n" + m + (back ? " starts with its clock set back" : " starts"));
    }

    private World stood(World w, int m) {
        boolean[] still = w.still.clone();
        still[m] = !still[m];
        Membership[] all = w.members.clone();
        if (planted == Fault.FORGETS_ALL && !still[m]) {
            all[m] = new Membership(m, members, timing, CLOCK, w.now);
        }
        return new World(
                all,
                w.down,
                still,
                w.flying,
                w.now,
                w.faultsLeft - 1,
                w,
                "n" + m + (still[m] ? " stands still" : " goes on"));
    }

    // ------------------------------------------------------------ what must hold

    private String wentBack(World before, World after) {
        for (int m = 0; m < members; m++) {
            if (before.down[m] || after.down[m]) {
                continue;
            }
            for (int other = 0; other < members; other++) {
                long was = before.members[m].view().members().get(other).incarnation();
                long is = after.members[m].view().members().get(other).incarnation();
                if (is < was) {
                    return "n"
                            + m
                            + " holds incarnation "
                            + is
                            + " of n"
                            + other
                            + ", and held "
                            + was;
                }
            }
        }
        return "";
    }

    // No more faults: all goes on, whoever is down stays down, and messages take one step.
    @Override
    public String settle(World w) {
        Membership[] all = Arrays.stream(w.members).map(Membership::new).toArray(Membership[]::new);
        List<Flight> flying = new ArrayList<>(w.flying);
        long now = w.now;
        for (long end = now + SETTLE; now < end; now += STEP) {
            List<Flight> arriving = new ArrayList<>(flying);
            flying.clear();
            arriving.sort(Comparator.comparingInt(Flight::from));
            for (Flight f : arriving) {
                if (!w.down[f.to]) {
                    fly(flying, f.to, hear(all[f.to], now, f));
                }
            }
            for (int m = 0; m < members; m++) {
                if (!w.down[m] && all[m].next() <= now) {
                    fly(flying, m, all[m].tick(now));
                }
            }
        }
        for (int m = 0; m < members; m++) {
            for (int other = 0; !w.down[m] && other < members; other++) {
                if (all[m].view().isPresent(other) == w.down[other]) {
                    return "n"
                            + m
                            + " holds n"
                            + other
                            + (w.down[other]
                                    ? ", which is down, present"
                                    : " away, though it lives")
                            + " after "
                            + SETTLE / 1000
                            + " ms without a fault";
                }
            }
        }
        return "";
    }
}
