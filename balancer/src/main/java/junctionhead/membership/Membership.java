package junctionhead.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * The protocol of membership at one member: SWIM (Das, Gupta, Motivala) with incarnations and
 * suspicion, told on the back of its own messages, and after Lifeguard (Dadgar, Phillips, Currey)
 * with caution where this process itself was slow. Time and messages come in; messages and changes
 * of the view go out. Deterministic, one thread.
 *
 * <p>Who finds a member silent asks others to ask; only then it suspects, goes on asking, and holds
 * the member dead when all of that stays without an answer. Everybody else waits three times as
 * long for the member's own word, so that one with a broken path of its own convinces nobody by
 * itself. A member that hears that it is suspected, or held dead, raises its incarnation and says
 * so. Dead ones are asked now and then: after a cut is healed the two sides find each other.
 *
 * <p>Cost: a message and its answer a period and member, and news a bounded number of times each,
 * whatever the number of members. State: a few words a member; at most {@value #RELAYS_MOST}
 * questions for others.
 */
public final class Membership {
    private static final int RELAYS_MOST = 64;
    // Times the suspicion of who began it
    private static final int OTHERS_WAIT = 3;
    // tellings of a piece of news, times log2 of members
    private static final int REPEATS = 3;
    // times as many messages of news, if there is much
    private static final int CROWDED_MOST = 6;
    // News on the back of a question or an answer
    private static final int CARRIED = 8;
    // periods without a tick that mean: this was paused
    // µs after a start, in which a process is slow
    private static final long YOUNG = 5_000_000;
    // Times as long as others, then
    private static final int YOUNG_WAIT = 4;
    private static final int PAUSED = 2;
    private static final long MILLI = 1000;
    private static final long GOLDEN = 0x9e3779b97f4a7c15L;

    private final int self;
    private final Timing timing;
    private final News[] known;
    // When each was learnt
    private final long[] since;
    // Times that each is still to be told
    private final int[] toTell;
    // Suspicions that began here
    private final boolean[] mine;
    // when its return was learnt; this member's start at first
    private final long[] bornAt;
    // Members of whom there is news to tell
    private int pending;
    private int suspects;
    private final Map<Integer, Relay> relays = new LinkedHashMap<>();
    private final List<Act> acts = new ArrayList<>();
    private final int repeats;
    // Of the wall clock before the caller's, ms
    private final long clockAhead;
    private long version;
    // Of questions
    private int numbers;
    // Of members asked
    private int turn;
    // Counts members told
    private long spread;
    private int page;
    // Who is being asked, or -1
    private int probed = -1;
    private int question;
    private long askedAt;
    private boolean helped;
    private long nextProbe;
    private long nextCheck;
    private long nextGossip;
    private long nextExchange;
    private long tickedAt;
    private boolean left;

    private record Relay(int origin, int number, int subject, long until) {}

    /** What the caller is to do. */
    public sealed interface Act permits Send, Changed {}

    /** Send a datagram to that member. */
    public record Send(int to, Message message) implements Act {}

    /** The view has changed: what is said now and was not before. */
    public record Changed(News news, View view) implements Act {}

    /**
     * Makes a member that knows nobody yet and takes all as present until it learns better.
     *
     * @param self its number, from 0
     * @param size members of the configuration
     * @param incarnation by the wall clock in ms; raised where peers know a higher one
     * @param now µs, monotonic
     */
    public Membership(int self, int size, Timing timing, long incarnation, long now) {
        if (self < 0 || self >= size || size > Message.MEMBERS_MOST) {
            throw new IllegalArgumentException("no member " + self + " of " + size);
        }
        this.self = self;
        this.timing = timing;
        this.known = new News[size];
        this.since = new long[size];
        this.toTell = new int[size];
        this.mine = new boolean[size];
        this.bornAt = new long[size];
        this.repeats = REPEATS * (33 - Integer.numberOfLeadingZeros(size));
        for (int m = 0; m < size; m++) {
            known[m] = new News(m, Status.ALIVE, 0);
            since[m] = now;
            bornAt[m] = now;
        }
        known[self] = new News(self, Status.ALIVE, incarnation);
        clockAhead = incarnation - now / MILLI;
        toldAnew(self);
        turn = self;
        spread = (long) self << 32;
        nextProbe = now;
        nextCheck = now;
        nextGossip = now;
        nextExchange = now + timing.exchange();
        tickedAt = now;
    }

    /**
     * The same member in the same state, independent from here on: for those who explore what may
     * happen.
     */
    public Membership(Membership other) {
        self = other.self;
        timing = other.timing;
        known = other.known.clone();
        since = other.since.clone();
        toTell = other.toTell.clone();
        mine = other.mine.clone();
        bornAt = other.bornAt.clone();
        pending = other.pending;
        suspects = other.suspects;
        relays.putAll(other.relays);
        repeats = other.repeats;
        clockAhead = other.clockAhead;
        version = other.version;
        numbers = other.numbers;
        turn = other.turn;
        spread = other.spread;
        page = other.page;
        probed = other.probed;
        question = other.question;
        askedAt = other.askedAt;
        helped = other.helped;
        nextProbe = other.nextProbe;
        nextCheck = other.nextCheck;
        nextGossip = other.nextGossip;
        nextExchange = other.nextExchange;
        tickedAt = other.tickedAt;
        left = other.left;
    }

    /**
     * Its state in a number, times as seen from {@code now}; what differs in nothing that matters
     * is equal.
     */
    public long fingerprint(long now) {
        long h = self;
        for (int m = 0; m < known.length; m++) {
            long waits = known[m].status() == Status.SUSPECTED ? now - since[m] : 0;
            h = h * 31 + known[m].incarnation();
            h =
                    h * 31
                            + known[m].status().ordinal()
                            + 8 * toTell[m]
                            + (mine[m] ? 4 : 0)
                            + 4096 * waits
                            + (now - bornAt[m] < YOUNG ? 1 << 30 : 0);
        }
        long[] rest = {
            relays.hashCode(),
            turn,
            spread,
            probed,
            probed < 0 ? 0 : now - askedAt,
            helped ? 1 : 0,
            nextProbe - now,
            nextCheck - now,
            nextGossip - now,
            nextExchange - now,
            now - tickedAt,
            left ? 1 : 0
        };
        for (long word : rest) {
            h = (h ^ word) * 0x9e3779b97f4a7c15L;
            h ^= h >>> 29;
        }
        return h;
    }

    public long incarnation() {
        return known[self].incarnation();
    }

    public View view() {
        return new View(version, self, Arrays.asList(known));
    }

    /** When {@link #tick} is wanted next, µs. */
    public long next() {
        long next =
                Math.min(
                        Math.min(nextProbe, nextExchange),
                        pending > 0 ? nextGossip : Long.MAX_VALUE);
        if (probed >= 0) {
            next = Math.min(next, helped ? askedAt + timing.period() : askedAt + timing.answer());
        }
        for (int m = 0; suspects > 0 && m < known.length; m++) {
            if (known[m].status() == Status.SUSPECTED) {
                next = Math.min(next, mine[m] ? Math.min(nextCheck, doomed(m)) : doomed(m));
            }
        }
        return left ? Long.MAX_VALUE : next;
    }

    // One that has just started is slow, and so is this member when it has: it has learnt of all
    // others then.
    private long doomed(int m) {
        int young = since[m] - bornAt[m] < YOUNG ? YOUNG_WAIT : 1;
        return since[m] + timing.suspicion() * young * (mine[m] ? 1 : OTHERS_WAIT);
    }

    private void toldAnew(int m) {
        pending += toTell[m] == 0 ? 1 : 0;
        toTell[m] = repeats;
    }

    private List<Act> done() {
        List<Act> result = List.copyOf(acts);
        acts.clear();
        return result;
    }

    // ------------------------------------------------------------ time

    /** Time has passed. */
    public List<Act> tick(long now) {
        if (left) {
            return List.of();
        }
        if (now - tickedAt > PAUSED * timing.period()) {
            awake(now);
        }
        tickedAt = now;
        probe(now);
        check(now);
        if (pending > 0 && now >= nextGossip) {
            nextGossip = now + timing.gossip();
            // With much news, as after a cut, one message does not hold it all.
            int times = Math.min(CROWDED_MOST, 1 + pending / Message.NEWS_MOST);
            for (int i = 0; i < timing.fanout() * times; i++) {
                tellNext(news(Message.NEWS_MOST));
            }
        }
        if (now >= nextExchange) {
            nextExchange = now + timing.exchange();
            tellNext(page());
        }
        return done();
    }

    // This process stood still: what it waited for may have come meanwhile and not been read.
    // Nobody is
    // blamed
    // for that time, and what others hold of this member is asked for first.
    private void awake(long now) {
        long gap = now - tickedAt;
        probed = -1;
        nextProbe = now;
        for (int m = 0; m < known.length; m++) {
            since[m] += known[m].status() == Status.SUSPECTED ? gap : 0;
        }
        toldAnew(self);
    }

    private void probe(long now) {
        if (probed >= 0 && !helped && now >= askedAt + timing.answer()) {
            helped = true;
            int from = probed;
            for (int i = 0; i < timing.helpers(); i++) {
                from = after(from, true);
                if (from < 0 || from == probed) {
                    break;
                }
                send(from, Message.Kind.ASK, probed, question);
            }
        }
        if (probed >= 0 && now >= askedAt + timing.period()) {
            int silent = probed;
            probed = -1;
            if (known[silent].status() == Status.ALIVE) {
                mine[silent] = true;
                learn(now, new News(silent, Status.SUSPECTED, known[silent].incarnation()));
                nextCheck = now;
            }
        }
        if (probed < 0 && now >= nextProbe) {
            nextProbe = now + timing.period();
            turn = after(turn, true);
            if (turn >= 0) {
                probed = turn;
                question = ++numbers;
                askedAt = now;
                helped = false;
                send(probed, Message.Kind.PING, probed, question);
            } else {
                turn = self;
            }
            int dead =
                    after((int) (Math.floorMod(now / timing.period(), (long) known.length)), false);
            if (dead >= 0) {
                send(dead, Message.Kind.PING, dead, ++numbers);
            }
        }
    }

    // The next member after one, in order of numbers, that is present ({@code present}) or dead;
    // -1: none.
    private int after(int member, boolean present) {
        for (int i = 1; i <= known.length; i++) {
            int m = (member + i) % known.length;
            boolean fits =
                    present
                            ? known[m].status().compareTo(Status.SUSPECTED) <= 0
                            : known[m].status() == Status.DEAD;
            if (m != self && fits) {
                return m;
            }
        }
        return -1;
    }

    private void check(long now) {
        boolean again = now >= nextCheck;
        for (int m = 0; suspects > 0 && m < known.length; m++) {
            if (known[m].status() != Status.SUSPECTED) {
                continue;
            }
            if (now >= doomed(m)) {
                learn(now, new News(m, Status.DEAD, known[m].incarnation()));
            } else if (mine[m] && again) {
                nextCheck = now + timing.answer();
                send(m, Message.Kind.PING, m, ++numbers);
            }
        }
    }

    // ------------------------------------------------------------ messages

    /** A message has come from the member of that number. */
    public List<Act> heard(long now, int from, Message message) {
        if (left
                || from < 0
                || from >= known.length
                || from == self
                || message.subject() >= known.length) {
            return List.of();
        }
        learn(now, new News(from, Status.ALIVE, message.incarnation()));
        message.news().forEach(n -> learn(now, n));
        switch (message.kind()) {
            case PING -> send(from, Message.Kind.ACK, self, message.number());
            case ASK -> relay(now, from, message);
            case ACK -> answered(now, message);
            case TELL -> {}
        }
        return done();
    }

    private void relay(long now, int from, Message message) {
        relays.values().removeIf(r -> r.until < now);
        if (message.subject() == self) {
            send(from, Message.Kind.ACK, self, message.number());
        } else if (relays.size() < RELAYS_MOST) {
            relays.put(
                    ++numbers,
                    new Relay(from, message.number(), message.subject(), now + timing.period()));
            send(message.subject(), Message.Kind.PING, message.subject(), numbers);
        }
    }

    private void answered(long now, Message message) {
        if (probed >= 0 && message.number() == question && message.subject() == probed) {
            probed = -1;
        }
        Relay relay = relays.remove(message.number());
        if (relay != null && relay.subject == message.subject() && relay.until >= now) {
            send(relay.origin, Message.Kind.ACK, relay.subject, relay.number);
        }
    }

    /** This member leaves in order: it says so, and nothing after that. */
    public List<Act> leave(long now) {
        if (!left) {
            known[self] = new News(self, Status.LEFT, known[self].incarnation());
            toldAnew(self);
            int told = self;
            for (int i = 0;
                    i < Math.max(timing.helpers(), timing.fanout())
                            && (told = after(told, true)) >= 0;
                    i++) {
                send(told, Message.Kind.TELL, self, 0);
            }
            left = true;
        }
        return done();
    }

    // ------------------------------------------------------------ what is known

    private void learn(long now, News news) {
        // An incarnation is a time: one far ahead of this member's own clock is forged, or comes of
        // a
        // broken one.
        int m = news.member();
        if (m >= known.length
                || news.incarnation()
                        > now / MILLI + clockAhead + timing.incarnationLead() / MILLI) {
            return;
        }
        if (m == self) {
            deny(news);
            return;
        }
        if (!news.beats(known[m])) {
            return;
        }
        boolean suspicion =
                news.status() == Status.SUSPECTED && known[m].status() != Status.SUSPECTED;
        mine[m] = mine[m] && news.status() == Status.SUSPECTED;
        boolean first = known[m].incarnation() == 0;
        boolean changed = news.status() != known[m].status() || !first;
        boolean back =
                known[m].status().compareTo(Status.SUSPECTED) > 0 && news.status() == Status.ALIVE;
        bornAt[m] = back ? now : bornAt[m];
        suspects +=
                (news.status() == Status.SUSPECTED ? 1 : 0)
                        - (known[m].status() == Status.SUSPECTED ? 1 : 0);
        known[m] = news;
        if (!first || news.status() != Status.ALIVE) {
            // That one is there, each learns from itself
            toldAnew(m);
        }
        if (suspicion || news.status() != Status.SUSPECTED) {
            since[m] = now;
        }
        if (changed) {
            version++;
            acts.add(new Changed(news, view()));
        }
    }

    // What others hold of this member and is not so, or an incarnation of an earlier life that they
    // still
    // know.
    private void deny(News news) {
        boolean wrong =
                news.status() != Status.ALIVE && news.incarnation() >= known[self].incarnation()
                        || news.incarnation() > known[self].incarnation();
        if (wrong) {
            known[self] = new News(self, Status.ALIVE, news.incarnation() + 1);
            toldAnew(self);
        }
    }

    private void send(int to, Message.Kind kind, int subject, int number) {
        List<News> carried = news(CARRIED);
        if (known[to].status() != Status.ALIVE
                && carried.stream().noneMatch(n -> n.member() == to)) {
            // So that it can deny it
            carried.add(0, known[to]);
        }
        acts.add(
                new Send(
                        to,
                        new Message(kind, subject, number, known[self].incarnation(), carried)));
    }

    private void tellNext(List<News> news) {
        // Scattered by the golden ratio: in order of numbers, neighbours would tell the same
        // members.
        int to = after((int) ((++spread * GOLDEN >>> 33) * known.length >>> 31), true);
        if (to >= 0 && !news.isEmpty()) {
            acts.add(
                    new Send(
                            to,
                            new Message(
                                    Message.Kind.TELL, self, 0, known[self].incarnation(), news)));
        }
    }

    // The news told least often so far; each is told a bounded number of times.
    private List<News> news(int most) {
        if (pending == 0) {
            return new ArrayList<>();
        }
        int[] waiting = IntStream.range(0, known.length).filter(m -> toTell[m] > 0).toArray();
        List<News> carried = new ArrayList<>();
        for (int count = repeats;
                count > 0 && carried.size() < Math.min(most, waiting.length);
                count--) {
            for (int m : waiting) {
                if (toTell[m] == count && carried.size() < most) {
                    carried.add(known[m]);
                }
            }
        }
        for (News n : carried) {
            toTell[n.member()]--;
            pending -= toTell[n.member()] == 0 ? 1 : 0;
        }
        return carried;
    }

    private List<News> page() {
        List<News> some = new ArrayList<>();
        for (int i = 0; i < Math.min(Message.NEWS_MOST, known.length); i++) {
            some.add(known[page]);
            page = (page + 1) % known.length;
        }
        return some;
    }
}
