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
 * An upstream in virtual time: the same {@link EndpointModel} as behind sockets, with the faults
 * that affect it. Single-threaded.
 */
final class SimulatedUpstream implements FaultableUpstream {
    private final VirtualTimeScheduler scheduler;
    private final WorkloadPlan.UpstreamSpec spec;
    private final Scenario scenario;
    private final EndpointModel model;
    private final IdentityHashMap<Job, Runnable> running = new IdentityHashMap<>();
    private long nextCompletionMicros = Long.MAX_VALUE;
    private boolean alive;
    private int vanishCount;
    private final FaultableService service;
    private long startedAtMicros;
    // Null unless it is in slow start after a start in the run
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

    /** Whether its process runs. */
    boolean alive() {
        return alive;
    }

    /** Whether it neither accepts nor refuses connections. */
    boolean isSilent() {
        return vanishCount > 0;
    }

    /** Time of the run in µs of its latest start; 0: it runs since the beginning. */
    long startedAtMicros() {
        return startedAtMicros;
    }

    /** The largest part of a slow start's budget that was used; 1: all of it. */
    double peakSlowStartUtilization() {
        return peakSlowStartUtilization;
    }

    /** Creates the job of an attempt that arrives now. */
    Job newJob(int requestClass, long workMicros) {
        return new Job(requestClass, workMicros, jobCount++);
    }

    /** Accepts a job and runs {@code onCompletion} when it completes, or returns false. */
    boolean tryAccept(Job job, Runnable onCompletion) {
        if (!alive || service.isDraining() || !model.tryAccept(scheduler.nowMicros(), job)) {
            return false;
        }
        running.put(job, onCompletion);
        scheduleCompletion();
        return true;
    }

    /** Its present capacity in seconds of work per second. */
    double capacity() {
        return model.capacity(scheduler.nowMicros());
    }

    /** Whether it has been started in the run and has not all of its capacity yet. */
    boolean isInSlowStart() {
        return slowStartBudget != null && model.slowStartFraction(scheduler.nowMicros()) < 1;
    }

    /** Records work that arrives; true if that exceeds the budget of its slow start. */
    boolean exceedsSlowStartBudget(long workMicros, boolean notified) {
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

    /** Removes a job that is no longer waited for; does nothing if it has ended. */
    void cancel(Job job) {
        if (running.remove(job) != null) {
            model.cancel(scheduler.nowMicros(), job);
            scheduleCompletion();
        }
    }

    /** Whether it answers requests of that class, by position in the scenario, with an error. */
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
            // The job that it was scheduled for was cancelled
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

    /** Its process ends; all that it has accepted is lost. */
    void crash() {
        alive = false;
        running.clear();
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
        vanishCount += newVanished ? 1 : -1;
    }
}
