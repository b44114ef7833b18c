package loadbalancer.testbed.simulation;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The event loop of one balancer process in virtual time. Events of the routing policy run one at a
 * time: an event that another event submits runs after it. Events of a paused process wait until
 * the process resumes. The timers of a process are dropped when it ends. Used only by the thread
 * that runs the simulation.
 */
final class PolicyEventLoop {
    // The time of the policy's clock at time 0 of the run.
    private static final long POLICY_CLOCK_EPOCH_MICROS = 1_000_000_000;

    private final VirtualTimeScheduler scheduler;
    private final Deque<Runnable> pendingEvents = new ArrayDeque<>();
    private boolean alive;
    private boolean paused;
    private boolean runningEvents;
    // Number of starts and ends of the process. Timers of an earlier generation are obsolete.
    private int generation;

    PolicyEventLoop(VirtualTimeScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Converts a time of the run in µs to the time of the policy's clock in µs. */
    static long policyTimeMicros(long runMicros) {
        return runMicros + POLICY_CLOCK_EPOCH_MICROS;
    }

    /** Returns the current time of the policy's clock in µs. */
    long policyNowMicros() {
        return policyTimeMicros(scheduler.nowMicros());
    }

    /** Returns whether the process is running or paused. */
    boolean isAlive() {
        return alive;
    }

    /** Handles the start of a process. */
    void start() {
        alive = true;
        paused = false;
        generation++;
    }

    /** Handles the end of the process; its events and timers are dropped. */
    void stop() {
        alive = false;
        generation++;
        pendingEvents.clear();
    }

    /** Pauses the process, or resumes it and runs the pending events. */
    void setPaused(boolean newPaused) {
        paused = newPaused;
        if (!newPaused) {
            runPendingEvents();
        }
    }

    /** Runs an event after the events before it, as soon as the process is not paused. */
    void submit(Runnable event) {
        pendingEvents.add(event);
        if (!runningEvents && !paused) {
            runPendingEvents();
        }
    }

    /** Submits an event {@code delayMicros} µs from now, unless the process has ended by then. */
    void submitAfter(long delayMicros, Runnable event) {
        int scheduledGeneration = generation;
        scheduler.scheduleAfter(
                delayMicros,
                () -> {
                    if (generation == scheduledGeneration) {
                        submit(event);
                    }
                });
    }

    private void runPendingEvents() {
        runningEvents = true;
        while (!pendingEvents.isEmpty() && alive && !paused) {
            pendingEvents.poll().run();
        }
        runningEvents = false;
    }
}
