package junctionhead.net;

import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalAddress;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import junctionhead.Balance;
import junctionhead.Policy;
import junctionhead.SettingsReader;

/**
 * Takes requests of its own through the whole path, over this node's own address, before clients
 * come. Guards against a cold start: with nothing compiled yet a node took hundreds of milliseconds
 * for its first requests, fell behind at once under a full load, and answered some after their
 * deadlines. It has a module, a dispatcher and connections of its own, which end with it, so that
 * the real ones learn nothing from it.
 */
final class Rehearsal {
    /**
     * The path of its requests, and the one on which they come back to this node as an upstream.
     */
    static final String PATH = "/-/rehearsal";

    static final String HOP = "/-/rehearsed";

    // Enough to have what a request needs compiled, where nobody waits: after 40 alone two
    // balancers on half
    // a core each were late with 8% of the first seconds' requests.
    private static final int REQUESTS = 300;
    // Where clients are at work already, this balancer is missing: the first ones load and link.
    private static final int REQUESTS_HURRIED = 40;
    private static final int AT_ONCE = 8;
    // Real requests, where they come already, go between
    private static final int AT_ONCE_HURRIED = 2;
    // Every third is turned away in the last part
    private static final int DECLINED = 3;
    private static final int SERVERS = 8;
    // Where the machine is busy
    private static final long MOST_MS = 4_000;
    // µs for one request
    private static final long WAIT = 1_000_000;

    private final EventLoop loop;
    private final SettingsReader.Boot boot;
    private final LongSupplier real;
    private final BooleanSupplier hurried;
    private final Runnable then;
    private final Dispatcher dispatcher;
    private final Upstreams back;
    private final Upstreams front;
    private int begun;
    private int ended;
    private int hops;
    private boolean over;

    /**
     * {@code then} runs on the loop when it is over. Where {@code inside} is not null the requests
     * go through that address within this process: at the node's own another process may answer.
     * {@code real} tells how many requests clients have brought: each stands for one of the
     * rehearsal, which only keeps it waiting. {@code hurried}: whether this balancer is missing
     * meanwhile.
     */
    Rehearsal(
            EventLoop loop,
            Config config,
            LocalAddress inside,
            LongSupplier real,
            BooleanSupplier hurried,
            Runnable then) {
        this.loop = loop;
        this.boot = config.boot();
        this.real = real;
        this.hurried = hurried;
        this.then = then;
        Policy policy = new Balance(boot.settings(), config.seed());
        Metrics metrics = new Metrics(boot.classes());
        Events quiet = new Events(line -> {}, System::nanoTime);
        dispatcher = new Dispatcher(loop, boot, policy, line -> {}, quiet, metrics);
        Descriptors descriptors = new Descriptors(config.sockets(), false);
        Relay.Budget budget = new Relay.Budget();
        back =
                new Upstreams(
                        loop, boot, descriptors, dispatcher::now, quiet, metrics, budget, inside);
        front =
                new Upstreams(
                        loop, boot, descriptors, dispatcher::now, quiet, metrics, budget, inside);
        dispatcher.attach(back, null, null);
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    void start(InetSocketAddress self) {
        List<Targets.Target> targets = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            Policy.Server server =
                    new Policy.Server(
                            "rehearsal-" + i,
                            Policy.State.UP,
                            0,
                            1,
                            0,
                            i % 2,
                            boot.settings().zone());
            targets.add(new Targets.Target(server, self));
        }
        Targets all = new Targets(0, true, targets);
        front.listed(all, dispatcher.now());
        dispatcher.listed(Policy.ListKind.PERSISTED, all);
        loop.schedule(this::end, MOST_MS, TimeUnit.MILLISECONDS);
        for (int i = 0; i < AT_ONCE; i++) {
            next();
        }
    }

    /** As an upstream: whether the request that has come back is turned away. */
    boolean declines() {
        hops++;
        return begun > REQUESTS_HURRIED / 2 && hops % DECLINED == 0;
    }

    private void next() {
        boolean hurry = hurried.getAsBoolean();
        if (over || begun + real.getAsLong() >= (hurry ? REQUESTS_HURRIED : REQUESTS)) {
            if (ended == begun) {
                end();
            }
            return;
        }
        if (begun - ended >= (hurry ? AT_ONCE_HURRIED : AT_ONCE)) {
            return;
        }
        int number = begun++ % boot.classes().size();
        Policy.Effect effect = boot.settings().classes().get(number).effect();
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set("Req-Id", "rehearsal-" + begun)
                        .set("Req-Kind", boot.classes().get(number))
                        .set("Req-Cost", Integer.toString(begun));
        if (effect == Policy.Effect.KEYED) {
            headers.set("Idempotency-Key", "rehearsal-" + begun);
        }
        HttpMethod method = effect == Policy.Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        byte[] body = new byte[effect == Policy.Effect.SAFE ? 0 : 200];
        Order order = new Order(method, PATH, headers, body, number, 0, null, WAIT, -1, false);
        front.send(
                "rehearsal-0",
                order,
                WAIT,
                (outcome, answer, load) -> {
                    ended++;
                    if (!over) {
                        loop.execute(this::next);
                    }
                });
    }

    private void end() {
        if (!over) {
            over = true;
            dispatcher.retire();
            front.close();
            back.close();
            then.run();
        }
    }
}
