package junctionhead.lab.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import junctionhead.Policy;
import junctionhead.lab.measure.Figures;
import junctionhead.lab.measure.Result;
import junctionhead.lab.measure.Windows;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.plan.Seeds;
import junctionhead.lab.rules.Order;
import junctionhead.lab.rules.RuleBook;
import junctionhead.lab.scenario.BadScenario;
import junctionhead.lab.scenario.FaultKind;
import junctionhead.lab.scenario.Scenario;
import junctionhead.lab.stand.Told;

/**
 * The same scenario in simulated time with the module alone: for fleets that no machine holds.
 * Plan, server model, paths' troubles and rules are those of the real runs; what sockets and
 * processors add is missing.
 */
public final class SimFleet {
    // µs
    private static final long CONNECT_TIMEOUT = 150_000;
    // µs from a process's start until it is ready
    private static final long START = 1_000_000;
    // Past the last arrival, for what is open
    private static final long TAIL = 5_000_000;

    private final Plan plan;
    private final Scenario scenario;
    private final Modules modules;
    private final Timeline time = new Timeline();
    private final RuleBook rules;
    private final Windows windows;
    private final List<SimBalancer> balancers = new ArrayList<>();
    private final List<SimServer> servers = new ArrayList<>();
    private final Map<String, SimServer> byId = new HashMap<>();
    private final SimPaths paths;
    private final SimClients clients;
    // By who sends, once it has; by who hears
    private final int[][] delivered;
    private final SimLists lists;
    private final List<SimNews> news = new ArrayList<>();
    private final Map<SimServer, List<OnCrash>> crashes = new HashMap<>();
    private final int[] starts;
    private final Consumer<String> remarks;
    // Null: cold servers fall
    private ColdWatch watch;

    private record OnCrash(Runnable what, BooleanSupplier over) {}

    /** What a run is to be played with: the module or a baseline. */
    public interface Modules {
        /** The decisions of one balancer. */
        Policy make(Policy.Settings settings, long seed);
    }

    /** Hears of each attempt at a cold server. */
    public interface ColdWatch {
        /** {@code capacity}: seconds of work a second that the server can do at that time. */
        void sent(int server, long now, double capacity);
    }

    /** {@code remarks} hears the modules' lines. */
    public SimFleet(Plan plan, Modules modules, Consumer<String> remarks) {
        this.plan = plan;
        this.scenario = plan.scenario();
        this.modules = modules;
        this.remarks = remarks;
        this.rules = new RuleBook(scenario, breach -> {}, false);
        this.windows = new Windows(scenario);
        int count = scenario.fleet().balancers();
        starts = new int[count];
        delivered = new int[count][];
        paths = new SimPaths(plan);
        for (Plan.Server s : plan.servers()) {
            SimServer server = new SimServer(time, s, scenario);
            servers.add(server);
            byId.put(s.uid(), server);
        }
        lists =
                new SimLists(
                        servers.stream()
                                .filter(SimServer::alive)
                                .map(s -> entry(s, Policy.State.UP))
                                .toList());
        for (int b = 0; b < count; b++) {
            int of = b;
            balancers.add(new SimBalancer(b, this));
            news.add(
                    new SimNews(
                            time,
                            Seeds.stream(plan.seed(), "news " + b),
                            scenario.network().newsDelayMs(),
                            lists,
                            changed -> told(of, changed)));
        }
        clients = new SimClients(time, plan, rules, windows, balancers);
    }

    /** From here on all that cold servers get is told, and none of them falls. */
    public void watchCold(ColdWatch by) {
        watch = by;
    }

    // ------------------------------------------------------------ what balancers see

    Timeline time() {
        return time;
    }

    RuleBook rules() {
        return rules;
    }

    SimServer server(String uid) {
        return byId.get(uid);
    }

    long connectTimeout() {
        return CONNECT_TIMEOUT;
    }

    long handshake() {
        return Math.round(scenario.upstreams().handshakeMs() * 1e3);
    }

    long delayTo(int balancer, SimServer s, long now) {
        return paths.delayTo(balancer, s.server().number(), now);
    }

    long delayFrom(int balancer, SimServer s, long now) {
        return paths.delayFrom(balancer, s.server().number(), now);
    }

    boolean silent(int balancer, SimServer s) {
        return s.silent() || paths.cut(balancer, s.server().number());
    }

    boolean refuses(int balancer, SimServer s) {
        return paths.refuses(balancer, s.server().number());
    }

    List<Policy.Server> list(int balancer) {
        return news.get(balancer).list();
    }

    SimClients clients() {
        return clients;
    }

    void tell(int from, int to, byte[] data) {
        for (int j = 0; j < balancers.size(); j++) {
            if (j == from || to >= 0 && to != j || paths.peers(from, j).loses()) {
                continue;
            }
            SimBalancer peer = balancers.get(j);
            for (long delay : paths.peers(from, j).copies()) {
                time.after(
                        delay,
                        () -> {
                            if (peer.alive()) {
                                count(from, peer.number());
                                peer.heard(from, data);
                            }
                        });
            }
        }
    }

    private void count(int from, int to) {
        if (delivered[from] == null) {
            delivered[from] = new int[balancers.size()];
        }
        delivered[from][to] += time.now() < scenario.length() ? 1 : 0;
    }

    void remark(int balancer, String line) {
        remarks.accept(time.now() + " n" + balancer + " " + line);
    }

    void onCrash(SimServer s, int incarnation, Runnable what, BooleanSupplier over) {
        if (incarnation != s.incarnation()) {
            what.run();
            return;
        }
        List<OnCrash> list = crashes.computeIfAbsent(s, k -> new ArrayList<>());
        list.add(new OnCrash(what, over));
        if (list.size() > 4 * scenario.upstreams().waiting() + 64) {
            list.removeIf(c -> c.over.getAsBoolean());
        }
    }

    /** Work comes to a server: where it is cold, and that is too much, it falls. */
    void heats(int balancer, SimServer s, long work) {
        if (watch != null) {
            if (s.cold()) {
                watch.sent(s.server().number(), time.now(), s.capacity());
            }
        } else if (s.heats(work, rules.knowsStart(balancer, s.server().number(), s.bootAt()))) {
            pushedOver(s);
        }
    }

    private void pushedOver(SimServer s) {
        rules.breach(
                "cold budget",
                time.now(),
                null,
                "s"
                        + s.server().number()
                        + " was pushed over "
                        + (time.now() - s.bootAt()) / 1000
                        + " ms after its start");
        crash(s);
    }

    private void crash(SimServer s) {
        s.crash();
        List<OnCrash> under = crashes.remove(s);
        if (under != null) {
            under.stream().filter(c -> !c.over.getAsBoolean()).forEach(c -> c.what.run());
        }
    }

    // ------------------------------------------------------------ discovery

    private void told(int balancer, Policy.Server changed) {
        SimBalancer to = balancers.get(balancer);
        if (to.alive()) {
            rules.told(
                    balancer,
                    byId.get(changed.id()).server().number(),
                    changed.state() == Policy.State.UP,
                    time.now());
            to.listed(Policy.ListKind.PARTIAL, List.of(changed));
        }
    }

    private Policy.Server entry(SimServer s, Policy.State state) {
        return new Policy.Server(
                s.server().uid(),
                state,
                s.bootAt() == 0 ? 0 : SimBalancer.clockAt(s.bootAt()),
                1,
                s.server().number(),
                s.server().kind(),
                s.server().zone());
    }

    private void changed(SimServer s, Policy.State state) {
        lists.changed(entry(s, state));
        news.forEach(SimNews::change);
    }

    // ------------------------------------------------------------ the run

    /** Plays it; the same plan and modules give the same result to the byte. */
    public Result play() {
        for (int b = 0; b < balancers.size(); b++) {
            start(b);
        }
        for (Plan.Fault f : plan.faults()) {
            time.at(f.at(), () -> set(f, true));
            if (f.until() >= 0) {
                time.at(f.until(), () -> set(f, false));
            }
        }
        List<Plan.Arrival> arrivals = plan.arrivals();
        time.series(
                arrivals.size(),
                i -> arrivals.get(i).at(),
                i -> clients.attempt(new Order(arrivals.get(i))));
        long deadline =
                scenario.classes().stream()
                        .mapToLong(c -> Math.round(c.deadlineMs() * 1e3))
                        .max()
                        .orElse(0);
        time.run(scenario.length() + deadline + TAIL);
        rules.close(time.now());
        return result();
    }

    private void start(int b) {
        long seed = Seeds.number(plan.seed(), "balancer " + b + " start " + starts[b]++);
        List<Policy.Server> known = list(b);
        balancers.get(b).start(modules.make(Told.boot(scenario, b).settings(), seed), known);
    }

    private void set(Plan.Fault f, boolean on) {
        Scenario.Fault text = f.text();
        switch (f.kind()) {
            case KILL, TERM -> f.balancers().forEach(b -> process(b, on));
            case PAUSE -> f.balancers().forEach(b -> pause(b, on));
            case CUT, LOSS, DELAY, REPEAT, REORDER, THIN -> paths.trouble(f, on);
            case REFUSE -> paths.refuse(f, on);
            case CRASH ->
                    each(
                            f,
                            s -> {
                                if (on) {
                                    crash(s);
                                } else {
                                    s.boot();
                                }
                                changed(s, on ? Policy.State.GONE : Policy.State.UP);
                            });
            case VANISH -> each(f, s -> s.vanish(on));
            case SLOW -> each(f, s -> s.slower(on ? text.amount() : 1));
            case HANG -> each(f, s -> s.hang(on));
            case FAIL -> each(f, s -> s.fail(text.requestClass(), on));
            case REPLACE -> each(f, s -> replace(s, on));
            case LATE ->
                    f.balancers()
                            .forEach(
                                    b ->
                                            news.get(b)
                                                    .late(
                                                            Math.round(
                                                                    (on ? 1e3 : -1e3)
                                                                            * text.delayMs())));
            case STALE, SILENT, DENY -> f.balancers().forEach(b -> news.get(b).mute(on));
            case RESET ->
                    throw new BadScenario(
                            scenario.name(),
                            FaultKind.RESET.word(),
                            "can't be played in simulated time");
        }
    }

    private void each(Plan.Fault f, Consumer<SimServer> change) {
        f.upstreams().forEach(s -> change.accept(servers.get(s)));
    }

    private void replace(SimServer s, boolean on) {
        if (on) {
            s.drain();
            changed(s, Policy.State.DRAINING);
        } else {
            crash(s);
            changed(s, Policy.State.GONE);
            SimServer next = servers.get(plan.successor(s.server().number()).number());
            next.boot();
            changed(next, Policy.State.UP);
        }
    }

    private void process(int b, boolean ends) {
        if (ends) {
            rules.outFrom(b, time.now());
            balancers.get(b).kill();
            return;
        }
        time.after(
                START,
                () -> {
                    start(b);
                    rules.backAt(b, time.now());
                    clients.ready(b);
                });
    }

    private void pause(int b, boolean on) {
        if (on) {
            rules.outFrom(b, time.now());
        } else {
            rules.backAt(b, time.now());
        }
        balancers.get(b).pause(on);
    }

    private Result result() {
        TreeMap<String, Double> figures = new TreeMap<>();
        figures.put(
                "cold_worst", servers.stream().mapToDouble(SimServer::coldWorst).max().orElse(0));
        figures.put("connects", (double) balancers.stream().mapToLong(SimBalancer::connects).sum());
        List<Result.Process> processes = new ArrayList<>();
        for (int b = 0; b < balancers.size(); b++) {
            SimBalancer balancer = balancers.get(b);
            processes.add(
                    new Result.Process(
                            b,
                            scenario.fleet().zones().get(scenario.zoneOfBalancer(b)),
                            List.of(),
                            0,
                            0,
                            0,
                            balancer.datagrams(),
                            balancer.bytes(),
                            0));
        }
        return Figures.of(plan, windows, rules, figures, processes, "");
    }

    /** Things that have happened: what a run costs goes by their number. */
    public long played() {
        return time.played();
    }

    /** Seconds of simulated time so far. */
    public double simulated() {
        return time.now() / 1e6;
    }

    /** Datagrams that one balancer had from another within the run's length. */
    public long delivered(int from, int to) {
        return delivered[from] == null ? 0 : delivered[from][to];
    }
}
