package loadbalancer.testbed.invariant;

import java.util.Map;

/**
 * An invariant over the time of a run, in contrast to those on single requests. It is notified of
 * process events and of the balancers' log lines on the emulation's event loop, in the order in
 * which the testbed observed them. Times are in µs since the start of the run.
 */
public interface RunInvariant {
    /**
     * Handles that the balancer's process is about to end.
     *
     * @param graceful whether the process gets SIGTERM and can leave the fleet before it ends
     */
    default void onProcessStopped(int balancer, long timeMicros, boolean graceful) {}

    /** Handles that the balancer's process is started again. */
    default void onProcessStarted(int balancer, long timeMicros) {}

    /** Handles that the balancer's process is paused or resumed. */
    default void onPauseChanged(int balancer, long timeMicros, boolean paused) {}

    /** Handles a line that the balancer logged, without the testbed's timestamp. */
    void onLogLine(int balancer, long timeMicros, String line);

    /**
     * Handles the end of the run: reports violations and measurements.
     *
     * @param requestInvariants receives the violations
     * @param metrics receives the measurements
     */
    void onRunEnd(
            long timeMicros, RequestInvariants requestInvariants, Map<String, Double> metrics);
}
