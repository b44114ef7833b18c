package junctionhead.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import junctionhead.Kept;
import junctionhead.Policy;
import junctionhead.SettingsReader;

/**
 * Stands between the sockets and the module: owns the module, its clock and the table of requests
 * and attempts; tells it what happens and carries out what it asks for. It decides nothing. All of
 * it runs on the event loop's thread.
 */
final class Dispatcher implements Policy.Actions {
    /**
     * µs before a client's time is over at which it gets a failure if nothing else has answered it.
     */
    static final long GUARD = 6_000;

    /**
     * µs before that at which the last attempt ends, so that the module can word the answer itself.
     */
    static final long LAST_WORD = 6_000;

    /** Where the one final answer to a request goes. */
    interface Reply {
        /** Whether its client is still there, as of now. */
        boolean isAwaited();

        /** Served: passes the upstream's body on; the caller keeps the response. */
        void serve(FullHttpResponse answer);

        /**
         * Served, with an answer that is still coming; {@code over} hears whether it was passed on
         * whole.
         */
        void serve(HttpResponse head, long length, Relay body, Consumer<Boolean> over);

        void refuse(long retryAfter);

        void fail();
    }

    /** What the client's side tells of a request that it has handed over. */
    interface Taken {
        /** The client has left. */
        void gone();

        /** The whole of its body has come, where it was handed over before. */
        void whole();
    }

    /** A request that has been taken, and its attempts. */
    private static final class Exchange {
        final String id;
        final Order order;
        final Reply reply;
        long deadline;
        final List<Attempt> attempts = new ArrayList<>(2);
        int out;
        // Its body is still coming: its time has not begun
        boolean uploading;
        boolean closed;
        // Whose long answer is the final one, or null
        Attempt answering;
        // That answer, now
        boolean passing;
        // The way that it goes
        Relay body;
        Future<?> guard;

        Exchange(String id, Order order, Reply reply, long deadline) {
            this.id = id;
            this.order = order;
            this.reply = reply;
            this.deadline = deadline;
        }
    }

    private static final class Attempt {
        final Exchange exchange;
        final int number;
        final String server;
        long at;
        long wait;
        Upstreams.Call call;
        Future<?> timer;
        boolean ended;

        Attempt(Exchange exchange, int number, String server, long at) {
            this.exchange = exchange;
            this.number = number;
            this.server = server;
            this.at = at;
        }
    }

    private final EventLoop loop;
    private final SettingsReader.Boot boot;
    private final Policy policy;
    private final Consumer<String> log;
    private final Events events;
    private final Metrics metrics;
    private final long unixAtStart = System.currentTimeMillis() * 1000;
    private final long nanosAtStart = System.nanoTime();
    private final Map<String, Exchange> table = new HashMap<>();
    private final ArrayDeque<LongConsumer> waiting = new ArrayDeque<>();
    private Upstreams upstreams;
    private Discovery discovery;
    private PeerLink peers;
    private boolean handing;
    private boolean retired;
    private long taken;
    private long guarded;
    private long faults;
    private int owed;
    private Runnable whenIdle;

    Dispatcher(
            EventLoop loop,
            SettingsReader.Boot boot,
            Policy policy,
            Consumer<String> log,
            Events events,
            Metrics metrics) {
        this.loop = loop;
        this.boot = boot;
        this.policy = policy;
        this.log = log;
        this.events = events;
        this.metrics = metrics;
    }

    /** {@code by} and {@code others} may be null: a rehearsal has no discovery and no peers. */
    void attach(Upstreams to, Discovery by, PeerLink others) {
        upstreams = to;
        discovery = by;
        peers = others;
    }

    /** A message of another balancer. */
    void heard(int from, byte[] data) {
        hand(now -> policy.peerMessage(now, from, data, this));
    }

    /**
     * µs since 1970 by the monotonic clock: comparable with an upstream's start, and never going
     * back.
     */
    long now() {
        return unixAtStart + (System.nanoTime() - nanosAtStart) / 1000;
    }

    // ---------------------------------------------------------------- events

    // The module is not re-entrant: what happens while it is at work or an action is carried out
    // waits.
    private void hand(LongConsumer event) {
        if (retired) {
            return;
        }
        waiting.add(event);
        if (handing) {
            return;
        }
        handing = true;
        try {
            for (LongConsumer next = waiting.poll(); next != null; next = waiting.poll()) {
                try {
                    next.accept(now());
                } catch (RuntimeException e) {
                    // The guard answers what this leaves unanswered; one event must not end the
                    // balancer.
                    faults++;
                    StackTraceElement[] trace = e.getStackTrace();
                    log.accept(
                            "fault "
                                    + faults
                                    + ": "
                                    + e
                                    + (trace.length == 0 ? "" : " at " + trace[0]));
                }
            }
        } finally {
            handing = false;
        }
    }

    /** Requests taken since the start. */
    long taken() {
        return taken;
    }

    /** Whether clients are at work now, at this balancer or at others that tell of it. */
    boolean inService() {
        return taken > 0 || policy.othersRate() > 0;
    }

    /**
     * Takes a request, for one final answer; returns whom to tell what the client does before it.
     */
    Taken take(Order order, Reply reply) {
        String id = Long.toString(++taken, Character.MAX_RADIX);
        Exchange x = new Exchange(id, order, reply, now() + order.timeLeft());
        table.put(id, x);
        owed++;
        x.uploading = order.upload() != null;
        guard(x);
        hand(
                now ->
                        policy.request(
                                now,
                                id,
                                order.requestClass(),
                                order.tenant(),
                                order.key(),
                                Math.max(0, x.deadline - now),
                                order.work(),
                                order.resubmission(),
                                this));
        if (x.uploading) {
            hand(now -> policy.uploading(now, id));
        }
        return new Taken() {
            @Override
            public void gone() {
                Dispatcher.this.gone(x);
            }

            @Override
            public void whole() {
                uploaded(x);
            }
        };
    }

    private void guard(Exchange x) {
        x.guard =
                loop.schedule(
                        () -> lastResort(x),
                        Math.max(0, x.order.timeLeft() - GUARD),
                        TimeUnit.MICROSECONDS);
    }

    // From here on its time counts, and that of its attempt.
    private void uploaded(Exchange x) {
        x.uploading = false;
        if (x.closed) {
            return;
        }
        long now = now();
        x.deadline = now + x.order.timeLeft();
        x.guard.cancel(false);
        guard(x);
        for (Attempt a : x.attempts) {
            if (!a.ended) {
                a.at = now;
                await(a);
            }
        }
        hand(at -> policy.uploaded(at, x.id, x.order.timeLeft(), this));
    }

    private void await(Attempt a) {
        a.timer =
                loop.schedule(
                        () -> giveUp(a, Policy.Outcome.TIMEOUT), a.wait, TimeUnit.MICROSECONDS);
    }

    private void gone(Exchange x) {
        if (x.passing) {
            stopPassing(x);
            x.body.discard();
            giveUp(x.answering, Policy.Outcome.CANCELLED);
        } else if (!x.closed) {
            close(x);
            hand(now -> policy.clientGone(now, x.id, this));
            forget(x);
        }
    }

    // What binds is the instant in which an attempt begins, not when the loop reads the client's
    // end.
    private void leaveIfGone(Exchange x) {
        if (!x.closed && !x.reply.isAwaited()) {
            gone(x);
        }
    }

    // Rule 1 where the module stays silent or has thrown: the client gets a failure while it still
    // listens.
    private void lastResort(Exchange x) {
        if (x.uploading && x.out > 0) {
            // The client's time has not begun
            guard(x);
        } else if (!x.closed) {
            guarded++;
            if (Long.bitCount(guarded) == 1) {
                log.accept("last-resort answers: " + guarded);
            }
            close(x);
            metrics.errored(x.order.requestClass());
            x.reply.fail();
            hand(now -> policy.clientGone(now, x.id, this));
            for (Attempt a : x.attempts) {
                if (!a.ended) {
                    cancel(x.id, a.number);
                }
            }
            forget(x);
        }
    }

    // The one place where the final answer of a request is settled.
    private void close(Exchange x) {
        decide(x);
        settled();
    }

    private static void decide(Exchange x) {
        assert !x.closed : "a second final answer for " + x.order.id();
        x.closed = true;
        x.guard.cancel(false);
    }

    private void settled() {
        owed--;
        if (owed == 0 && whenIdle != null) {
            loop.execute(whenIdle);
        }
    }

    private void forget(Exchange x) {
        if (x.closed && x.out == 0) {
            table.remove(x.id);
        }
    }

    // A long answer has begun: it is the final one, and the server's work is done.
    private void begun(Attempt a, HttpResponse head, long length, Relay body, Policy.Load load) {
        Exchange x = a.exchange;
        if (x.closed) {
            body.discard();
            return;
        }
        if (a.timer != null) {
            a.timer.cancel(false);
        }
        decide(x);
        x.answering = a;
        x.passing = true;
        x.body = body;
        long latency = now() - a.at;
        x.reply.serve(
                head,
                length,
                body,
                whole -> {
                    if (x.passing) {
                        if (whole) {
                            metrics.answered(x.order.requestClass());
                        } else {
                            metrics.errored(x.order.requestClass());
                        }
                        stopPassing(x);
                    }
                });
        hand(
                now ->
                        policy.outcome(
                                now, x.id, a.number, Policy.Outcome.OK, latency, true, load, this));
    }

    private void stopPassing(Exchange x) {
        x.passing = false;
        settled();
    }

    // What was begun can't be retried: the module hears only that the server broke it off.
    private void passed(Attempt a, Policy.Outcome outcome) {
        if (outcome == Policy.Outcome.RESET) {
            events.tell(
                    Events.Kind.ATTEMPT,
                    a.exchange.order.id(),
                    () ->
                            a.number
                                    + " to "
                                    + a.server
                                    + " broke off an answer that was being passed on");
            hand(now -> policy.brokeOff(now, a.server, this));
        }
    }

    private void ended(
            Attempt a, Policy.Outcome outcome, FullHttpResponse answer, Policy.Load load) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        if (a.timer != null) {
            a.timer.cancel(false);
        }
        Exchange x = a.exchange;
        x.out--;
        if (a == x.answering) {
            passed(a, outcome);
            forget(x);
            return;
        }
        long latency = now() - a.at;
        if (outcome == Policy.Outcome.OK && !x.closed) {
            close(x);
            metrics.answered(x.order.requestClass());
            x.reply.serve(answer);
        }
        if (outcome != Policy.Outcome.OK) {
            events.tell(
                    Events.Kind.ATTEMPT,
                    x.order.id(),
                    () ->
                            a.number
                                    + " to "
                                    + a.server
                                    + " "
                                    + outcome
                                    + " after "
                                    + latency / 1000
                                    + " ms"
                                    + (x.closed ? ", the request was closed" : ""));
        }
        hand(now -> policy.outcome(now, x.id, a.number, outcome, latency, x.closed, load, this));
        forget(x);
    }

    // Before the request's last byte is written nothing can have run.
    private void giveUp(Attempt a, Policy.Outcome ifWritten) {
        if (!a.ended) {
            boolean written = a.call != null && a.call.giveUp();
            ended(a, written ? ifWritten : Policy.Outcome.NOT_SENT, null, null);
        }
    }

    /** News of the list of upstreams; null: the call or the watch has failed. */
    void listed(Policy.ListKind kind, Targets targets) {
        if (targets != null) {
            upstreams.listed(targets, now());
        }
        hand(
                now ->
                        policy.servers(
                                now, kind, targets == null ? List.of() : targets.servers(), this));
    }

    /** What the module would keep over a crash; null: nothing. */
    Kept kept() {
        return policy.keep(now());
    }

    /** Gives the module what was kept {@code age} µs ago. */
    void recall(Kept kept, long age) {
        hand(now -> policy.recall(now, kept, age));
    }

    /** The module is told nothing more, and so asks for nothing. */
    void retire() {
        retired = true;
    }

    /** Runs {@code then} on the loop, once no final answer is owed any more. */
    void whenIdle(Runnable then) {
        whenIdle = then;
        if (owed == 0) {
            loop.execute(then);
        }
    }

    /** Requests that have been taken and have no final answer yet. */
    int owed() {
        return owed;
    }

    /** Listed upstreams that get nothing now. */
    int avoided() {
        return policy.avoided(now());
    }

    private String history(Exchange x) {
        return x.attempts.size()
                + " attempts, "
                + (x.deadline - now()) / 1000
                + " ms left of "
                + x.order.timeLeft() / 1000;
    }

    String summary() {
        return taken
                + " requests taken, "
                + owed
                + " unanswered, "
                + guarded
                + " last-resort answers, "
                + faults
                + " faults";
    }

    // ---------------------------------------------------------------- the module's actions

    @Override
    public void send(String request, String server, long timeout) {
        Exchange x = table.get(request);
        if (x == null) {
            return;
        }
        leaveIfGone(x);
        long now = now();
        Attempt a = new Attempt(x, x.attempts.size(), server, now);
        x.attempts.add(a);
        x.out++;
        long left = x.deadline - GUARD - LAST_WORD - now;
        long wait = timeout == 0 ? left : Math.min(timeout, left);
        boolean allowed =
                !x.closed
                        && wait > 0
                        && a.number < boot.settings().limits().maxAttempts()
                        && x.order.sendable();
        if (allowed) {
            a.wait = wait;
            if (!x.uploading) {
                await(a);
            }
            a.call =
                    upstreams.send(
                            server,
                            x.order,
                            wait,
                            new Upstreams.Listener() {
                                @Override
                                public boolean mayBegin() {
                                    leaveIfGone(x);
                                    return !x.closed && policy.mayBegin(now(), x.id, a.number);
                                }

                                @Override
                                public void ended(
                                        Policy.Outcome outcome,
                                        FullHttpResponse answer,
                                        Policy.Load load) {
                                    Dispatcher.this.ended(a, outcome, answer, load);
                                }

                                @Override
                                public void begun(
                                        HttpResponse head,
                                        long length,
                                        Relay body,
                                        Policy.Load load) {
                                    Dispatcher.this.begun(a, head, length, body, load);
                                }
                            });
        } else {
            ended(a, Policy.Outcome.NOT_SENT, null, null);
        }
    }

    @Override
    public void refuse(String request, long retryAfter) {
        Exchange x = table.get(request);
        if (x != null && !x.closed) {
            close(x);
            events.tell(Events.Kind.REFUSED, x.order.id(), () -> history(x));
            metrics.deferred(x.order.requestClass());
            x.reply.refuse(retryAfter);
            forget(x);
        }
    }

    @Override
    public void fail(String request) {
        Exchange x = table.get(request);
        if (x != null && !x.closed) {
            close(x);
            events.tell(Events.Kind.FAILED, x.order.id(), () -> history(x));
            metrics.errored(x.order.requestClass());
            x.reply.fail();
            forget(x);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        Exchange x = table.get(request);
        if (x != null && attempt < x.attempts.size()) {
            giveUp(x.attempts.get(attempt), Policy.Outcome.CANCELLED);
        }
    }

    @Override
    public void probe(String server) {
        long sent = now();
        boolean reports = boot.settings().reports() != Policy.Reports.NONE;
        upstreams.probe(
                server,
                reports,
                (outcome, answer, load) ->
                        hand(now -> policy.probed(now, server, outcome, now - sent, load, this)));
    }

    @Override
    public void watch(boolean on) {
        if (discovery != null) {
            discovery.watch(on);
        }
    }

    @Override
    public void fetchList() {
        if (discovery != null) {
            discovery.fetch();
        }
    }

    @Override
    public void closeIdle(String server) {
        upstreams.closeIdle(server);
    }

    @Override
    public void tell(int peer, byte[] data) {
        if (peers != null) {
            peers.tell(peer, data);
        }
    }

    @Override
    public void wakeAfter(long delay) {
        loop.schedule(() -> hand(now -> policy.wake(now, this)), delay, TimeUnit.MICROSECONDS);
    }

    @Override
    public void remark(String line) {
        log.accept(line);
    }
}
