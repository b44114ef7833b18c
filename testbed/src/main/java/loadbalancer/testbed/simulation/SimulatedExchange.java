package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.testbed.invariant.ClientAttempt;

/**
 * A request that a balancer has accepted, with its attempts. Used only by the thread that runs the
 * simulation.
 */
final class SimulatedExchange {
    // The balancer fails an open request this long before the client's deadline, like the
    // production balancer.
    private static final long FALLBACK_RESPONSE_MARGIN_MICROS = 6_000;

    private final ClientAttempt clientAttempt;
    private final long deadlineMicros;
    private final List<SimulatedAttempt> attempts = new ArrayList<>(2);
    private boolean closed;

    /**
     * Creates an exchange whose client waits until {@code deadlineMicros}, time of the run in µs.
     */
    SimulatedExchange(ClientAttempt clientAttempt, long deadlineMicros) {
        this.clientAttempt = clientAttempt;
        this.deadlineMicros = deadlineMicros;
    }

    String requestId() {
        return clientAttempt.id();
    }

    /** Returns the client's attempt that this exchange answers. */
    ClientAttempt clientAttempt() {
        return clientAttempt;
    }

    /** Returns the time in µs until the client's deadline; negative after it. */
    long timeLeftMicros(long nowMicros) {
        return deadlineMicros - nowMicros;
    }

    /**
     * Returns the time in µs until the balancer fails the request if its policy has not ended it.
     */
    long timeUntilMarginMicros(long nowMicros) {
        return deadlineMicros - FALLBACK_RESPONSE_MARGIN_MICROS - nowMicros;
    }

    /** Adds the next attempt and returns it. */
    SimulatedAttempt newAttempt(SimulatedUpstream upstream, long nowMicros) {
        SimulatedAttempt attempt = new SimulatedAttempt(this, attempts.size(), upstream, nowMicros);
        attempts.add(attempt);
        return attempt;
    }

    List<SimulatedAttempt> attempts() {
        return attempts;
    }

    /** Returns whether the client has its response or has disconnected. */
    boolean isClosed() {
        return closed;
    }

    void markClosed() {
        closed = true;
    }

    /** Returns whether the exchange is closed and all its attempts have ended. */
    boolean isFinished() {
        return closed && attempts.stream().allMatch(SimulatedAttempt::ended);
    }
}
