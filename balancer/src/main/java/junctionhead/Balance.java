package junctionhead;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import junctionhead.Books.Attempt;
import junctionhead.Books.Node;
import junctionhead.Books.Request;
import junctionhead.Books.Turn;

/**
 * Every decision of one balancer. The module's interface, its events, actions and types, is
 * Policy.java; what it writes down, plain data, is in Books.java.
 *
 * <p>The ordinary path is JSQ-DAS (Gardner and Stephens, "Smart Dispatching in Heterogeneous
 * Systems"): see {@link #draw}. All else says which servers are candidates for it (the exceptions),
 * when a request is sent, held, sent again or given up, and keeps the books.
 */
public final class Balance implements Policy {
    // Mechanism. D, A: the paper's defaults. Counts fade so that a slowed server loses its rank in
    // seconds.
    private static final int D = 4;
    private static final int A = 2;
    // µs, the same for the rate of answers
    private static final double QUICK = 2e6;
    // Usual latencies, time constant of trust in a report
    private static final double STALE = 2;
    // Part that a far queue seems longer, per price
    private static final double CROSSING = 10;
    // The subset of a balancer, or of a key: as few as sampling needs, more where traffic keeps
    // them in view.
    private static final int SUBSET = 6;
    // s between a balancer's requests to one server
    private static final double SUBSET_VISITS = 1.5;
    // The same where new connections have a price
    private static final double DEAR_VISITS = 0.5;
    // D: a key's servers are all sampled
    private static final int KEY_SUBSET = 4;
    // Times as many where only the own zone's count
    private static final int REACH = 4;
    // Times the part of the fleet that a hot key needs
    private static final double KEY_SPREAD = 2;
    // That an attempt turned away counts as
    private static final double FULL_STRAIN = 1.5;
    // And one that took too long
    private static final double TIMEOUT_STRAIN = 1.2;
    // µs, for as long as strain lasts
    private static final long RETRY_AFTER = 2_000_000;
    // Further attempts after failures that may have run, per first attempt.
    private static final double RETRY_SHARE = 0.2;
    private static final double BUDGET_MOST = 10;
    // Hedges rest while a larger part is turned away
    private static final double HEDGE_FULL = 0.02;
    // What hedges leave of that budget to retries
    private static final double HEDGE_LEAST = 4;
    // Part of the latency that goes with hinted work
    private static final double HINTED = 0.7;
    // A late answer that earns less is given up
    private static final double LATE_WORTH = 0.5;
    // µs between sweeps while anything is open
    private static final long TICK_MOST = 20_000;
    // µs between looks at all servers
    private static final long REFRESH = 100_000;

    private static final Comparator<Node> BY_ACCOMPLISHMENT =
            Comparator.<Node>comparingDouble(n -> -n.count).thenComparingInt(n -> n.order);

    private final Settings settings;
    private final SplittableRandom random;
    private final long tick;
    private final long shortestAim;
    // Whether any class may simply be repeated
    private final boolean anySafe;
    // Most rest for this class: the fault is elsewhere
    private final boolean[] allFail;
    private int walk;
    private final Map<String, Request> open = new LinkedHashMap<>();
    private final Counts counts = new Counts();
    private final Map<Long, Turn> turns = new LinkedHashMap<>();
    private final Held held = new Held(this::latestStart);
    private final Roster roster;
    private final Exclusion exclusion;
    private final Warming warming;
    private final Refusal refusal;
    private final Zones zones = new Zones();
    // Else all are whole
    private final boolean judgesZones;
    private final Latencies latencies;
    private final Subscription subscription;
    private final Shares shares;
    private final Peers peers;
    private final Capacity capacity;
    private int silentPeers;
    // Moving mean of own attempts in flight
    private double ownMean;
    private int inFlight;
    private double retryBudget = BUDGET_MOST;
    private long refreshAt;
    private long wakeAt = Long.MAX_VALUE;
    private final Remarks remarks = new Remarks();

    public Balance(Settings settings, long seed) {
        this(settings, seed, false);
    }

    /** {@code zones}: zones are left and met again as wholes. */
    public Balance(Settings settings, long seed, boolean zones) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.latencies = new Latencies(settings.classes());
        this.allFail = new boolean[settings.classes().size()];
        this.shortestAim =
                settings.classes().stream().mapToLong(RequestClass::aim).min().getAsLong();
        this.anySafe = settings.classes().stream().anyMatch(c -> c.effect() == Effect.SAFE);
        this.tick = Math.max(settings.tick(), Math.min(TICK_MOST, shortestAim / 16));
        this.roster = new Roster(settings, random);
        this.exclusion = new Exclusion(random, latencies, tick);
        this.warming = new Warming(settings, shortestAim);
        this.refusal = new Refusal(settings);
        this.judgesZones = zones;
        this.subscription = new Subscription(settings.bounds().askWithin(), random);
        this.shares = new Shares(settings, random);
        this.peers = new Peers(settings);
        this.capacity = new Capacity(settings);
        this.silentPeers = settings.balancers() - 1;
    }

    // ---------------------------------------------------------------- dispatch: the paper's
    // definition

    // Ranks by accomplishment, samples A of the top p·k and D-A of the rest, takes the shortest
    // queue.
    private Node draw(List<Node> candidates, long now) {
        int k = candidates.size();
        if (k == 1) {
            return candidates.get(0);
        }
        candidates.sort(BY_ACCOMPLISHMENT);
        int top = Math.max(1, Math.min(k - 1, (int) Math.round(roster.fastShare() * k)));
        int fromTop = Math.min(top, Math.max(A, D - (k - top)));
        int fromRest = Math.min(k - top, D - fromTop);
        int best = sample(candidates, 0, top, fromTop, -1, now);
        return candidates.get(sample(candidates, top, k, fromRest, best, now));
    }

    // Draws without replacement from [from, to); returns the shortest queue, ties to the higher
    // rank.
    private int sample(List<Node> ranked, int from, int to, int draws, int best, long now) {
        int shortest = best;
        int[] left = IntStream.range(from, to).toArray();
        for (int i = 0; i < draws; i++) {
            int j = i + random.nextInt(left.length - i);
            int drawn = left[j];
            left[j] = left[i];
            double difference =
                    shortest < 0
                            ? -1
                            : queue(ranked.get(drawn), now) - queue(ranked.get(shortest), now);
            shortest = difference < 0 || difference == 0 && drawn < shortest ? drawn : shortest;
        }
        return shortest;
    }

    // The queue signal, for a server of mean weight: own attempts in flight, the slots that quick
    // failures
    // still keep, and what the other balancers have there. A balancer that sees a small part of the
    // traffic
    // finds its own queues empty nearly always, and ties alone would then send all of it to one
    // set. In
    // another zone, where crossing has a price, a queue counts for longer: it must be worth the
    // price.
    private double queue(Node n, long now) {
        double far =
                n.server.zone() == settings.zone() ? 0 : CROSSING * settings.prices().crossZone();
        double queue =
                (n.inFlight + n.keptSlots(now) + others(n, now))
                        * roster.meanWeight()
                        / n.server.weight();
        return queue + far * (1 + queue);
    }

    // The attempts of other balancers: as last reported or told by them, or by Little's law as many
    // as this
    // balancer has in a server on average, in the ratio of this server's latency. Old news fades to
    // the mean.
    private double others(Node n, long now) {
        double relative = n.server.weight() / roster.meanWeight();
        double trust =
                n.reportedAt > 0
                        ? Math.exp(-(now - n.reportedAt) / (STALE * latencies.shortest()))
                        : 0;
        double inferred = relative * ownMean * silentPeers / Math.max(1, roster.listed().size());
        double told = peers.elsewhere(n) + n.slowness(now) * inferred;
        return told + trust * (n.slowness(now) * n.reported - told);
    }

    // ---------------------------------------------------------------- exceptions: who is a
    // candidate

    // The subset: walks the ring from the request's point until enough servers are found that may
    // take it.
    // Guards against connections that grow with the fleet, and counts and queues that say nothing
    // because
    // each server hears from this balancer once in a while only. Where it holds no server that may
    // be used,
    // as when its servers have failed or are cold, the walk goes on, over the whole list if need
    // be.
    private List<Node> candidates(Request r, long now) {
        List<Node> fresh = new ArrayList<>();
        List<Node> tried = new ArrayList<>();
        double rate = counts.rate();
        boolean keyed =
                settings.warmKeys() && r.key != 0 && rate * SUBSET_VISITS >= roster.listed().size();
        double visits = settings.prices().handshake() > 0 ? DEAR_VISITS : SUBSET_VISITS;
        int wanted =
                (int)
                        (keyed
                                ? Math.max(
                                        KEY_SUBSET,
                                        KEY_SPREAD * counts.heat(r.key) * roster.listed().size())
                                : Math.max(SUBSET, rate * visits));
        Iterator<Node> servers =
                keyed ? roster.ring().from(Hashing.mix(r.key)) : roster.ring().fromHome();
        walk++;
        boolean near = !keyed && settings.prices().crossZone() > settings.prices().handshake();
        for (int warm = 0, met = 0; warm < wanted && met < REACH * wanted && servers.hasNext(); ) {
            Node n = servers.next();
            if (n.walk == walk) {
                continue;
            }
            n.walk = walk;
            if (r.kind.permits(n.server)
                    && mayRunOn(r, n)
                    && warming.hasBudget(n, now)
                    && (allFail[r.number] || n.classes[r.number].admits(now))
                    && exclusion.admits(n, r, anySafe, now)
                    && zones.admits(n, r, r.kind.effect() != Effect.UNSAFE, now)) {
                (r.wasSentTo(n) ? tried : fresh).add(n);
                int counts = warming.warmth(n, now) >= 1 ? 1 : 0;
                met += counts;
                warm += near && n.server.zone() != settings.zone() ? 0 : counts;
            }
        }
        return fresh.isEmpty() ? tried : fresh;
    }

    @Override
    public int avoided(long now) {
        return (int) roster.watched().stream().filter(n -> n.ejectedUntil > now).count();
    }

    @Override
    public double othersRate() {
        return peers.rate();
    }

    // Rule 5: whether all earlier requests of the key are over, and what they left may no longer
    // run.
    private static boolean hasTurn(Request r, long now) {
        return r.turn == null
                || r.turn.line.peekFirst() == r
                        && (now >= r.turn.restUntil || !r.attempts.isEmpty());
    }

    // Rule 2: a request that may have run goes again only where its class allows, while its key is
    // known.
    private boolean mayRunAgain(Request r, long now) {
        Attempt first = r.firstThatMayHaveRun();
        return first == null
                || r.kind.effect() == Effect.SAFE
                || r.kind.effect() == Effect.KEYED && now - first.at < r.kind.keyMemory() - tick;
    }

    private static boolean mayRunOn(Request r, Node n) {
        Attempt first = r.kind.effect() == Effect.SAFE ? null : r.firstThatMayHaveRun();
        return first == null
                || switch (r.kind.scope()) {
                    case ALL -> true;
                    case ZONE -> n.server.zone() == first.server.zone() && n.server.zone() >= 0;
                    case CELL -> n.server.cell() == first.server.cell() && n.server.cell() >= 0;
                };
    }

    // What needs a look at all servers, of which only those watched can be out of the ordinary.
    // Guards
    // against work for each wake that grows with the fleet: with 14,000 servers that was a tenth of
    // a core.
    private void refresh(long now, Actions out) {
        Predicate<Node> warm = n -> warming.warmth(n, now) >= 1;
        List<Node> watched = roster.tidy(warm, now);
        int all = roster.listed().size();
        warming.learn(roster.oks(warm) * counts.perServed(now), roster.weight(warm));
        exclusion.look(watched, all, now);
        capacity.inReach(
                all,
                roster.share(
                        zone -> zones.of(zone).part,
                        n ->
                                exclusion.isOut(n, now)
                                        ? 0
                                        : zones.of(n.server.zone()).part * warming.usable(n, now)));
        silentPeers = peers.silent(now);
        if (judgesZones) {
            zones.look(
                    roster.tallies(
                            n -> exclusion.isSilent(n, now), zone -> zones.newsFrom(zone, now)),
                    capacity.over(capacity.rate() + peers.rate()) > 0,
                    now,
                    out::remark);
        }
        for (int i = 0; i < allFail.length; i++) {
            allFail[i] = Health.mostRest(watched, all, i, now);
        }
        turns.values().removeIf(t -> t.line.isEmpty() && now >= t.restUntil);
        counts.tidy(roster);
        refreshAt = now + REFRESH;
    }

    // ---------------------------------------------------------------- requests

    @Override
    public void request(
            long now,
            String id,
            int requestClass,
            int tenant,
            String key,
            long timeLeft,
            long work,
            boolean resubmission,
            Actions out) {
        RequestClass kind = settings.classes().get(requestClass);
        if (settings.warmKeys() && key != null && !resubmission) {
            counts.keyed(Hashing.hash(key));
        }
        counts.arrived(resubmission ? 0 : 1);
        capacity.request();
        long aim = kind.aim() + (work > 0 ? (long) (kind.aimStretch() * work) : 0);
        Request r =
                new Request(
                        id,
                        requestClass,
                        kind,
                        key == null ? 0 : Hashing.hash(key),
                        now,
                        timeLeft,
                        now + aim - latencies.spent(requestClass, timeLeft, resubmission),
                        shares.over(tenant, resubmission, now));
        open.put(id, r);
        if (work > 0) {
            r.size = 1 + HINTED * (latencies.hinted(requestClass, work) - 1);
        }
        wakeBy(now, tick, out);
        retryBudget = Math.min(BUDGET_MOST, retryBudget + RETRY_SHARE);
        if (refusal.refuses(r, random.nextDouble())) {
            remarks.say(
                    now,
                    () ->
                            String.format(
                                    Locale.ROOT,
                                    "overload: refusing, level %.2f, strain %.2f",
                                    refusal.level(),
                                    refusal.strain()),
                    out);
            finish(r, now, out);
            return;
        }
        if (kind.inOrder() && key != null) {
            r.turn = turns.computeIfAbsent(r.key, k -> new Turn());
            r.turn.line.add(r);
        }
        if (!place(r, now, out)) {
            hold(r, now, out);
        }
    }

    // When a request must be sent to be answered within its aim; one whose aim has passed is not
    // held.
    private long latestStart(Request r) {
        if (r.aimAt <= r.arrived) {
            return r.arrived;
        }
        return Math.max(
                r.arrived + (r.aimAt - r.arrived) / 4,
                r.aimAt - (long) (2 * latencies.usual(r.number)));
    }

    // Keeps a request for which no server may be used now; one whose time is all but over is
    // answered.
    private void hold(Request r, long now, Actions out) {
        if (now >= r.deadline - 2 * tick) {
            finish(r, now, out);
        } else {
            held.add(r);
        }
    }

    private boolean place(Request r, long now, Actions out) {
        List<Node> candidates =
                hasTurn(r, now) && mayRunAgain(r, now) ? candidates(r, now) : List.of();
        if (candidates.isEmpty()) {
            return false;
        }
        send(r, draw(candidates, now), now, out);
        return true;
    }

    @Override
    public boolean mayBegin(long now, String id, int attempt) {
        Request r = open.get(id);
        if (r == null || r.closed) {
            return false;
        }
        Node n = r.attempts.get(attempt).node;
        return n.server.state() == State.UP
                && roster.get(n.server.id()) == n
                && (r.firstThatMayHaveRun() == r.attempts.get(attempt) || mayRunAgain(r, now));
    }

    private void send(Request r, Node n, long now, Actions out) {
        Attempt a = new Attempt(n, r, now);
        a.begins(counts.scale());
        inFlight++;
        zones.sent(n, now);
        out.send(r.id, n.server.id(), timeout(r, now));
    }

    // What is not safe to repeat is given up at its aim, where a late answer earns little: its
    // client won't
    // come again, and waiting work dropped then makes room for work that can be in time. What is
    // safe would
    // come back; it leaves room for another attempt where copies are forbidden, and is not cut
    // otherwise.
    private long timeout(Request r, long now) {
        if (r.kind.streamed()) {
            return 0;
        }
        if (r.kind.effect() != Effect.SAFE) {
            return r.kind.lateShare() < LATE_WORTH && r.aimAt > now ? r.aimAt - now : 0;
        }
        if (settings.limits().mayDuplicate()
                || r.attempts.size() >= settings.limits().maxAttempts()) {
            return 0;
        }
        long patience = Math.max((r.deadline - now) / 2, (long) (3 * latencies.usual(r.number)));
        return Math.max(1, Math.min(r.deadline - now, patience));
    }

    // Sends held requests as servers come free, those within their share first.
    private void drainHeld(long now, Actions out) {
        for (List<Request> queue : held.queues()) {
            Iterator<Request> i = queue.iterator();
            while (i.hasNext()) {
                Request r = i.next();
                if (r.closed || place(r, now, out)) {
                    r.held = false;
                    i.remove();
                } else if (r.attempts.isEmpty()
                        && r.turn == null
                        && r.kind.zones().isEmpty()
                        && r.kind.machineKinds().isEmpty()) {
                    // Any server would do for this one: none is free
                    return;
                }
            }
        }
    }

    private void finish(Request r, long now, Actions out) {
        r.closed = true;
        if (r.mayComeAgain()) {
            // Strain lasts
            out.refuse(r.id, Math.min(RETRY_AFTER, settings.limits().retryAfterMax()));
        } else {
            out.fail(r.id);
        }
        forget(r);
    }

    private void forget(Request r) {
        if (r.closed && r.out == 0) {
            open.remove(r.id);
            if (r.turn != null) {
                r.turn.line.remove(r);
            }
        }
    }

    @Override
    public void outcome(
            long now,
            String id,
            int attempt,
            Outcome outcome,
            long latency,
            boolean closed,
            Load load,
            Actions out) {
        Request r = open.get(id);
        if (r == null || attempt >= r.attempts.size() || !r.attempts.get(attempt).out) {
            return;
        }
        Attempt a = r.attempts.get(attempt);
        a.ends(!outcome.neverRan());
        inFlight--;
        counts.turnedAway(outcome.neverRan() ? 1 : 0);
        if (r.turn != null && a.mayHaveRun && outcome != Outcome.OK && outcome != Outcome.ERROR) {
            r.turn.restUntil = Math.max(r.turn.restUntil, now + settings.bounds().orderPause());
        }
        a.node.report(load, now);
        learn(a, outcome, latency, now, out);
        if (closed) {
            close(r, out);
        } else if (!r.closed && r.out == 0) {
            again(r, outcome, now, out);
        }
        forget(r);
        drainHeld(now, out);
    }

    private void close(Request r, Actions out) {
        r.closed = true;
        for (int i = 0; i < r.attempts.size(); i++) {
            if (r.attempts.get(i).out && settings.limits().mayCancel() && !r.streaming) {
                out.cancel(r.id, i);
            }
        }
    }

    // After a failed attempt: another one, if the class, the deadline and the retry budget allow
    // it.
    private void again(Request r, Outcome outcome, long now, Actions out) {
        boolean allowed = mayRunAgain(r, now) && (outcome.neverRan() || retryBudget >= 1);
        if (!allowed
                || r.attempts.size() >= settings.limits().maxAttempts()
                || now >= (r.kind.effect() == Effect.SAFE ? r.deadline : r.aimAt) - tick) {
            finish(r, now, out);
            return;
        }
        if (!outcome.neverRan()) {
            retryBudget--;
        }
        if (!place(r, now, out)) {
            hold(r, now, out);
        }
    }

    // Hedging: a request that may be repeated and has waited longer than nearly all do for such
    // work gets a
    // copy elsewhere. Guards against silence of any cause: lost answers, stalls, connections
    // dropped unseen.
    // It draws on the budget of the retries and rests while requests are turned away, so that it
    // can't feed
    // an overload; it might hurt where all servers slow down at once, by the budget's share at
    // most.
    private void hedge(Request r, long now, Actions out) {
        if (r.out != 1
                || r.closed
                || r.streaming
                || r.kind.effect() != Effect.SAFE
                || now >= r.aimAt
                || r.attempts.size() >= settings.limits().maxAttempts()
                || retryBudget < HEDGE_LEAST) {
            return;
        }
        double expected = latencies.usual(r.number) * r.size;
        double patience = Math.max(expected, r.aimAt - r.arrived - 2 * expected);
        if (now - r.attempts.get(r.attempts.size() - 1).at < patience) {
            return;
        }
        List<Node> others = candidates(r, now);
        others.removeIf(r::wasSentTo);
        if (!others.isEmpty()) {
            retryBudget--;
            send(r, draw(others, now), now, out);
        }
    }

    @Override
    public void uploading(long now, String id) {
        Optional.ofNullable(open.get(id)).ifPresent(r -> r.uploading = true);
    }

    @Override
    public void uploaded(long now, String id, long timeLeft, Actions out) {
        Optional.ofNullable(open.get(id)).ifPresent(r -> r.starts(now, timeLeft));
    }

    @Override
    public void brokeOff(long now, String server, Actions out) {
        Optional.ofNullable(roster.get(server))
                .ifPresent(n -> failed(n, 1, (long) latencies.shortest(), now, out));
    }

    @Override
    public void streamStarted(long now, String id, int attempt, Actions out) {
        Optional.ofNullable(open.get(id)).ifPresent(r -> r.streaming = true);
    }

    @Override
    public void clientGone(long now, String id, Actions out) {
        Request r = open.get(id);
        if (r != null && !r.closed) {
            close(r, out);
            held.remove(r);
            forget(r);
        }
    }

    // ---------------------------------------------------------------- health and limits

    private void learn(Attempt a, Outcome outcome, long latency, long now, Actions out) {
        Node n = a.node;
        RequestClass kind = a.request.kind;
        int number = a.request.number;
        double usually = latencies.usual(number) * a.request.size;
        if (outcome != Outcome.NOT_SENT && outcome != Outcome.CANCELLED) {
            n.unreached = outcome == Outcome.CONNECT_FAILED ? n.unreached + 1 : 0;
            n.saidLost = false;
            if (outcome == Outcome.OK || outcome == Outcome.CONNECT_FAILED) {
                zones.ended(n, outcome == Outcome.OK);
            }
        }
        switch (outcome) {
            case OK -> {
                n.oks += counts.scale();
                n.lastOk = now;
                a.health.served(
                        () ->
                                remarks.say(
                                        now,
                                        "recovered " + n.server.id() + ", class " + number,
                                        out));
                n.slowed(latency / usually, now);
                latencies.served(number, latency);
                exclusion.served(n, () -> remarks.say(now, "recovered " + n.server.id(), out));
                refusal.strained(latency / (double) kind.aim(), now);
            }
            case CANCELLED -> {
                // The copy came first, or the client left
                if (latency > 2 * usually) {
                    // Its server may well be at it still
                    failed(n, 0, (long) (2 * latencies.usual(number)), now, out);
                    n.slowed(Math.max(n.slowness(now), latency / usually), now);
                }
            }
            case NOT_SENT -> {}
            case FULL -> {
                // A hung server fills up and then only turns away: without answers that is no mere
                // overload.
                failed(
                        n,
                        now - n.lastOk > QUICK ? 0.5 : 0,
                        (long) latencies.usual(number),
                        now,
                        out);
                exclusion.turnedAway(n, latencies.usual(number), now);
                refusal.strained(FULL_STRAIN, now);
            }
            // A time-out may be the fault of the load: it takes more of them.
            case TIMEOUT -> {
                n.slowed(latency / usually, now);
                refusal.strained(TIMEOUT_STRAIN, now);
                failed(n, 0.5, (long) (2 * latencies.usual(number)), now, out);
            }
            case ERROR -> {
                // It runs and answers: that tells of this class only
                failed(n, 0, (long) (2 * latencies.usual(number)), now, out);
                a.health.failed(
                        now,
                        random,
                        length ->
                                remarks.say(
                                        now,
                                        "ejected "
                                                + n.server.id()
                                                + " for "
                                                + length / 1000
                                                + " ms after failures of class "
                                                + number,
                                        out));
            }
            default -> failed(n, 1, (long) (2 * latencies.usual(number)), now, out);
        }
    }

    private void failed(Node n, double weight, long penalty, long now, Actions out) {
        exclusion.failed(
                n, weight, penalty, counts.scale(), now, line -> remarks.say(now, line, out));
    }

    @Override
    public Kept keep(long now) {
        return new Kept(roster.keep(counts.scale(), now), latencies.keep());
    }

    @Override
    public void recall(long now, Kept kept, long age) {
        roster.recall(kept.servers(), counts.scale() * Math.exp(-age / Counts.FADE), age, now);
        latencies.recall(kept.latencies(), age);
    }

    @Override
    public void peerMessage(long now, int from, byte[] data, Actions out) {
        // What can't be reached from another zone may well be from this one.
        if (!peers.heard(
                now,
                from,
                data,
                roster.listed(),
                (n, zone) -> {
                    if (zone == (settings.zone() & 255)) {
                        exclusion.saidLost(n, now);
                    }
                })) {
            remarks.say(now, "passed over a message of balancer " + from, out);
        }
    }

    // ---------------------------------------------------------------- time

    @Override
    public void wake(long now, Actions out) {
        if (now < wakeAt) {
            // Asked for before an earlier one was
            return;
        }
        wakeAt = Long.MAX_VALUE;
        long elapsed = counts.sinceFaded(now);
        double keep = counts.fade(now);
        refusal.fade(keep);
        shares.fade(elapsed);
        capacity.fade(elapsed);
        if (now >= refreshAt) {
            refresh(now, out);
        }
        latencies.look();
        ownMean += (1 - Math.exp(-elapsed / QUICK)) * (inFlight - ownMean);
        refusal.forget(now, elapsed);
        boolean heard = settings.balancers() == 1 || silentPeers < settings.balancers() - 1;
        refusal.steer(elapsed / 1e6, heard ? capacity : null, capacity.rate() + peers.rate());
        drainHeld(now, out);
        held.all().forEach(r -> sweep(r, now, out));
        if (settings.limits().mayDuplicate()
                && refusal.sparesShares()
                && !counts.turnedAwayMoreThan(HEDGE_FULL)) {
            open.values().forEach(r -> hedge(r, now, out));
        }
        if (subscription.isDue(now)) {
            subscription.ask(now, out);
        }
        peers.tell(
                now,
                roster.listed(),
                n -> exclusion.cutOff(n) && !n.saidLost,
                capacity.rate(),
                counts.perSecond(now),
                random,
                out);
        wakeBy(now, open.isEmpty() ? REFRESH : tick, out);
    }

    private void wakeBy(long now, long delay, Actions out) {
        if (now + delay < wakeAt) {
            wakeAt = now + delay;
            out.wakeAfter(delay);
        }
    }

    // Rule 1: answers held requests in time, new ones as soon as they can't be answered within
    // their aim.
    private void sweep(Request r, long now, Actions out) {
        long until = r.deadline - 2 * tick;
        if (now >= (r.attempts.isEmpty() ? Math.min(until, latestStart(r)) : until)
                || !mayRunAgain(r, now)) {
            held.remove(r);
            finish(r, now, out);
        }
    }

    // ---------------------------------------------------------------- membership

    @Override
    public void servers(long now, ListKind kind, List<Server> servers, Actions out) {
        if (wakeAt == Long.MAX_VALUE) {
            shares.start(now);
            counts.start(now);
            wakeBy(now, tick, out);
        }
        if (kind == ListKind.FAILED) {
            remarks.say(
                    now,
                    "discovery failed " + subscription.failed(now) + " times, asking again",
                    out);
            return;
        }
        if (kind == ListKind.PERSISTED) {
            if (settings.discovery() == Discovery.ASK) {
                subscription.ask(now, out);
            }
        } else {
            subscription.answered();
        }
        roster.update(servers, kind == ListKind.PARTIAL, now, line -> remarks.say(now, line, out));
        drainHeld(now, out);
    }
}
