package junctionhead.lab.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import junctionhead.Policy;
import junctionhead.lab.model.Job;
import junctionhead.lab.rules.Call;

/**
 * One balancer in simulated time: the module and, in place of its sockets, the same outcomes at the
 * times at which sockets would bring them. Connections are counted as far as outcomes depend on
 * them: a new one takes a round trip, and only an old one can be silent after its request is
 * written.
 */
final class SimBalancer implements Policy.Actions {
    // µs before a client's time is over, as in service
    private static final long GUARD = 6_000;
    private static final int ATTEMPTS_MOST = 4;
    // The module's clock at the run's time 0
    private static final long EPOCH = 1_000_000_000;

    private final int number;
    private final SimFleet fleet;
    private final Timeline time;
    private final Map<String, Exchange> table = new HashMap<>();
    private final Map<SimServer, Integer> idle = new HashMap<>();
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private Policy policy;
    private boolean alive;
    private boolean paused;
    private boolean handing;
    private int life;
    private long datagrams;
    private long bytes;
    private long connects;

    /** A request that it has taken. */
    private static final class Exchange {
        private final Call call;
        private final long deadline;
        private final List<Attempt> attempts = new ArrayList<>(2);
        private boolean closed;

        Exchange(Call call, long deadline) {
            this.call = call;
            this.deadline = deadline;
        }
    }

    private static final class Attempt {
        private final Exchange exchange;
        private final int number;
        private final SimServer server;
        private final long at;
        private Job job;
        private boolean ended;

        Attempt(Exchange exchange, int number, SimServer server, long at) {
            this.exchange = exchange;
            this.number = number;
            this.server = server;
            this.at = at;
        }
    }

    SimBalancer(int number, SimFleet fleet) {
        this.number = number;
        this.fleet = fleet;
        this.time = fleet.time();
    }

    boolean alive() {
        return alive;
    }

    int number() {
        return number;
    }

    long datagrams() {
        return datagrams;
    }

    long bytes() {
        return bytes;
    }

    long connects() {
        return connects;
    }

    private long clock() {
        return time.now() + EPOCH;
    }

    // ------------------------------------------------------------ its process

    void start(Policy module, List<Policy.Server> known) {
        policy = module;
        alive = true;
        paused = false;
        life++;
        event(() -> policy.servers(clock(), Policy.ListKind.PERSISTED, known, this));
    }

    /** Its process ends at once: whoever waits for an answer sees the connection end. */
    void kill() {
        alive = false;
        life++;
        waiting.clear();
        List<Exchange> open =
                table.values().stream()
                        .filter(x -> !x.closed)
                        .sorted(java.util.Comparator.comparing(x -> x.call.id()))
                        .toList();
        table.values().forEach(x -> x.attempts.forEach(this::drop));
        table.values().forEach(x -> fleet.rules().forget(x.call));
        table.clear();
        idle.clear();
        open.forEach(x -> fleet.clients().broken(x.call));
    }

    private void drop(Attempt a) {
        if (!a.ended && a.job != null) {
            a.server.cancel(a.job);
        }
        a.ended = true;
    }

    void pause(boolean on) {
        paused = on;
        if (!on) {
            drain();
        }
    }

    // ------------------------------------------------------------ what the module hears

    /** Later, in this life only. */
    private void later(long delay, Runnable what) {
        int of = life;
        time.after(
                delay,
                () -> {
                    if (life == of) {
                        event(what);
                    }
                });
    }

    // Not re-entrant, and nothing happens to one that is paused until it goes on.
    private void event(Runnable what) {
        waiting.add(what);
        if (!handing && !paused) {
            drain();
        }
    }

    private void drain() {
        handing = true;
        while (!waiting.isEmpty() && alive && !paused) {
            waiting.poll().run();
        }
        handing = false;
    }

    void listed(Policy.ListKind kind, List<Policy.Server> servers) {
        event(() -> policy.servers(clock(), kind, servers, this));
    }

    void heard(int from, byte[] data) {
        event(() -> policy.peerMessage(clock(), from, data, this));
    }

    void take(Call call) {
        long deadline = time.now() + call.deadline();
        event(
                () -> {
                    Exchange x = new Exchange(call, deadline);
                    table.put(call.id(), x);
                    policy.request(
                            clock(),
                            call.id(),
                            call.order().arrival().requestClass(),
                            call.order().arrival().tenant(),
                            null,
                            Math.max(0, deadline - time.now()),
                            -1,
                            false,
                            this);
                    later(Math.max(0, deadline - GUARD - time.now()), () -> lastResort(x));
                });
    }

    private void lastResort(Exchange x) {
        if (!x.closed) {
            fail(x.call.id());
            policy.clientGone(clock(), x.call.id(), this);
        }
    }

    /** The client of that call has left. */
    void gone(Call call) {
        event(
                () -> {
                    Exchange x = table.get(call.id());
                    if (x != null && !x.closed) {
                        x.closed = true;
                        policy.clientGone(clock(), call.id(), this);
                        forget(x);
                    }
                });
    }

    private void end(Attempt a, Policy.Outcome outcome) {
        Exchange x = a.exchange;
        if (a.ended) {
            return;
        }
        a.ended = true;
        if (outcome == Policy.Outcome.OK
                || outcome == Policy.Outcome.ERROR
                || outcome == Policy.Outcome.FULL) {
            idle.merge(a.server, 1, Integer::sum);
        } else if (a.job != null) {
            long back = fleet.delayTo(number, a.server, time.now());
            time.after(back, () -> a.server.cancel(a.job));
        }
        if (outcome == Policy.Outcome.OK && !x.closed) {
            x.closed = true;
            fleet.clients().answered(x.call, 200, 0);
        }
        policy.outcome(
                clock(), x.call.id(), a.number, outcome, time.now() - a.at, x.closed, null, this);
        forget(x);
    }

    private void forget(Exchange x) {
        if (x.closed && x.attempts.stream().allMatch(a -> a.ended)) {
            table.remove(x.call.id());
            fleet.rules().forget(x.call);
        }
    }

    // ------------------------------------------------------------ what the module asks for

    @Override
    public void send(String request, String server, long timeout) {
        Exchange x = table.get(request);
        if (x == null) {
            return;
        }
        SimServer to = fleet.server(server);
        Attempt a = new Attempt(x, x.attempts.size(), to, time.now());
        x.attempts.add(a);
        long left = x.deadline - GUARD - time.now();
        if (x.closed || left <= 0 || x.attempts.size() > ATTEMPTS_MOST) {
            later(0, () -> end(a, Policy.Outcome.NOT_SENT));
            return;
        }
        later(timeout > 0 ? Math.min(timeout, left) : left, () -> end(a, Policy.Outcome.TIMEOUT));
        boolean fresh = idle.getOrDefault(to, 0) == 0;
        long there = fleet.delayTo(number, to, time.now());
        if (!fresh) {
            idle.merge(to, -1, Integer::sum);
        } else {
            connects++;
            if (fleet.silent(number, to)) {
                later(fleet.connectTimeout(), () -> end(a, Policy.Outcome.CONNECT_FAILED));
                return;
            }
            if (!to.alive() || fleet.refuses(number, to)) {
                later(2 * there, () -> end(a, Policy.Outcome.CONNECT_FAILED));
                return;
            }
            // A round trip for the connection
            there *= 3;
        }
        int of = life;
        long began = time.now();
        time.after(
                there,
                () -> {
                    if (life == of || !a.ended) {
                        arrive(a, fresh, began);
                    }
                });
    }

    private void arrive(Attempt a, boolean fresh, long began) {
        SimServer s = a.server;
        if (a.ended || fleet.silent(number, s)) {
            // Its time-out tells
            return;
        }
        long back = fleet.delayTo(number, s, time.now());
        if (!s.alive()) {
            later(back, () -> end(a, Policy.Outcome.RESET));
            return;
        }
        Call call =
                fleet.rules()
                        .attempt(
                                a.exchange.call.id(),
                                number,
                                s.server().number(),
                                began,
                                time.now());
        int requestClass = call.order().arrival().requestClass();
        long work = call.order().arrival().work() + (fresh ? fleet.handshake() : 0);
        fleet.heats(number, s, work);
        int incarnation = s.incarnation();
        a.job =
                s.alive()
                        ? s.arrive(
                                requestClass,
                                work,
                                () ->
                                        answer(
                                                a,
                                                s.failsNow(requestClass)
                                                        ? Policy.Outcome.ERROR
                                                        : Policy.Outcome.OK))
                        : null;
        if (a.job == null) {
            answer(a, Policy.Outcome.FULL);
            return;
        }
        fleet.rules().runs(call, s.server().number(), s.server().zone(), time.now());
        fleet.onCrash(
                s,
                incarnation,
                () ->
                        later(
                                fleet.delayTo(number, s, time.now()),
                                () -> end(a, Policy.Outcome.RESET)),
                () -> a.ended);
    }

    private void answer(Attempt a, Policy.Outcome outcome) {
        if (!fleet.silent(number, a.server)) {
            later(fleet.delayFrom(number, a.server, time.now()), () -> end(a, outcome));
        }
    }

    @Override
    public void refuse(String request, long retryAfter) {
        close(request, 503, retryAfter);
    }

    @Override
    public void fail(String request) {
        close(request, 500, 0);
    }

    private void close(String request, int status, long retryAfter) {
        Exchange x = table.get(request);
        if (x != null && !x.closed) {
            x.closed = true;
            fleet.clients().answered(x.call, status, retryAfter);
            forget(x);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        Exchange x = table.get(request);
        if (x != null && attempt < x.attempts.size()) {
            later(0, () -> end(x.attempts.get(attempt), Policy.Outcome.CANCELLED));
        }
    }

    @Override
    public void probe(String server) {
        SimServer s = fleet.server(server);
        boolean up = s.alive() && !fleet.silent(number, s);
        long took = up ? 2 * fleet.delayTo(number, s, time.now()) : fleet.connectTimeout();
        later(
                took,
                () ->
                        policy.probed(
                                clock(),
                                server,
                                up ? Policy.Outcome.OK : Policy.Outcome.CONNECT_FAILED,
                                took,
                                null,
                                this));
    }

    @Override
    public void watch(boolean on) {
        // Lists are pushed here.
    }

    @Override
    public void fetchList() {
        later(0, () -> policy.servers(clock(), Policy.ListKind.COMPLETE, fleet.list(number), this));
    }

    @Override
    public void closeIdle(String server) {
        idle.remove(fleet.server(server));
    }

    @Override
    public void tell(int peer, byte[] data) {
        datagrams++;
        bytes += data.length;
        fleet.tell(number, peer, data);
    }

    @Override
    public void wakeAfter(long delay) {
        later(Math.max(1, delay), () -> policy.wake(clock(), this));
    }

    @Override
    public void remark(String line) {
        fleet.remark(number, line);
    }

    /** The module's clock at a time of the run. */
    static long clockAt(long time) {
        return time + EPOCH;
    }
}
