package loadbalancer.testbed.invariant;

import java.util.Map;

/**
 * Something that must hold over the time of a run, beyond the rules on single requests: parts of
 * the balancer bring their own. Hears what processes go through and what balancers log, on the
 * world's loop, in the order in which the lab saw it; times are µs of the run.
 */
public interface RunInvariant {
    /**
     * The balancer's process ended or was ended; {@code graceful}: it was asked to, and could say
     * so.
     */
    default void onProcessStopped(int balancer, long timeMicros, boolean graceful) {}

    /** Its process was started again. */
    default void onProcessStarted(int balancer, long timeMicros) {}

    /** It stands still, or goes on. */
    default void onPauseChanged(int balancer, long timeMicros, boolean paused) {}

    /** A line of its log, without the lab's time. */
    void onLogLine(int balancer, long timeMicros, String line);

    /** The run is over: says what did not hold, and adds what it measured. */
    void onRunEnd(
            long timeMicros, RequestInvariants requestInvariants, Map<String, Double> metrics);
}
