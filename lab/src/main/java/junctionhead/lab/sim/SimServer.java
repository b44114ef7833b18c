package junctionhead.lab.sim;

import java.util.IdentityHashMap;
import java.util.Map;
import junctionhead.lab.model.ColdBudget;
import junctionhead.lab.model.Job;
import junctionhead.lab.model.ServerModel;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.scenario.Scenario;

/**
 * A server in simulated time: the same model that stands behind the sockets, and what is wrong with
 * it.
 */
final class SimServer {
    private final Timeline time;
    private final Plan.Server server;
    private final Scenario scenario;
    private final ServerModel model;
    private final Map<Job, Runnable> working = new IdentityHashMap<>();
    private long nextAt = Long.MAX_VALUE;
    private boolean alive;
    private boolean draining;
    private int vanished;
    private int incarnation;
    private boolean failsAll;
    private String fails;
    private long bootAt;
    private ColdBudget cold;
    private double coldWorst;
    private long jobs;

    SimServer(Timeline time, Plan.Server server, Scenario scenario) {
        this.time = time;
        this.server = server;
        this.scenario = scenario;
        Scenario.Upstreams u = scenario.upstreams();
        this.model =
                new ServerModel(
                        u.cores(),
                        u.waiting(),
                        server.speed(),
                        u.coldFrom(),
                        Math.round(u.rampS() * 1e6));
        this.alive = server.replaces() < 0;
    }

    Plan.Server server() {
        return server;
    }

    boolean alive() {
        return alive;
    }

    /** Neither answers nor refuses. */
    boolean silent() {
        return vanished > 0;
    }

    long bootAt() {
        return bootAt;
    }

    double coldWorst() {
        return coldWorst;
    }

    /** Raised by each end of its process: what was under way in an earlier one is gone. */
    int incarnation() {
        return incarnation;
    }

    /** Takes an attempt and calls {@code done} when its work ends; null: turned away. */
    Job arrive(int requestClass, long work, Runnable done) {
        Job job = new Job(requestClass, work, jobs++);
        if (draining || !model.arrive(time.now(), job)) {
            return null;
        }
        working.put(job, done);
        plan();
        return job;
    }

    /** Seconds of work a second that it can do now. */
    double capacity() {
        return model.capacity(time.now());
    }

    boolean cold() {
        return cold != null && model.warmth(time.now()) < 1;
    }

    /** Work comes to it while it may be cold; true where that pushes it over. */
    boolean heats(long work, boolean told) {
        long now = time.now();
        if (cold == null) {
            return false;
        }
        if (model.warmth(now) >= 1) {
            cold = null;
            return false;
        }
        boolean over = cold.sent(now, work, model.capacity(now), told);
        coldWorst = Math.max(coldWorst, cold.worst());
        return over;
    }

    void cancel(Job job) {
        if (working.remove(job) != null) {
            model.cancel(time.now(), job);
            plan();
        }
    }

    boolean failsNow(int requestClass) {
        return failsAll
                || fails != null && scenario.classes().get(requestClass).name().equals(fails);
    }

    private void plan() {
        long wanted = model.nextEnd();
        if (wanted != nextAt) {
            nextAt = wanted;
            if (wanted != Long.MAX_VALUE) {
                time.at(wanted, () -> end(wanted));
            }
        }
    }

    private void end(long planned) {
        if (planned != nextAt) {
            // What it was planned for was cancelled
            return;
        }
        nextAt = Long.MAX_VALUE;
        for (Job job = model.ended(time.now()); job != null; job = model.ended(time.now())) {
            Runnable done = working.remove(job);
            if (done != null) {
                done.run();
            }
        }
        plan();
    }

    void crash() {
        alive = false;
        incarnation++;
        working.clear();
        model.boot(time.now());
        nextAt = Long.MAX_VALUE;
    }

    void boot() {
        alive = true;
        draining = false;
        bootAt = time.now();
        cold =
                new ColdBudget(
                        scenario.upstreams().overloadFactor(),
                        Math.round(scenario.upstreams().fallS() * 1e6),
                        scenario.meanWork());
        model.boot(bootAt);
    }

    void drain() {
        draining = true;
    }

    void vanish(boolean on) {
        vanished += on ? 1 : -1;
    }

    void slower(double times) {
        model.slower(times);
    }

    void hang(boolean on) {
        model.hanging(on);
        plan();
    }

    void fail(String requestClass, boolean on) {
        failsAll = on && requestClass == null;
        fails = on ? requestClass : null;
    }
}
