package loadbalancer.testbed.simulation;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The event loop of one balancer process in virtual time. Events of the routing policy run one
 * after the other and are not re-entrant: an event that is submitted by another runs after it.
 * Events of a paused process wait until it resumes, and timers end with the process that set them.
 * Single-threaded.
 */
final class PolicyEventLoop {
    // The policy's clock at time 0 of the run
    private static final long POLICY_CLOCK_EPOCH_MICROS = 1_000_000_000;

    private final VirtualTimeScheduler scheduler;
    private final Deque<Runnable> pendingEvents = new ArrayDeque<>();
    private boolean alive;
    private boolean paused;
    private boolean draining;
    // Counts starts and ends of the process; timers of an earlier count are obsolete
    private int incarnation;

    PolicyEventLoop(VirtualTimeScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** The policy's clock at a time of the run, in µs. */
    static long policyTimeMicros(long runMicros) {
        return runMicros + POLICY_CLOCK_EPOCH_MICROS;
    }

    /** The policy's clock now, in µs. */
    long policyNowMicros() {
        return policyTimeMicros(scheduler.nowMicros());
    }

    /** Whether its process runs or is paused. */
    boolean isAlive() {
        return alive;
    }

    /** A process starts. */
    void start() {
        alive = true;
        paused = false;
        incarnation++;
    }

    /** The process ends; its events and timers are dropped. */
    void stop() {
        alive = false;
        incarnation++;
        pendingEvents.clear();
    }

    /** Pauses the process, or resumes it and runs the events that waited. */
    void setPaused(boolean newPaused) {
        paused = newPaused;
        if (!newPaused) {
            runPendingEvents();
        }
    }

    /** Runs an event now, or once the events before it have run and the process is not paused. */
    void submit(Runnable event) {
        pendingEvents.add(event);
        if (!draining && !paused) {
            runPendingEvents();
        }
    }

    /** Submits an event {@code delayMicros} µs from now, unless the process has ended by then. */
    void submitAfter(long delayMicros, Runnable event) {
        int scheduledIncarnation = incarnation;
        scheduler.scheduleAfter(
                delayMicros,
                () -> {
                    if (incarnation == scheduledIncarnation) {
                        submit(event);
                    }
                });
    }

    private void runPendingEvents() {
        draining = true;
        while (!pendingEvents.isEmpty() && alive && !paused) {
            pendingEvents.poll().run();
        }
        draining = false;
    }
}
