package junctionhead.lab.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import junctionhead.duties.Duties;
import junctionhead.duties.Promise;
import junctionhead.duties.Terms;
import junctionhead.duties.Word;

/**
 * Looks at what may happen to a few members of {@link Duties} and one slot: messages in any order,
 * lost and repeated; disks that take their time, fail, or come back emptied or older; crashes,
 * pauses, clocks 5% fast and slow and hours apart, views of who is present that are simply wrong.
 * In each state one member at most may act, epochs have not gone back, and nobody has taken an
 * older holder's word after a newer one's. After the last fault there is a holder again.
 */
public final class DutiesExplorer implements Search.Model<DutiesExplorer.World> {
    // µs that time moves on by
    private static final long STEP = 10_000;
    // ms
    private static final long WALL = 1_000_000;
    // µs between members' clocks
    private static final long APART = 7_200_000_000L;
    // Of clocks, in parts of 100
    private static final int[] RATES = {105, 95, 100, 97, 103};
    // Messages under way; the oldest beyond it are lost
    private static final int FLYING_MOST = 9;
    private static final int SETTLE_LEASES = 12;
    // The last of them, in which nothing changes hands
    private static final int CALM_LEASES = 4;

    private final int members;
    private final Terms terms;
    private final Fault planted;

    /** A mistake built in, to see that it is found. */
    public enum Fault {
        NONE,
        NO_WAIT_AFTER_START,
        ANSWER_BEFORE_SYNC,
        MARGIN_TOO_SMALL,
        MAJORITY_OF_PRESENT,
        EPOCH_NOT_CHECKED,
        NO_LOOK_AT_CLOCK
    }

    /**
     * A state: the members, their disks ({@code kept}, the copy before it, and what is under way),
     * what each took for a holder's newest word, and the newest epoch that was ever held, by whom.
     */
    record World(
            Duties[] members,
            boolean[] down,
            boolean[] still,
            boolean[][] views,
            List<List<Promise>> kept,
            List<List<Promise>> older,
            Duties.Keep[] writing,
            long[] heard,
            boolean[] said,
            boolean[] rests,
            long newest,
            int newestBy,
            String flaw,
            List<Flight> flying,
            long now,
            int faultsLeft,
            World from,
            String step)
            implements Search.State<World> {}

    /** {@code act}: the epoch under which its sender acted, in place of a word; else 0. */
    record Flight(int from, int to, Word word, long act) {}

    /** A world that is being changed. */
    private final class Next {
        final World w;
        final Duties[] all;
        final List<Flight> flying;
        final List<List<Promise>> kept;
        final List<List<Promise>> older;
        final Duties.Keep[] writing;
        final long[] heard;
        final boolean[] said;
        boolean[] down;
        boolean[] still;
        boolean[] rests;
        boolean[][] views;
        long newest;
        int newestBy;
        String flaw = "";
        long now;
        int faultsLeft;

        Next(World w) {
            this.w = w;
            all = w.members.clone();
            flying = new ArrayList<>(w.flying);
            kept = new ArrayList<>(w.kept);
            older = new ArrayList<>(w.older);
            writing = w.writing.clone();
            heard = w.heard.clone();
            said = w.said.clone();
            down = w.down;
            still = w.still;
            rests = w.rests;
            views = w.views;
            newest = w.newest;
            newestBy = w.newestBy;
            now = w.now;
            faultsLeft = w.faultsLeft;
        }

        Duties own(int m) {
            all[m] = new Duties(all[m]);
            return all[m];
        }

        Next fault() {
            faultsLeft--;
            return this;
        }

        void play(int m, List<Duties.Act> acts) {
            for (Duties.Act act : acts) {
                if (act instanceof Duties.Send send) {
                    fly(m, send);
                } else if (act instanceof Duties.Keep keep) {
                    writing[m] = keep;
                    if (planted == Fault.ANSWER_BEFORE_SYNC) {
                        play(m, all[m].kept(clock(m, now), keep.number(), true));
                    }
                } else if (act instanceof Duties.Taken taken) {
                    took(m, taken.epoch());
                } else {
                    said[m] = false;
                }
            }
        }

        private void took(int m, long epoch) {
            if (epoch < newest || epoch == newest && newestBy != m) {
                flaw =
                        "n"
                                + m
                                + " holds it under epoch "
                                + epoch
                                + ", and n"
                                + newestBy
                                + " held it under "
                                + newest;
            }
            newest = epoch;
            newestBy = m;
            said[m] = true;
        }

        private void fly(int m, Duties.Send send) {
            if (planted == Fault.MAJORITY_OF_PRESENT
                    && send.word().kind() == Word.Kind.ASK
                    && !views[m][send.to()]) {
                Word w = send.word();
                play(
                        m,
                        all[m].heard(
                                clock(m, now),
                                send.to(),
                                new Word(Word.Kind.GRANTED, w.process(), w.number(), w.entries())));
                return;
            }
            if (send.word().kind() == Word.Kind.GRANTED) {
                long safe = kept.get(m) == null ? -1 : kept.get(m).get(0).epoch();
                send.word().entries().stream()
                        .filter(e -> e.epoch() > safe)
                        .forEach(
                                e ->
                                        flaw =
                                                "n"
                                                        + m
                                                        + " tells that it granted epoch "
                                                        + e.epoch()
                                                        + ", and a crash now would undo it");
            }
            add(new Flight(m, send.to(), send.word(), 0));
        }

        void add(Flight flight) {
            flying.add(flight);
            for (int i = 0; flying.size() > FLYING_MOST && i < flying.size(); ) {
                // Acts stay: late ones are what the fence is for.
                if (flying.get(i).word == null) {
                    i++;
                } else {
                    flying.remove(i);
                }
            }
        }

        World done(String step) {
            return new World(
                    all,
                    down,
                    still,
                    views,
                    kept,
                    older,
                    writing,
                    heard,
                    said,
                    rests,
                    newest,
                    newestBy,
                    flaw,
                    flying,
                    now,
                    faultsLeft,
                    w,
                    step);
        }
    }

    /** {@code terms}: one slot, and short times to make more happen within few steps. */
    public DutiesExplorer(int members, Terms terms, Fault planted) {
        this.members = members;
        this.terms = terms;
        this.planted = planted;
    }

    private long clock(int m, long now) {
        int off = (RATES[m] - 100) * (planted == Fault.MARGIN_TOO_SMALL ? 3 : 1);
        return APART * (m + 1) + now / 100 * (100 + off);
    }

    private Duties started(int m, List<Promise> promises, long now) {
        long wall = WALL + now / 1000;
        Duties d =
                new Duties(
                        m, members, terms, promises, true, wall, wall * members + m, clock(m, now));
        if (planted == Fault.NO_WAIT_AFTER_START) {
            d.opened(clock(m, now) - terms.lease());
        }
        return d;
    }

    /**
     * Explores until so many states were seen.
     *
     * @param steps of one walk
     * @param faults crashes, losses, pauses, wrong views and the like on one path at most
     * @param settleEach from one state in so many it is tried whether there is a holder in the end
     */
    public Finding explore(long states, int steps, int faults, int settleEach, long seed) {
        Duties[] all = new Duties[members];
        boolean[][] views = new boolean[members][members];
        List<List<Promise>> none = new ArrayList<>();
        for (int m = 0; m < members; m++) {
            all[m] = started(m, null, 0);
            Arrays.fill(views[m], true);
            none.add(null);
        }
        return new Search<>(this)
                .walk(
                        new World(
                                all,
                                new boolean[members],
                                new boolean[members],
                                views,
                                none,
                                none,
                                new Duties.Keep[members],
                                new long[members],
                                new boolean[members],
                                new boolean[members],
                                0,
                                -1,
                                "",
                                List.of(),
                                0,
                                faults,
                                null,
                                "all start"),
                        states,
                        steps,
                        settleEach,
                        seed);
    }

    @Override
    public long fingerprint(World w) {
        long h = w.faultsLeft * 31L + w.newest * 7 + w.newestBy;
        for (int m = 0; m < members; m++) {
            h =
                    h * 1_000_003
                            + (w.down[m]
                                    ? 1
                                    : (w.still[m] ? 2 : 3)
                                            + w.members[m].fingerprint(clock(m, w.now)));
            h =
                    h * 31
                            + Arrays.hashCode(w.views[m])
                            + w.heard[m] * 17
                            + (w.writing[m] == null ? 0 : 5);
            h = h * 31 + (w.kept.get(m) == null ? 0 : w.kept.get(m).hashCode());
        }
        // A set: their order does not matter
        long flights = 0;
        for (Flight f : w.flying) {
            long one =
                    (f.from * 31L + f.to) * 31
                            + f.act * 7
                            + (f.word == null ? 0 : f.word.hashCode());
            flights += (one ^ one >>> 17) * 0x9e3779b97f4a7c15L;
        }
        return (h ^ flights) * 0xbf58476d1ce4e5b9L;
    }

    // ------------------------------------------------------------ what may happen next

    @Override
    public List<World> after(World w) {
        List<World> next = new ArrayList<>();
        for (Flight f : w.flying) {
            if (!w.still[f.to]) {
                next.add(delivered(w, f, true));
            }
            if (w.faultsLeft > 0) {
                Next lost = new Next(w).fault();
                lost.flying.remove(f);
                next.add(lost.done(text(f) + " is lost"));
                if (!w.still[f.to]) {
                    next.add(delivered(w, f, false));
                }
            }
        }
        next.add(passed(w));
        for (int m = 0; m < members; m++) {
            if (w.down[m]) {
                if (w.faultsLeft > 0) {
                    next.add(back(w, m, w.kept.get(m), "starts again"));
                    next.add(back(w, m, null, "starts with its disk emptied"));
                    next.add(back(w, m, w.older.get(m), "starts with an older copy of its disk"));
                }
                continue;
            }
            if (w.writing[m] != null) {
                next.add(synced(w, m, true));
                if (w.faultsLeft > 0) {
                    next.add(synced(w, m, false));
                }
            }
            // Few acts at a time: more would push out what leases are made of.
            if (!w.still[m]
                    && acts(w, m) > 0
                    && w.flying.stream().filter(f -> f.word == null).count() < members) {
                next.add(acted(w, m));
            }
            if (w.faultsLeft > 0) {
                next.addAll(struck(w, m));
            }
        }
        return next;
    }

    private static String text(Flight f) {
        return (f.word == null ? "act under " + f.act : f.word.kind().toString())
                + " of n"
                + f.from
                + " to n"
                + f.to;
    }

    private World delivered(World w, Flight f, boolean once) {
        Next n = once ? new Next(w) : new Next(w).fault();
        if (once) {
            n.flying.remove(f);
        }
        String how = once ? " arrives" : " arrives, and will once more";
        if (w.down[f.to]) {
            return n.done(text(f) + " finds nobody");
        }
        if (f.word != null) {
            n.play(f.to, n.own(f.to).heard(clock(f.to, w.now), f.from, f.word));
        } else if (n.own(f.to).fence().passes(0, f.act) || planted == Fault.EPOCH_NOT_CHECKED) {
            if (f.act < n.heard[f.to]) {
                n.flaw =
                        "n"
                                + f.to
                                + " takes a word under epoch "
                                + f.act
                                + " after one under "
                                + n.heard[f.to];
            }
            n.heard[f.to] = f.act;
        }
        return n.done(text(f) + how);
    }

    private World passed(World w) {
        Next n = new Next(w);
        n.now += STEP;
        for (int m = 0; m < members; m++) {
            if (!w.down[m] && !w.still[m] && n.all[m].next() <= clock(m, n.now)) {
                n.play(m, n.own(m).tick(clock(m, n.now)));
            }
        }
        return n.done("time passes");
    }

    private World synced(World w, int m, boolean safe) {
        Next n = safe ? new Next(w) : new Next(w).fault();
        Duties.Keep keep = n.writing[m];
        n.writing[m] = null;
        if (safe) {
            n.older.set(m, n.kept.get(m));
            n.kept.set(m, keep.promises());
        }
        if (!w.still[m] || planted != Fault.ANSWER_BEFORE_SYNC) {
            n.play(m, n.own(m).kept(clock(m, w.now), keep.number(), safe));
        }
        return n.done("n" + m + (safe ? " has kept its promises" : " could not keep its promises"));
    }

    private World acted(World w, int m) {
        Next n = new Next(w);
        for (int to = 0; to < members; to++) {
            if (to != m) {
                n.add(new Flight(m, to, null, acts(w, m)));
            }
        }
        return n.done("n" + m + " acts");
    }

    private List<World> struck(World w, int m) {
        List<World> next = new ArrayList<>();
        Next crash = new Next(w).fault();
        crash.down = w.down.clone();
        crash.down[m] = true;
        // Neither synced nor promised
        crash.writing[m] = null;
        crash.said[m] = false;
        next.add(crash.done("n" + m + " crashes"));
        Next pause = new Next(w).fault();
        pause.still = w.still.clone();
        pause.still[m] = !w.still[m];
        next.add(pause.done("n" + m + (w.still[m] ? " goes on" : " stands still")));
        if (!w.still[m]) {
            Next rest = new Next(w).fault();
            rest.rests = w.rests.clone();
            rest.rests[m] = !w.rests[m];
            rest.play(m, rest.own(m).rest(clock(m, w.now), rest.rests[m]));
            next.add(rest.done("n" + m + (w.rests[m] ? " wants duties again" : " rests")));
        }
        for (int other = 0; other < members && !w.still[m]; other++) {
            if (other != m) {
                Next view = new Next(w).fault();
                view.views = w.views.clone();
                view.views[m] = w.views[m].clone();
                view.views[m][other] = !w.views[m][other];
                view.play(m, view.own(m).present(clock(m, w.now), who -> view.views[m][who]));
                next.add(
                        view.done(
                                "n"
                                        + m
                                        + " holds n"
                                        + other
                                        + (w.views[m][other] ? " gone" : " present")));
            }
        }
        return next;
    }

    private World back(World w, int m, List<Promise> promises, String how) {
        Next n = new Next(w).fault();
        n.down = w.down.clone();
        n.down[m] = false;
        n.still = w.still.clone();
        n.still[m] = false;
        n.views = w.views.clone();
        n.views[m] = new boolean[members];
        Arrays.fill(n.views[m], true);
        n.all[m] = started(m, promises, w.now);
        n.kept.set(m, promises);
        n.older.set(m, promises);
        n.heard[m] = 0;
        n.rests = w.rests.clone();
        n.rests[m] = false;
        return n.done("n" + m + " " + how);
    }

    // ------------------------------------------------------------ what must hold

    // The epoch under which it would act now; 0: none.
    private long acts(World w, int m) {
        if (planted == Fault.NO_LOOK_AT_CLOCK) {
            return w.said[m] ? w.newest : 0;
        }
        Duties.Hold hold = w.members[m].hold(clock(m, w.now), 0);
        return hold == null ? 0 : hold.epoch();
    }

    @Override
    public boolean struck(World before, World w) {
        return w.faultsLeft < before.faultsLeft;
    }

    @Override
    public String wrong(World before, World w) {
        if (!w.flaw.isEmpty()) {
            return w.flaw;
        }
        int holder = -1;
        for (int m = 0; m < members; m++) {
            if (!w.down[m] && acts(w, m) > 0) {
                if (holder >= 0) {
                    return "n" + holder + " and n" + m + " may both act";
                }
                holder = m;
            }
        }
        return "";
    }

    // No more faults: who is down starts again, views are true, disks and messages take one step.
    @Override
    public String settle(World w) {
        Next n = new Next(w);
        n.views = new boolean[members][members];
        n.still = new boolean[members];
        n.down = new boolean[members];
        for (int m = 0; m < members; m++) {
            Arrays.fill(n.views[m], true);
            n.all[m] = w.down[m] ? started(m, w.kept.get(m), w.now) : new Duties(w.members[m]);
            n.play(m, n.all[m].present(clock(m, w.now), who -> true));
            n.play(m, n.all[m].rest(clock(m, w.now), false));
        }
        // The epoch held while it has to stay
        long calm = -1;
        for (long end = w.now + SETTLE_LEASES * terms.lease(); n.now < end; n.now += STEP) {
            calm = end - n.now > CALM_LEASES * terms.lease() ? n.newest : calm;
            List<Flight> arriving = new ArrayList<>(n.flying);
            n.flying.clear();
            for (Flight f : arriving) {
                if (f.word != null) {
                    n.play(f.to, n.all[f.to].heard(clock(f.to, n.now), f.from, f.word));
                }
            }
            for (int m = 0; m < members; m++) {
                Duties.Keep keep = n.writing[m];
                n.writing[m] = null;
                if (keep != null) {
                    n.kept.set(m, keep.promises());
                    n.play(m, n.all[m].kept(clock(m, n.now), keep.number(), true));
                }
                if (n.all[m].next() <= clock(m, n.now)) {
                    n.play(m, n.all[m].tick(clock(m, n.now)));
                }
            }
            World at = n.done("settling");
            String wrong = wrong(w, at);
            if (!wrong.isEmpty()) {
                return wrong;
            }
        }
        if (n.newest != calm) {
            return "epoch " + calm + " became " + n.newest + " long after the last fault";
        }
        World last = n.done("settled");
        for (int m = 0; m < members; m++) {
            if (acts(last, m) > 0) {
                return "";
            }
        }
        return "nobody holds it " + SETTLE_LEASES + " leases after the last fault";
    }
}
