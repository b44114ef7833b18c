package junctionhead.lab.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Locale;
import java.util.function.IntPredicate;
import junctionhead.lab.plan.Seeds;
import junctionhead.membership.Membership;
import junctionhead.membership.Message;
import junctionhead.membership.Status;
import junctionhead.membership.Timing;
import junctionhead.membership.View;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Many members in simulated time, by the machine that balancers run: how soon a killed one is
 * known, whether a live one is ever held dead, and what it costs.
 */
public final class SimMembers {
    // µs one way
    private static final long DELAY_LEAST = 1_200;
    private static final long DELAY_MOST = 10_000;
    // µs that a loop's timers come late at most
    private static final long TICK_LATE = 1_000;
    // ms of the wall clock at time 0
    private static final long CLOCK = 1_700_000_000_000L;

    private final Timeline time = new Timeline();
    private final Membership[] members;
    private final int[] lives;
    private final boolean[] down;
    private final long[] bytes;
    private final long[] killedAt;
    // By member: who knows of its last end
    private final BitSet[] knownBy;
    // incarnations that the present processes began with
    private final long[] born;
    private final double loss;
    private final UniformRandomProvider random;
    private final Histogram known = new Histogram(3);
    private final List<String> wronged = new ArrayList<>();
    // Of a cut: messages pass within a side only
    private IntPredicate side = m -> true;
    private long datagrams;
    private Rider rider;

    /** What goes by the members' views, and shares their fate and their paths. */
    interface Rider {
        /** A process of that member starts. */
        void started(int member);

        /** It sees that. */
        void seen(int member, View view);
    }

    /** {@code loss}: the part of the datagrams that never comes. */
    public SimMembers(int count, double loss, long seed) {
        this.loss = loss;
        random = Seeds.stream(seed, "members");
        members = new Membership[count];
        lives = new int[count];
        down = new boolean[count];
        bytes = new long[count];
        killedAt = new long[count];
        knownBy = new BitSet[count];
        Arrays.setAll(knownBy, m -> new BitSet(count));
        born = new long[count];
        Arrays.fill(killedAt, -1);
        for (int m = 0; m < count; m++) {
            start(m);
        }
    }

    private void start(int m) {
        lives[m]++;
        down[m] = false;
        killedAt[m] = -1;
        born[m] = CLOCK + time.now() / 1000;
        members[m] = new Membership(m, members.length, Timing.USUAL, born[m], time.now());
        schedule(m);
        if (rider != null) {
            rider.started(m);
        }
    }

    /** From now on; it hears of all that run already. */
    void rides(Rider who) {
        rider = who;
        for (int m = 0; m < members.length; m++) {
            rider.started(m);
        }
    }

    Timeline time() {
        return time;
    }

    boolean runs(int m) {
        return !down[m];
    }

    private void schedule(int m) {
        wake(
                m,
                members[m].next(),
                () -> {
                    act(m, members[m].tick(time.now()));
                    schedule(m);
                });
    }

    /**
     * Has something happen at that time, or a little late, if this process of the member still runs
     * then.
     */
    void wake(int m, long at, Runnable what) {
        int life = lives[m];
        long late = (long) (random.nextDouble() * TICK_LATE);
        time.at(
                at + late,
                () -> {
                    if (lives[m] == life && !down[m]) {
                        what.run();
                    }
                });
    }

    private void act(int from, List<Membership.Act> acts) {
        for (Membership.Act act : acts) {
            if (act instanceof Membership.Send send) {
                send(from, send);
            } else if (act instanceof Membership.Changed changed) {
                noted(from, changed);
                if (rider != null) {
                    rider.seen(from, changed.view());
                }
            }
        }
    }

    private void send(int from, Membership.Send send) {
        byte[] text = send.message().encode();
        bytes[from] += text.length;
        datagrams++;
        int to = send.to();
        post(from, to, () -> act(to, members[to].heard(time.now(), from, Message.decode(text))));
    }

    /** What {@code to} does with a datagram, if that comes. */
    void post(int from, int to, Runnable arrives) {
        if (random.nextDouble() < loss || side.test(from) != side.test(to)) {
            return;
        }
        time.after(
                DELAY_LEAST + (long) (random.nextDouble() * (DELAY_MOST - DELAY_LEAST)),
                () -> {
                    if (!down[to]) {
                        arrives.run();
                    }
                });
    }

    private void noted(int by, Membership.Changed changed) {
        int m = changed.news().member();
        if (changed.news().status() != Status.DEAD) {
            return;
        }
        if (killedAt[m] >= 0) {
            if (!knownBy[m].get(by)) {
                // What it held first; incarnations may follow
                knownBy[m].set(by);
                known.recordValue(time.now() - killedAt[m]);
            }
        } else if (!down[m] && changed.news().incarnation() >= born[m] && wronged.size() < 100) {
            wronged.add(
                    String.format(
                            Locale.ROOT,
                            "n%d held dead by n%d at %.3f s",
                            m,
                            by,
                            time.now() / 1e6));
        }
    }

    /** Plays so many µs more. */
    public void play(long length) {
        time.run(time.now() + length);
    }

    /** A process ends without a word. */
    public void kill(int m) {
        down[m] = true;
        killedAt[m] = time.now();
        knownBy[m].clear();
    }

    /** A process says that it leaves, and ends. */
    public void leave(int m) {
        act(m, members[m].leave(time.now()));
        down[m] = true;
    }

    /** It starts again, with an empty memory. */
    public void restart(int m) {
        start(m);
    }

    /**
     * From here on messages pass within the side that the test tells apart, and within the other.
     */
    public void cut(IntPredicate sides) {
        side = sides;
    }

    /** All paths are whole again. */
    public void heal() {
        side = m -> true;
    }

    /**
     * Whether all that run hold the same of every member, and hold each other present and the rest
     * not.
     */
    public boolean agreed() {
        View first = null;
        for (int m = 0; m < members.length; m++) {
            if (down[m]) {
                continue;
            }
            View view = members[m].view();
            for (int other = 0; other < members.length; other++) {
                if (view.isPresent(other) == down[other]) {
                    return false;
                }
            }
            first = first == null ? view : first;
        }
        return first != null;
    }

    /** µs until {@link #agreed}, looked at each 20 ms; -1: not within {@code most}. */
    public long untilAgreed(long most) {
        long from = time.now();
        while (time.now() - from <= most) {
            if (agreed()) {
                return time.now() - from;
            }
            play(20_000);
        }
        return -1;
    }

    /** µs from a member's end until another knew it, of every pair. */
    public Histogram known() {
        return known;
    }

    /** Live members that somebody held dead while their paths were whole, at most a hundred. */
    public List<String> wronged() {
        return wronged;
    }

    /** Mean bytes that a member sent, of all so far. */
    public double meanBytes() {
        return Arrays.stream(bytes).average().orElse(0);
    }

    /** Datagrams sent by all. */
    public long datagrams() {
        return datagrams;
    }
}
