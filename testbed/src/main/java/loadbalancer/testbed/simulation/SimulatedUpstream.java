package loadbalancer.testbed.simulation;

import java.util.IdentityHashMap;
import java.util.Map;
import loadbalancer.testbed.endpointmodel.EndpointModel;
import loadbalancer.testbed.endpointmodel.Job;
import loadbalancer.testbed.endpointmodel.SlowStartBudget;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * A server in simulated time: the same model that stands behind the sockets, and what is wrong with
 * it.
 */
final class SimulatedUpstream {
    private final VirtualTimeScheduler scheduler;
    private final WorkloadPlan.UpstreamSpec spec;
    private final Scenario scenario;
    private final EndpointModel model;
    private final Map<Job, Runnable> running = new IdentityHashMap<>();
    private long nextCompletionMicros = Long.MAX_VALUE;
    private boolean alive;
    private boolean draining;
    private int vanishCount;
    private int incarnation;
    private boolean failsAllClasses;
    private String failingClass;
    private long startedAtMicros;
    private SlowStartBudget warmingUp;
    private double peakSlowStartUtilization;
    private long jobCount;

    SimulatedUpstream(
            VirtualTimeScheduler scheduler, WorkloadPlan.UpstreamSpec spec, Scenario scenario) {
        this.scheduler = scheduler;
        this.spec = spec;
        this.scenario = scenario;
        Scenario.Upstreams upstreamSettings = scenario.upstreams();
        this.model =
                new EndpointModel(
                        upstreamSettings.cores(),
                        upstreamSettings.queueCapacity(),
                        spec.speed(),
                        upstreamSettings.slowStartInitialFraction(),
                        Math.round(upstreamSettings.slowStartWindowS() * 1e6));
        this.alive = spec.replaces() < 0;
    }

    WorkloadPlan.UpstreamSpec spec() {
        return spec;
    }

    boolean alive() {
        return alive;
    }

    /** Neither answers nor refuses. */
    boolean isSilent() {
        return vanishCount > 0;
    }

    long startedAtMicros() {
        return startedAtMicros;
    }

    double peakSlowStartUtilization() {
        return peakSlowStartUtilization;
    }

    /** Raised by each end of its process: what was under way in an earlier one is gone. */
    int incarnation() {
        return incarnation;
    }

    /** Takes an attempt and calls {@code onCompletion} when its work ends; null: turned away. */
    Job tryAccept(int requestClass, long workMicros, Runnable onCompletion) {
        Job job = new Job(requestClass, workMicros, jobCount++);
        if (draining || !model.tryAccept(scheduler.nowMicros(), job)) {
            return null;
        }
        running.put(job, onCompletion);
        scheduleCompletion();
        return job;
    }

    /** Seconds of work a second that it can do now. */
    double capacity() {
        return model.capacity(scheduler.nowMicros());
    }

    boolean warmingUp() {
        return warmingUp != null && model.slowStartFraction(scheduler.nowMicros()) < 1;
    }

    /** Work comes to it while it may be cold; true where that pushes it over. */
    boolean exceedsSlowStartBudget(long workMicros, boolean notified) {
        long nowMicros = scheduler.nowMicros();
        if (warmingUp == null) {
            return false;
        }
        if (model.slowStartFraction(nowMicros) >= 1) {
            warmingUp = null;
            return false;
        }
        boolean exceeded =
                warmingUp.sent(nowMicros, workMicros, model.capacity(nowMicros), notified);
        peakSlowStartUtilization = Math.max(peakSlowStartUtilization, warmingUp.peakUtilization());
        return exceeded;
    }

    void cancel(Job job) {
        if (running.remove(job) != null) {
            model.cancel(scheduler.nowMicros(), job);
            scheduleCompletion();
        }
    }

    boolean failsClass(int requestClass) {
        return failsAllClasses
                || failingClass != null
                        && scenario.classes().get(requestClass).name().equals(failingClass);
    }

    private void scheduleCompletion() {
        long completionMicros = model.nextCompletionMicros();
        if (completionMicros != nextCompletionMicros) {
            nextCompletionMicros = completionMicros;
            if (completionMicros != Long.MAX_VALUE) {
                scheduler.schedule(completionMicros, () -> completeJobs(completionMicros));
            }
        }
    }

    private void completeJobs(long plannedMicros) {
        if (plannedMicros != nextCompletionMicros) {
            // What it was planned for was cancelled
            return;
        }
        nextCompletionMicros = Long.MAX_VALUE;
        for (Job job = model.pollCompleted(scheduler.nowMicros());
                job != null;
                job = model.pollCompleted(scheduler.nowMicros())) {
            Runnable onCompletion = running.remove(job);
            if (onCompletion != null) {
                onCompletion.run();
            }
        }
        scheduleCompletion();
    }

    void crash() {
        alive = false;
        incarnation++;
        running.clear();
        model.restart(scheduler.nowMicros());
        nextCompletionMicros = Long.MAX_VALUE;
    }

    void start() {
        alive = true;
        draining = false;
        startedAtMicros = scheduler.nowMicros();
        warmingUp =
                new SlowStartBudget(
                        scenario.upstreams().overloadFactor(),
                        Math.round(scenario.upstreams().overloadWindowS() * 1e6),
                        scenario.meanWorkMicros());
        model.restart(startedAtMicros);
    }

    void startDraining() {
        draining = true;
    }

    void setVanished(boolean newVanished) {
        vanishCount += newVanished ? 1 : -1;
    }

    void setSlowdownFactor(double factor) {
        model.slowdownFactor(factor);
    }

    void setHanging(boolean hanging) {
        model.hanging(hanging);
        scheduleCompletion();
    }

    void setFailing(String requestClass, boolean active) {
        failsAllClasses = active && requestClass == null;
        failingClass = active ? requestClass : null;
    }
}
