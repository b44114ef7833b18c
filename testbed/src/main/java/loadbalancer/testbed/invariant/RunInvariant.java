package loadbalancer.testbed.invariant;

import java.util.Map;

/**
 * An invariant over the time of a run, beyond those on single requests. It is notified of process
 * events and of the balancers' log lines on the emulation's event loop, in the order in which the
 * testbed observed them. Times are µs of the run.
 */
public interface RunInvariant {
    /**
     * The balancer's process is about to end.
     *
     * @param graceful whether it gets SIGTERM and can leave the fleet in order
     */
    default void onProcessStopped(int balancer, long timeMicros, boolean graceful) {}

    /** The balancer's process is started again. */
    default void onProcessStarted(int balancer, long timeMicros) {}

    /** The balancer's process is stopped, or resumed. */
    default void onPauseChanged(int balancer, long timeMicros, boolean paused) {}

    /** The balancer logged a line; {@code line} is without the testbed's timestamp. */
    void onLogLine(int balancer, long timeMicros, String line);

    /**
     * The run is over.
     *
     * @param requestInvariants to record violations with
     * @param metrics to add measurements to
     */
    void onRunEnd(
            long timeMicros, RequestInvariants requestInvariants, Map<String, Double> metrics);
}
