package loadbalancer.testbed.workload;

/**
 * The clock and timers of a run. The emulation implements it on its event loop and the simulation
 * in virtual time, so that both share the code that depends on time. All methods are called on the
 * thread of the run, and tasks run on that thread.
 */
public interface RunClock {
    /** Returns the time of the run in µs; the first request arrives after time 0. */
    long nowMicros();

    /** Runs a task at a time of the run in µs, or as soon as possible if that time has passed. */
    void schedule(long timeMicros, Runnable task);

    /** Runs a task {@code delayMicros} µs from now. */
    default void scheduleAfter(long delayMicros, Runnable task) {
        schedule(nowMicros() + delayMicros, task);
    }
}
