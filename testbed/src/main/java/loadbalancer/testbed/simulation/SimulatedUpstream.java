package loadbalancer.testbed.simulation;

import java.util.IdentityHashMap;
import loadbalancer.testbed.endpointmodel.EndpointModel;
import loadbalancer.testbed.endpointmodel.FaultableService;
import loadbalancer.testbed.endpointmodel.Job;
import loadbalancer.testbed.endpointmodel.SlowStartBudget;
import loadbalancer.testbed.fault.FaultableUpstream;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * An upstream in virtual time: combines the {@link EndpointModel}, which upstreams behind sockets
 * use too, with the faults that affect the upstream. Used only by the thread that runs the
 * simulation.
 */
final class SimulatedUpstream implements FaultableUpstream {
    private final VirtualTimeScheduler scheduler;
    private final WorkloadPlan.UpstreamSpec spec;
    private final Scenario scenario;
    private final EndpointModel model;
    private final IdentityHashMap<Job, Runnable> completionCallbacks = new IdentityHashMap<>();
    private long nextCompletionMicros = Long.MAX_VALUE;
    private boolean alive;
    private int activeVanishFaults;
    private final FaultableService service;
    private long startedAtMicros;
    // Null unless the upstream is in slow start after a start during the run.
    private SlowStartBudget slowStartBudget;
    private double peakSlowStartUtilization;
    private long jobCount;

    SimulatedUpstream(
            VirtualTimeScheduler scheduler, WorkloadPlan.UpstreamSpec spec, Scenario scenario) {
        this.scheduler = scheduler;
        this.spec = spec;
        this.scenario = scenario;
        this.model = EndpointModel.of(scenario.upstreams(), spec.speed());
        this.service = new FaultableService(model, scenario, this::scheduleCompletion);
        this.alive = spec.replaces() < 0;
    }

    @Override
    public WorkloadPlan.UpstreamSpec spec() {
        return spec;
    }

    /** Returns whether the process is running. */
    boolean alive() {
        return alive;
    }

    /** Returns whether the upstream neither accepts nor refuses connections. */
    boolean isSilent() {
        return activeVanishFaults > 0;
    }

    /** Returns the time in µs of the latest start during the run; 0 if there was none. */
    long startedAtMicros() {
        return startedAtMicros;
    }

    /** Returns the largest fraction of a slow-start budget that was used; 1 is all of it. */
    double peakSlowStartUtilization() {
        return peakSlowStartUtilization;
    }

    /** Creates the job of an attempt that arrives now. */
    Job newJob(int requestClass, long workMicros) {
        return new Job(requestClass, workMicros, jobCount++);
    }

    /** Accepts a job and runs {@code onCompletion} when it completes. Returns false if refused. */
    boolean tryAccept(Job job, Runnable onCompletion) {
        if (!alive || service.isDraining() || !model.tryAccept(scheduler.nowMicros(), job)) {
            return false;
        }
        completionCallbacks.put(job, onCompletion);
        scheduleCompletion();
        return true;
    }

    /** Returns the current capacity in seconds of work per second. */
    double capacity() {
        return model.capacity(scheduler.nowMicros());
    }

    /** Returns whether the upstream started during the run and is below its full capacity. */
    boolean isInSlowStart() {
        return slowStartBudget != null && model.slowStartFraction(scheduler.nowMicros()) < 1;
    }

    /**
     * Records work that arrives, if the upstream is in slow start.
     *
     * @param workMicros work in µs at speed 1
     * @param notified whether the sender had been notified of the start
     * @return whether the work exceeds the slow-start budget; true at most once per start
     */
    boolean recordSlowStartWork(long workMicros, boolean notified) {
        long nowMicros = scheduler.nowMicros();
        if (slowStartBudget == null) {
            return false;
        }
        if (model.slowStartFraction(nowMicros) >= 1) {
            slowStartBudget = null;
            return false;
        }
        boolean exceeded =
                slowStartBudget.sent(nowMicros, workMicros, model.capacity(nowMicros), notified);
        peakSlowStartUtilization =
                Math.max(peakSlowStartUtilization, slowStartBudget.peakUtilization());
        return exceeded;
    }

    /** Cancels a job; does nothing if the job has ended. */
    void cancel(Job job) {
        if (completionCallbacks.remove(job) != null) {
            model.cancel(scheduler.nowMicros(), job);
            scheduleCompletion();
        }
    }

    /** Returns whether requests of a class, by position in the scenario, get an error response. */
    boolean failsClass(int requestClass) {
        return service.failsClass(requestClass);
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
            // The next completion changed after this event was scheduled.
            return;
        }
        nextCompletionMicros = Long.MAX_VALUE;
        for (Job job = model.pollCompleted(scheduler.nowMicros());
                job != null;
                job = model.pollCompleted(scheduler.nowMicros())) {
            Runnable onCompletion = completionCallbacks.remove(job);
            if (onCompletion != null) {
                onCompletion.run();
            }
        }
        scheduleCompletion();
    }

    /** Ends the process; all accepted jobs are lost. */
    void crash() {
        alive = false;
        completionCallbacks.clear();
        model.restart(scheduler.nowMicros());
        nextCompletionMicros = Long.MAX_VALUE;
    }

    @Override
    public void start() {
        alive = true;
        service.onProcessStarted();
        startedAtMicros = scheduler.nowMicros();
        slowStartBudget = SlowStartBudget.of(scenario);
        model.restart(startedAtMicros);
    }

    @Override
    public FaultableService service() {
        return service;
    }

    @Override
    public void setVanished(boolean newVanished) {
        activeVanishFaults += newVanished ? 1 : -1;
    }
}
