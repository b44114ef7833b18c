package junctionhead.lab.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import junctionhead.duties.Duties;
import junctionhead.duties.Promise;
import junctionhead.duties.Terms;
import junctionhead.duties.Word;
import junctionhead.membership.View;
import org.HdrHistogram.Histogram;

/**
 * Duties of many members in simulated time, on their own membership, by the machines that balancers
 * run: how soon a duty is passed on, whether two ever hold one, and what it costs.
 */
public final class SimDuties implements SimMembers.Rider {
    // µs that a disk takes
    private static final long SYNC = 5_000;
    // ms of the wall clock at time 0
    private static final long CLOCK = 1_700_000_000_000L;

    private final SimMembers fleet;
    private final Timeline time;
    private final Terms terms;
    private final Duties[] duties;
    private final List<List<Promise>> kept = new ArrayList<>();
    private final boolean durable;
    // By slot: since its holder's end; -1: held, or never was
    private final long[] freeSince;
    private final int[] holder;
    private final long[] wakeAt;
    private final long seed;
    private final Histogram passed = new Histogram(3);
    private final List<String> twice = new ArrayList<>();
    private long starts;
    private long bytes;
    private long datagrams;
    private long taken;

    /**
     * {@code loss}: the part of the datagrams that never comes; {@code durable}: promises outlive a
     * process.
     */
    public SimDuties(int count, double loss, boolean durable, Terms terms, long seed) {
        this.terms = terms;
        this.durable = durable;
        this.seed = seed;
        fleet = new SimMembers(count, loss, seed);
        time = fleet.time();
        duties = new Duties[count];
        freeSince = new long[terms.slots()];
        holder = new int[terms.slots()];
        wakeAt = new long[count];
        Arrays.fill(freeSince, -1);
        Arrays.fill(holder, -1);
        IntStream.range(0, count).forEach(m -> kept.add(null));
        fleet.rides(this);
    }

    @Override
    public void started(int m) {
        duties[m] =
                new Duties(
                        m,
                        duties.length,
                        terms,
                        kept.get(m),
                        durable,
                        CLOCK + time.now() / 1000,
                        seed * 1_000_003 + ++starts,
                        time.now());
        wakeAt[m] = Long.MAX_VALUE;
        schedule(m);
    }

    @Override
    public void seen(int m, View view) {
        act(m, duties[m].present(time.now(), view::isPresent));
    }

    // One wake is set at a time, and an earlier one in its place when something has happened.
    private void schedule(int m) {
        Duties of = duties[m];
        long next = of.next();
        if (next >= wakeAt[m] && wakeAt[m] > time.now()) {
            return;
        }
        wakeAt[m] = next;
        fleet.wake(
                m,
                next,
                () -> {
                    if (duties[m] == of && wakeAt[m] == next) {
                        wakeAt[m] = Long.MAX_VALUE;
                        act(m, of.tick(time.now()));
                    }
                });
    }

    private void act(int m, List<Duties.Act> acts) {
        for (Duties.Act act : acts) {
            if (act instanceof Duties.Send send) {
                byte[] text = send.word().encode();
                bytes += text.length;
                datagrams++;
                int to = send.to();
                fleet.post(
                        m, to, () -> act(to, duties[to].heard(time.now(), m, Word.decode(text))));
            } else if (act instanceof Duties.Keep keep) {
                fleet.wake(
                        m,
                        time.now() + SYNC,
                        () -> {
                            kept.set(m, keep.promises());
                            act(m, duties[m].kept(time.now(), keep.number(), true));
                        });
            } else if (act instanceof Duties.Taken of) {
                took(m, of.slot());
            } else if (act instanceof Duties.Given of && holder[of.slot()] == m) {
                holder[of.slot()] = -1;
            }
        }
        schedule(m);
    }

    private void took(int m, int slot) {
        taken++;
        for (int other = 0; other < duties.length; other++) {
            if (other != m
                    && fleet.runs(other)
                    && duties[other].hold(time.now(), slot) != null
                    && twice.size() < 100) {
                twice.add(
                        String.format(
                                Locale.ROOT,
                                "slot %d by n%d and n%d at %.3f s",
                                slot,
                                other,
                                m,
                                time.now() / 1e6));
            }
        }
        holder[slot] = m;
        if (freeSince[slot] >= 0) {
            passed.recordValue(time.now() - freeSince[slot]);
            freeSince[slot] = -1;
        }
    }

    /** Plays so many µs more. */
    public void play(long length) {
        fleet.play(length);
    }

    /** A process ends without a word, or ({@code told}) in order. */
    public void end(int m, boolean told) {
        for (int s = 0; s < holder.length; s++) {
            if (holder[s] == m) {
                freeSince[s] = time.now();
                holder[s] = -1;
            }
        }
        if (told) {
            act(m, duties[m].leave(time.now()));
            fleet.leave(m);
        } else {
            fleet.kill(m);
        }
    }

    /** It starts again. */
    public void restart(int m) {
        fleet.restart(m);
    }

    /** Who holds most now, of those that run. */
    public int busiest() {
        int[] held = new int[duties.length];
        Arrays.stream(holder).filter(m -> m >= 0).forEach(m -> held[m]++);
        return IntStream.range(0, held.length)
                .reduce((a, b) -> held[b] > held[a] ? b : a)
                .getAsInt();
    }

    /** Slots that somebody holds. */
    public long held() {
        return Arrays.stream(holder).filter(m -> m >= 0).count();
    }

    /** µs from a holder's end until somebody else held its slot, of each slot. */
    public Histogram passed() {
        return passed;
    }

    /** Slots that two held at once, at most a hundred. */
    public List<String> twice() {
        return twice;
    }

    /** Bytes of all words so far, of all members. */
    public long bytes() {
        return bytes;
    }

    /** Words so far, of all members. */
    public long datagrams() {
        return datagrams;
    }

    /** Times that a slot was taken. */
    public long taken() {
        return taken;
    }
}
