package junctionhead.duties;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import junctionhead.Hashing;

/**
 * Duties at one member: leases of slots by a majority of each slot's voters, after Gray and
 * Cheriton's leases with epochs as in Paxos. Time, messages and who is present come in; messages,
 * promises to be kept and what is held go out. Deterministic, one thread.
 *
 * <p>Of those present the one that {@link Spread} names sounds a slot's voters, and asks if most
 * would grant; voters whose grant still binds them refuse all others, so that one that comes and
 * goes unseats nobody. A holder may act until a majority's grants, counted from when it
 * <em>asked</em> for them, have run for nine tenths of the lease: the first of these voters is free
 * later than that by any clock within 5%. It looks at its clock before each act ({@link #hold}). It
 * hands over in order when it leaves or when somebody else has been the better holder for a while;
 * after a crash the lease has to end.
 *
 * <p>State: some words a slot and voter; messages a renewal: one to each voter of what is held
 * here, and its answer.
 */
public final class Duties {
    // Askings whose answers still count, at most
    private static final int ROUNDS = 128;
    // Of the wait of a refused candidate
    private static final int DOUBLINGS = 4;

    private final int self;
    private final int members;
    private final Terms terms;
    private final int process;
    private final Voter voter;
    // The highest epoch of each slot that was asked for
    private final long[] seen;
    private final Fence fence;
    private final Lease[] leases;
    private final boolean[] present;
    // When each asking was sent
    private final Map<Integer, Long> rounds = new LinkedHashMap<>();
    private final List<Act> acts = new ArrayList<>();
    private final Map<Integer, Map<Word.Kind, List<Word.Entry>>> letters = new LinkedHashMap<>();
    private int numbers;
    private long chance;
    private boolean viewChanged = true;
    private boolean left;
    // Wants nothing, as operators asked
    private boolean resting;
    // Those who may hold its slots meanwhile
    private long tellAt;

    /** What the caller is to do. */
    public sealed interface Act permits Send, Keep, Taken, Given {}

    /** Send a datagram to that member. */
    public record Send(int to, Word word) implements Act {}

    /** Keep all promises, synced, and then call {@link #kept} with that number. */
    public record Keep(long number, List<Promise> promises) implements Act {}

    /**
     * From now on this member holds the slot under that epoch, as long as {@link #hold} says so.
     */
    public record Taken(int slot, long epoch) implements Act {}

    /** It holds it no longer. */
    public record Given(int slot, long epoch, String why) implements Act {}

    /** Leave to act under that epoch until that time, µs. */
    public record Hold(long epoch, long until) {}

    /** One slot, as a holder or candidate sees it. */
    private static final class Lease {
        final int slot;
        final int[] voters;
        // Null: not held here
        Claim held;
        // Asked for; beside one that is held: a higher epoch
        Claim asked;
        long askedUntil;
        int repeats;
        // To those that have not granted it yet
        long repeatAt;
        long askAt;
        long renewAt;
        int refusals;
        // The member that should hold it
        int best = -1;
        // One that said that it does not want to
        int resigned = -1;
        long resignedUntil;
        // Somebody else than this holder
        long betterSince = Long.MAX_VALUE;

        Lease(int slot, int[] voters) {
            this.slot = slot;
            this.voters = voters;
        }

        Lease(Lease other) {
            this(other.slot, other.voters);
            held = other.held == null ? null : new Claim(other.held);
            asked = other.asked == null ? null : new Claim(other.asked);
            askedUntil = other.askedUntil;
            repeats = other.repeats;
            repeatAt = other.repeatAt;
            askAt = other.askAt;
            renewAt = other.renewAt;
            refusals = other.refusals;
            best = other.best;
            resigned = other.resigned;
            resignedUntil = other.resignedUntil;
            betterSince = other.betterSince;
        }
    }

    /**
     * Makes a member that holds nothing, and as a voter grants nothing for one lease.
     *
     * @param self its number, of {@code members} configured
     * @param promises as they were kept; null: none were found, or nothing is kept
     * @param durable whether the caller keeps promises
     * @param floor epochs begin above it: the wall clock's ms, for where nothing was kept
     * @param seed of what goes by chance; of two processes of one member it differs
     * @param now µs, monotonic
     */
    public Duties(
            int self,
            int members,
            Terms terms,
            List<Promise> promises,
            boolean durable,
            long floor,
            long seed,
            long now) {
        if (self < 0 || self >= members || promises != null && promises.size() != terms.slots()) {
            throw new IllegalArgumentException(
                    "no member " + self + " of " + members + ", or promises of others");
        }
        this.self = self;
        this.members = members;
        this.terms = terms;
        this.chance = seed;
        this.process = (int) Long.remainderUnsigned(Hashing.mix(seed), Word.PROCESSES);
        this.fence = new Fence(terms.slots());
        this.seen = new long[terms.slots()];
        long least = Math.min(Math.max(0, floor), Word.EPOCH_MOST / 2);
        this.voter =
                new Voter(
                        terms,
                        promises != null
                                ? promises
                                : Stream.generate(() -> Promise.none(least))
                                        .limit(terms.slots())
                                        .toList(),
                        durable,
                        now);
        this.leases = new Lease[terms.slots()];
        for (int s = 0; s < leases.length; s++) {
            leases[s] = new Lease(s, Spread.voters(s, members, terms.votersMost()));
            seen[s] = Math.max(least, voter.promised(s));
        }
        this.present = new boolean[members];
        Arrays.fill(present, true);
    }

    /**
     * The same member in the same state, independent from here on: for those who explore what may
     * happen.
     */
    public Duties(Duties other) {
        self = other.self;
        members = other.members;
        terms = other.terms;
        process = other.process;
        voter = new Voter(other.voter);
        seen = other.seen.clone();
        fence = new Fence(other.fence);
        leases = Arrays.stream(other.leases).map(Lease::new).toArray(Lease[]::new);
        present = other.present.clone();
        rounds.putAll(other.rounds);
        numbers = other.numbers;
        chance = other.chance;
        viewChanged = other.viewChanged;
        left = other.left;
        resting = other.resting;
        tellAt = other.tellAt;
    }

    /**
     * Its state in a number, times as seen from {@code now}; what differs in nothing that matters
     * is equal.
     */
    public long fingerprint(long now) {
        long h =
                voter.fingerprint(now) * 31
                        + Arrays.hashCode(present)
                        + (left ? 1 : 0)
                        + (resting ? 2 + Math.max(0, tellAt - now) : 0);
        for (Lease l : leases) {
            h = h * 31 + seen[l.slot];
            h = h * 31 + (l.held == null ? 0 : l.held.fingerprint(now, terms) + (l.renewAt - now));
            h =
                    h * 31
                            + (l.asked == null
                                    ? 0
                                    : l.asked.fingerprint(now, terms)
                                            + (l.askedUntil - now)
                                            + 3 * (l.repeatAt - now)
                                            + 5 * l.repeats);
            h =
                    h * 31
                            + l.refusals * 7
                            + l.resigned * 11
                            + Math.max(0, l.resignedUntil - now)
                            + l.best * 13
                            + Math.max(0, l.askAt - now);
            h = h * 31 + (l.betterSince == Long.MAX_VALUE ? 0 : now - l.betterSince);
        }
        for (Map.Entry<Integer, Long> round : rounds.entrySet()) {
            h = h * 31 + round.getKey() * 7 + Math.max(0, round.getValue() + terms.usable() - now);
        }
        return h * 0x9e3779b97f4a7c15L;
    }

    // ------------------------------------------------------------ what others ask

    /**
     * What this member holds of a slot at this very time; null: nothing. Who acts elsewhere or
     * later than now looks at the clock once more.
     */
    public Hold hold(long now, int slot) {
        Claim held = leases[slot].held;
        long until = held == null ? now : held.until(terms);
        return now < until ? new Hold(held.epoch, until) : null;
    }

    /** The same for a key's slot. */
    public Hold hold(long now, String key) {
        return hold(now, Spread.slot(key, terms.slots()));
    }

    /** Of what others do as holders: whether it counts. */
    public Fence fence() {
        return fence;
    }

    /** Until when this member grants nothing, as it may not know what it granted. */
    public long abstains() {
        return voter.abstains();
    }

    // ------------------------------------------------------------ time and view

    /**
     * From now on others can reach this member: an earlier process of it may have granted until
     * now.
     */
    public void opened(long now) {
        voter.opened(now);
    }

    /** Who is present, as this member knows. */
    public List<Act> present(long now, IntPredicate who) {
        for (int m = 0; m < members; m++) {
            viewChanged |= present[m] != who.test(m);
            present[m] = who.test(m);
        }
        return tick(now);
    }

    /** When {@link #tick} is wanted next, µs. */
    public long next() {
        long next = viewChanged ? Long.MIN_VALUE / 2 : voter.nextKeep();
        next = resting ? Math.min(next, tellAt) : next;
        for (Lease l : leases) {
            next = l.resigned >= 0 ? Math.min(next, l.resignedUntil) : next;
            if (l.held != null) {
                next = Math.min(next, Math.min(l.renewAt, l.held.until(terms)));
                next =
                        Math.min(
                                next,
                                l.betterSince == Long.MAX_VALUE
                                        ? next
                                        : l.betterSince + terms.settle());
            }
            if (l.asked != null) {
                next = Math.min(next, Math.min(l.askedUntil, l.repeatAt));
            } else if (l.held == null && l.best == self) {
                next = Math.min(next, l.askAt);
            }
        }
        return left ? Long.MAX_VALUE : next;
    }

    /** Time has passed. */
    public List<Act> tick(long now) {
        if (left) {
            return List.of();
        }
        if (viewChanged) {
            viewChanged = false;
            Arrays.stream(leases).forEach(this::choose);
        }
        for (Lease l : leases) {
            if (l.resigned >= 0 && now >= l.resignedUntil) {
                l.resigned = -1;
                choose(l);
            }
            look(l, now);
        }
        if (resting && now >= tellAt) {
            tellAt = now + terms.settle() / 3;
            Arrays.stream(leases).filter(l -> preferred(l) == self).forEach(l -> resign(l, 0));
        }
        if (Arrays.stream(leases).anyMatch(l -> l.held != null && now >= l.renewAt)) {
            // All in the same datagrams, those that are due soon too.
            Arrays.stream(leases)
                    .filter(l -> l.held != null && now + terms.renew() / 2 >= l.renewAt)
                    .forEach(
                            l -> {
                                l.renewAt = now + terms.renew();
                                write(l, Word.Kind.ASK, l.held.epoch);
                            });
        }
        return done(now);
    }

    private void choose(Lease l) {
        l.resigned = l.resigned >= 0 && present[l.resigned] ? l.resigned : -1;
        l.best =
                Spread.holder(
                        l.slot, members, m -> m == self ? !resting : present[m] && m != l.resigned);
    }

    // Who should hold it if nobody rested.
    private int preferred(Lease l) {
        return Spread.holder(l.slot, members, m -> m == self || present[m]);
    }

    /**
     * This member stays and wants no duties, or ({@code on} false) wants them again. It passes on
     * what it holds at once, and tells those concerned from time to time: they forget it a while
     * after the last time.
     */
    public List<Act> rest(long now, boolean on) {
        if (left) {
            return List.of();
        }
        resting = on;
        tellAt = now;
        for (Lease l : leases) {
            choose(l);
            if (on && l.held != null) {
                give(l, "resting");
            } else if (on && l.asked != null) {
                withdraw(l, now);
            }
        }
        return tick(now);
    }

    private void look(Lease l, long now) {
        if (l.held != null && now >= l.held.until(terms)) {
            give(l, "the lease is over");
            l.askAt = now + backoff(l);
        }
        if (l.held != null) {
            l.betterSince = l.best == self ? Long.MAX_VALUE : Math.min(l.betterSince, now);
            if (l.betterSince != Long.MAX_VALUE && now >= l.betterSince + terms.settle()) {
                give(l, "handed to " + l.best);
            }
        }
        if (l.asked != null && now >= l.askedUntil) {
            withdraw(l, now);
        }
        if (l.asked != null && now >= l.repeatAt) {
            send(l, now);
        }
        if (l.held == null && l.asked == null && l.best == self && now >= l.askAt) {
            ask(l, false, now);
        }
    }

    // ------------------------------------------------------------ asking and giving up

    // Sounds the voters first: epochs that rise in vain at some of them would be trouble for who
    // holds it. A
    // holder that needs a higher epoch has its voters already.
    private void ask(Lease l, boolean binding, long now) {
        if (seen[l.slot] >= Word.EPOCH_MOST) {
            // Told by nobody honest
            return;
        }
        long epoch = seen[l.slot] + 1;
        seen[l.slot] = binding ? epoch : seen[l.slot];
        l.asked = new Claim(epoch, binding, l.voters.length);
        // What is granted binds its voters for a lease; a disk that takes its time must not cost
        // another
        // epoch.
        l.askedUntil = now + (binding ? terms.lease() : terms.renew());
        l.repeats = 0;
        send(l, now);
    }

    // Again and again for a while: some were bound when it came, or it was lost.
    private void send(Lease l, long now) {
        l.repeatAt =
                now + Math.min(terms.renew(), terms.again() << Math.min(DOUBLINGS, l.repeats++));
        l.asked.sent(now);
        for (int v = 0; v < l.voters.length; v++) {
            if (!l.asked.grantedBy(v)) {
                letter(
                        l.voters[v],
                        l.asked.binding ? Word.Kind.ASK : Word.Kind.SOUND,
                        new Word.Entry(l.slot, l.asked.epoch));
            }
        }
    }

    // Voters that granted what was asked for are free again; but not beside what is held: they are
    // counted
    // for that.
    private void withdraw(Lease l, long now) {
        if (l.held == null && l.asked.binding) {
            write(l, Word.Kind.RELEASE, l.asked.epoch);
        }
        l.asked = null;
        l.askAt = now + backoff(l);
    }

    private long backoff(Lease l) {
        long wait = Math.min(terms.renew(), terms.again() << Math.min(DOUBLINGS, l.refusals++));
        chance = Hashing.mix(chance);
        return wait + Long.remainderUnsigned(chance, wait / 2 + 1);
    }

    private void give(Lease l, String why) {
        acts.add(new Given(l.slot, l.held.epoch, why));
        for (Claim c : new Claim[] {l.held, l.asked}) {
            if (c != null && c.binding) {
                resign(l, c.epoch);
            }
        }
        l.held = null;
        l.asked = null;
        l.betterSince = Long.MAX_VALUE;
    }

    // Its voters are free again, and who is next may ask.
    private void resign(Lease l, long epoch) {
        write(l, Word.Kind.PASS, epoch);
        if (l.best >= 0 && IntStream.of(l.voters).noneMatch(v -> v == l.best)) {
            letter(l.best, Word.Kind.PASS, new Word.Entry(l.slot, epoch));
        }
    }

    /** This member leaves in order: others may have at once what it holds. */
    public List<Act> leave(long now) {
        if (left) {
            return List.of();
        }
        for (Lease l : leases) {
            if (l.held != null) {
                l.best = Spread.holder(l.slot, members, m -> m != self && present[m]);
                give(l, "leaving");
            } else if (l.asked != null && l.asked.binding) {
                write(l, Word.Kind.RELEASE, l.asked.epoch);
            }
        }
        List<Act> last = done(now);
        left = true;
        return last;
    }

    // ------------------------------------------------------------ messages

    /** A message has come from the member of that number. */
    public List<Act> heard(long now, int from, Word word) {
        if (left
                || from < 0
                || from >= members
                || from == self
                || word.entries().stream().anyMatch(e -> e.slot() >= terms.slots())) {
            return List.of();
        }
        switch (word.kind()) {
            case ASK, SOUND -> answer(now, from, word);
            case RELEASE, PASS -> released(now, from, word);
            case WOULD, GRANTED, REFUSED -> answered(now, from, word);
        }
        return done(now);
    }

    private void answer(long now, int from, Word word) {
        for (Word.Entry e : word.entries()) {
            if (leases[e.slot()].resigned == from) {
                leases[e.slot()].resigned = -1;
                choose(leases[e.slot()]);
            }
        }
        boolean binding = word.kind() == Word.Kind.ASK;
        Voter.Verdict verdict = binding ? voter.ask(now, from, word) : voter.sound(now, from, word);
        reply(
                now,
                from,
                new Word(
                        binding ? Word.Kind.GRANTED : Word.Kind.WOULD,
                        word.process(),
                        word.number(),
                        verdict.granted()));
        reply(
                now,
                from,
                new Word(Word.Kind.REFUSED, word.process(), word.number(), verdict.refused()));
    }

    private void reply(long now, int to, Word word) {
        if (word.entries().isEmpty()) {
            return;
        }
        if (to == self) {
            answered(now, self, word);
        } else {
            acts.add(new Send(to, word));
        }
    }

    private void released(long now, int from, Word word) {
        voter.release(now, from, word);
        for (Word.Entry e : word.entries()) {
            seen[e.slot()] = Math.max(seen[e.slot()], e.epoch());
            // Not after a RELEASE: two that take themselves for the best would wake each other
            // without end.
            if (word.kind() == Word.Kind.PASS && from != self) {
                Lease l = leases[e.slot()];
                l.refusals = 0;
                l.askAt = Math.min(l.askAt, now);
                // It leaves, and the view will say so too, but later; or it rests, and says so
                // again.
                l.resigned = l.best == from ? from : l.resigned;
                l.resignedUntil = l.resigned == from ? now + terms.settle() : l.resignedUntil;
                choose(l);
                look(l, now);
            }
        }
    }

    private void answered(long now, int from, Word word) {
        Long asked = word.process() == process ? rounds.get(word.number()) : null;
        for (Word.Entry e : word.entries()) {
            Lease l = leases[e.slot()];
            int v = Arrays.binarySearch(l.voters, from);
            if (v < 0) {
                continue;
            }
            if (asked == null) {
                // Of another process, or too late to count
                continue;
            }
            if (word.kind() == Word.Kind.REFUSED) {
                refused(l, e.epoch(), asked, now);
            } else {
                granted(l, v, word.kind() == Word.Kind.GRANTED, e.epoch(), asked, now);
            }
        }
    }

    private void granted(Lease l, int v, boolean binding, long epoch, long asked, long now) {
        if (binding && l.held != null && l.held.epoch == epoch) {
            l.held.granted(v, asked);
        } else if (l.asked != null && l.asked.epoch == epoch && l.asked.binding == binding) {
            l.asked.granted(v, asked);
            if (now < l.asked.until(terms) && !binding) {
                ask(l, true, now);
            } else if (now < l.asked.until(terms)) {
                if (l.held != null) {
                    acts.add(new Given(l.slot, l.held.epoch, "under a higher epoch"));
                }
                l.held = l.asked;
                l.asked = null;
                l.refusals = 0;
                l.renewAt = asked + terms.renew();
                fence.passes(l.slot, epoch);
                acts.add(new Taken(l.slot, epoch));
            }
        }
    }

    private void refused(Lease l, long epoch, long asked, long now) {
        seen[l.slot] = Math.max(seen[l.slot], epoch);
        if (l.asked != null) {
            if (l.asked.refused(asked) || epoch >= l.asked.epoch) {
                withdraw(l, now);
            }
        } else if (l.held != null && epoch > l.held.epoch && now >= l.askAt) {
            // A voter has forgotten, or promised more than this
            ask(l, true, now);
        }
    }

    /**
     * The promises of that number are safe; or ({@code safe} false) they are not, and it has to be
     * tried again.
     */
    public List<Act> kept(long now, long number, boolean safe) {
        for (Voter.Waiting w : voter.kept(now, number, safe)) {
            if (!left) {
                reply(
                        now,
                        w.from(),
                        new Word(
                                Word.Kind.GRANTED,
                                w.process(),
                                w.number(),
                                List.of(new Word.Entry(w.slot(), w.epoch()))));
            }
        }
        return left ? List.of() : done(now);
    }

    // ------------------------------------------------------------ letters: many slots, few
    // datagrams

    private void write(Lease l, Word.Kind kind, long epoch) {
        for (int v : l.voters) {
            letter(v, kind, new Word.Entry(l.slot, epoch));
        }
    }

    private void letter(int to, Word.Kind kind, Word.Entry entry) {
        letters.computeIfAbsent(to, x -> new LinkedHashMap<>())
                .computeIfAbsent(kind, x -> new ArrayList<>())
                .add(entry);
    }

    private List<Act> done(long now) {
        // A round's own part may be granted at once, which changes nothing that is still to be
        // written.
        while (!letters.isEmpty()) {
            Map<Integer, Map<Word.Kind, List<Word.Entry>>> all = new LinkedHashMap<>(letters);
            letters.clear();
            int number = ++numbers;
            rounds.put(number, now);
            rounds.values().removeIf(at -> now >= at + terms.usable());
            if (rounds.size() > ROUNDS) {
                rounds.remove(rounds.keySet().iterator().next());
            }
            all.forEach(
                    (to, kinds) ->
                            kinds.forEach((kind, entries) -> post(now, to, kind, number, entries)));
        }
        Keep keep = voter.keep(now);
        if (keep != null) {
            acts.add(keep);
        }
        List<Act> result = List.copyOf(acts);
        acts.clear();
        return result;
    }

    private void post(long now, int to, Word.Kind kind, int number, List<Word.Entry> entries) {
        for (int i = 0; i < entries.size(); i += Word.ENTRIES_MOST) {
            Word word =
                    new Word(
                            kind,
                            process,
                            number,
                            entries.subList(i, Math.min(entries.size(), i + Word.ENTRIES_MOST)));
            if (to != self) {
                acts.add(new Send(to, word));
            } else if (kind == Word.Kind.ASK || kind == Word.Kind.SOUND) {
                answer(now, self, word);
            } else {
                released(now, self, word);
            }
        }
    }
}
