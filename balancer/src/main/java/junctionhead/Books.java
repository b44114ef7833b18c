package junctionhead;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import junctionhead.Policy.RequestClass;
import junctionhead.Policy.Server;

/** What a balancer writes down of servers, requests and attempts: plain data, for Balance only. */
final class Books {
    private Books() {}

    /** A server, as this balancer sees it. */
    static final class Node {
        // Requests in hand that a report may name
        private static final double REPORT_MOST = 1e6;
        // µs, time constant of the memory of slowness
        private static final double SLOW_FADE = 10e6;
        // Weight of one answer in it
        private static final double SLOW_SMOOTH = 0.25;
        // One answer counts no more than this
        private static final double SLOW_MOST = 4;

        Server server;
        // As listed() and its sums have it; null: they don't
        Server counted;
        // Hears of what is out of the ordinary
        final Watched watched;
        boolean isWatched;
        // By the number of the class
        final OfClass[] classes;
        // In the order of listed servers
        long place;
        // The last list that named it
        int named;
        // Its neighbours among those of its weight
        Node before;
        Node after;
        final long hash;
        // Seeded shuffle: breaks ties of equal counts
        final int order;
        // Accomplishment: faded dispatches
        double count;
        // That it has on the ring
        int points;
        // The last walk from home that met it
        int near;
        // The last walk over the ring that met it
        int walk;
        int inFlight;
        // Requests in hand, by its last report
        double reported;
        // 0 = none yet
        long reportedAt;
        // Moving mean of latency / usual latency
        private double slowness = 1;
        private long slownessAt;
        // Oldest first; null: none yet, as for most
        private ArrayDeque<Attempt> sent;
        // Until when failed attempts keep slots, or null
        private ArrayDeque<Long> penalties;
        // Faded
        double oks;
        // Faded
        double fails;
        long lastOk;
        // Attempts turned away since one was served
        int fulls;
        // Failed connects since one came up
        int unreached;
        // By another balancer, not found so by this one
        boolean saidLost;
        long ejectedUntil;
        int ejections;
        // Turned an attempt away: rests for a moment
        long fullUntil;
        // Successes still wanted, 0 = not on trial
        int trial;
        // Cold budget, in attempts
        double tokens;
        long tokensAt;

        Node(Server server, int order, int classes) {
            this(server, order, classes, new Watched());
        }

        Node(Server server, int order, int classes, Watched watched) {
            this.server = server;
            this.watched = watched;
            this.classes =
                    Stream.generate(() -> new OfClass(this)).limit(classes).toArray(OfClass[]::new);
            this.hash = Hashing.hash(server.id());
            this.order = order;
        }

        /**
         * Takes a report; what is missing, negative or absurd, as no server can mean it, is passed
         * over.
         */
        void report(Policy.Load load, long now) {
            if (load != null && load.inFlight() >= 0 && load.inFlight() < REPORT_MOST) {
                reported = load.inFlight();
                reportedAt = now;
            }
        }

        /** How many times the usual its latency is; without news that fades to 1. */
        double slowness(long now) {
            return 1 + (slowness - 1) * Math.exp(-(now - slownessAt) / SLOW_FADE);
        }

        void slowed(double ratio, long now) {
            double old = slowness(now);
            slowness = old + SLOW_SMOOTH * (Math.min(SLOW_MOST, ratio) - old);
            slownessAt = now;
        }

        /** Slots that failed attempts still keep. */
        int keptSlots(long now) {
            while (penalties != null && penalties.peekFirst() <= now) {
                penalties.pollFirst();
                penalties = penalties.isEmpty() ? null : penalties;
            }
            return penalties == null ? 0 : penalties.size();
        }

        /** A failed attempt keeps its slot. */
        void penalty(long until) {
            penalties = penalties == null ? new ArrayDeque<>(1) : penalties;
            penalties.add(until);
            watch();
        }

        /** The attempt that has been out for longest, or null. */
        Attempt oldest() {
            while (sent != null && !sent.isEmpty() && !sent.peekFirst().out) {
                sent.pollFirst();
            }
            return sent == null ? null : sent.peekFirst();
        }

        private void sends(Attempt a) {
            sent = sent == null ? new ArrayDeque<>(1) : sent;
            sent.add(a);
            watch();
        }

        /**
         * Something is out of the ordinary, or about to be: looks at servers must not pass it over.
         */
        void watch() {
            watched.add(this);
        }

        /**
         * Whether, but for its start, all is as for a server that was never sent to, or not of
         * late.
         */
        boolean isOrdinary(long quietSince, long now) {
            if (inFlight > 0
                    || unreached > 0
                    || saidLost
                    || ejectedUntil > now
                    || fullUntil > now
                    || oks > 0 && lastOk > quietSince) {
                return false;
            }
            for (OfClass each : classes) {
                if (each.resting(now)) {
                    return false;
                }
            }
            return true;
        }
    }

    /**
     * A server's health for one class: none is kept where nothing has been seen yet, as for most.
     */
    static final class OfClass {
        private final Node node;
        private Health health;

        OfClass(Node node) {
            this.node = node;
        }

        Health health() {
            health = health == null ? new Health() : health;
            return health;
        }

        boolean resting(long now) {
            return health != null && health.resting(now);
        }

        boolean admits(long now) {
            return health == null || health.admits(now);
        }

        long foundUntil() {
            return health == null ? 0 : health.foundUntil();
        }

        void heard(long until) {
            health().heard(until);
            node.watch();
        }
    }

    /** What is known of a zone's servers: how many there are, are out, have answered lately. */
    record Tally(int servers, int out, int proven) {
        Tally {
            if (out + proven > servers) {
                throw new IllegalArgumentException("more than there are");
            }
        }
    }

    /** A zone, as this balancer sees it. */
    static final class Zone {
        Zones.State state = Zones.State.WHOLE;
        // Of the state, or of its part
        long since;
        // It is not doubted before
        long calmUntil;
        long triedAt;
        // That it was left, of late
        int times;
        // Of the requests that may meet it
        double part = 1;
        // Answers since then
        int good;
        // Attempts since then that found nobody
        int bad;

        /** A state, or a part, begins. */
        void begins(long now) {
            since = now;
            good = 0;
            bad = 0;
        }
    }

    /** One send of a request to a server. */
    static final class Attempt {
        final Node node;
        // As listed at the send: its zone and cell
        final Server server;
        final Request request;
        long at;
        // Of its server, for its class
        final Health health;
        boolean out = true;
        // Until its outcome proves otherwise
        boolean mayHaveRun = true;

        Attempt(Node node, Request request, long at) {
            this.node = node;
            this.server = node.server;
            this.request = request;
            this.at = at;
            this.health = node.classes[request.number].health();
            health.sent();
        }

        /** Writes down that it is sent; {@code count}: what one more counts for. */
        void begins(double count) {
            request.attempts.add(this);
            request.out++;
            node.sends(this);
            node.inFlight++;
            node.count += count;
            node.tokens--;
        }

        /** Writes down that it has ended. */
        void ends(boolean mayHaveRunThen) {
            out = false;
            mayHaveRun = mayHaveRunThen;
            request.out--;
            node.inFlight--;
            // Lets go of those that have ended
            node.oldest();
            health.ended();
        }
    }

    /**
     * Requests with one key of classes that are served in order: only the first of the line is
     * sent.
     */
    static final class Turn {
        final ArrayDeque<Request> line = new ArrayDeque<>();
        // Attempts of the last one may still run until then
        long restUntil;
    }

    /** A request that is owed an answer, or has attempts out. */
    static final class Request {
        final String id;
        final int number;
        final RequestClass kind;
        final long key;
        long arrived;
        long deadline;
        long aimAt;
        // Still coming in
        boolean uploading;
        // Usual latencies that its hint promises
        double size = 1;
        // Over its tenant's share, or late already
        final boolean last;
        final List<Attempt> attempts = new ArrayList<>(2);
        int out;
        boolean closed;
        boolean held;
        boolean streaming;
        // Null where no order is asked for
        Turn turn;

        Request(
                String id,
                int number,
                RequestClass kind,
                long key,
                long arrived,
                long timeLeft,
                long aimAt,
                boolean overShare) {
            this.id = id;
            this.number = number;
            this.kind = kind;
            this.key = key;
            this.arrived = arrived;
            this.deadline = arrived + timeLeft;
            this.aimAt = Math.min(aimAt, deadline);
            this.last = overShare || aimAt <= arrived;
        }

        /** The earliest attempt that may have run, or null. */
        Attempt firstThatMayHaveRun() {
            return attempts.stream().filter(a -> a.mayHaveRun).findFirst().orElse(null);
        }

        /**
         * Whether its client may send it again without harm: nothing has run, or it is of a kind
         * that may.
         */
        boolean mayComeAgain() {
            return firstThatMayHaveRun() == null
                    || kind.effect() == Policy.Effect.SAFE
                    || kind.effect() == Policy.Effect.KEYED && kind.scope() == Policy.Scope.ALL;
        }

        /** From 0 to 1, the same for each look at this request and zone. */
        double chance(int zone) {
            return (Hashing.mix(Hashing.hash(id) + zone) >>> 11) * 0x1p-53;
        }

        boolean wasSentTo(Node n) {
            return attempts.stream().anyMatch(a -> a.node == n);
        }

        /** Its time begins only now. */
        void starts(long now, long timeLeft) {
            aimAt += now - arrived;
            arrived = now;
            deadline = now + timeLeft;
            uploading = false;
            attempts.forEach(a -> a.at = now);
        }
    }
}
