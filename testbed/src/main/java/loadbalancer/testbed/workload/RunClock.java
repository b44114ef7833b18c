package loadbalancer.testbed.workload;

/**
 * The time of a run and its timers. Implemented by the emulation on its event loop and by the
 * simulation in virtual time, so that logic which both share is written once. All methods are
 * called on the thread that plays the run, and tasks run on it.
 */
public interface RunClock {
    /** Time of the run in µs; its first request arrives after 0. */
    long nowMicros();

    /** Runs a task at a time of the run in µs, or as soon as possible where that has passed. */
    void schedule(long timeMicros, Runnable task);

    /** Runs a task {@code delayMicros} µs from now. */
    default void scheduleAfter(long delayMicros, Runnable task) {
        schedule(nowMicros() + delayMicros, task);
    }
}
