package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.testbed.invariant.ClientAttempt;

/** A request that a balancer has accepted, and its attempts. Single-threaded. */
final class SimulatedExchange {
    // Before a client's deadline, as in the real program
    private static final long DEADLINE_GUARD_MICROS = 6_000;

    private final ClientAttempt clientAttempt;
    private final long deadlineMicros;
    private final List<SimulatedAttempt> attempts = new ArrayList<>(2);
    private boolean closed;

    /** Creates an exchange whose client waits until {@code deadlineMicros} of the run. */
    SimulatedExchange(ClientAttempt clientAttempt, long deadlineMicros) {
        this.clientAttempt = clientAttempt;
        this.deadlineMicros = deadlineMicros;
    }

    String requestId() {
        return clientAttempt.id();
    }

    /** The attempt of the client that this exchange answers. */
    ClientAttempt clientAttempt() {
        return clientAttempt;
    }

    /** Time in µs until the client's deadline; negative after it. */
    long timeLeftMicros(long nowMicros) {
        return deadlineMicros - nowMicros;
    }

    /** Time in µs until the balancer fails the request in place of its policy. */
    long timeUntilGuardMicros(long nowMicros) {
        return deadlineMicros - DEADLINE_GUARD_MICROS - nowMicros;
    }

    /** Adds the next attempt. */
    SimulatedAttempt newAttempt(SimulatedUpstream upstream, long nowMicros) {
        SimulatedAttempt attempt = new SimulatedAttempt(this, attempts.size(), upstream, nowMicros);
        attempts.add(attempt);
        return attempt;
    }

    List<SimulatedAttempt> attempts() {
        return attempts;
    }

    /** Whether the client has its response or has disconnected. */
    boolean isClosed() {
        return closed;
    }

    void close() {
        closed = true;
    }

    /** Whether it is closed and none of its attempts is waited for. */
    boolean isFinished() {
        return closed && attempts.stream().allMatch(SimulatedAttempt::ended);
    }
}
