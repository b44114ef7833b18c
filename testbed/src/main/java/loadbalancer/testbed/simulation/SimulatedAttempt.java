package loadbalancer.testbed.simulation;

import loadbalancer.testbed.endpointmodel.Job;

/** One attempt of an exchange at an upstream. Single-threaded. */
final class SimulatedAttempt {
    private final SimulatedExchange exchange;
    private final int number;
    private final SimulatedUpstream upstream;
    private final long startedAtMicros;
    // Null until the upstream accepts it
    private Job job;
    private boolean ended;

    /**
     * Creates an attempt that the upstream has not received yet.
     *
     * @param number its number in the exchange, from 0
     * @param startedAtMicros time of the run in µs at which the policy asked for it
     */
    SimulatedAttempt(
            SimulatedExchange exchange,
            int number,
            SimulatedUpstream upstream,
            long startedAtMicros) {
        this.exchange = exchange;
        this.number = number;
        this.upstream = upstream;
        this.startedAtMicros = startedAtMicros;
    }

    SimulatedExchange exchange() {
        return exchange;
    }

    int number() {
        return number;
    }

    SimulatedUpstream upstream() {
        return upstream;
    }

    long startedAtMicros() {
        return startedAtMicros;
    }

    /** The upstream has accepted it as this job. */
    void setJob(Job acceptedJob) {
        job = acceptedJob;
    }

    /** Cancels what the upstream has accepted of it, if anything. */
    void cancelJob() {
        if (job != null) {
            upstream.cancel(job);
        }
    }

    /** Whether the upstream has accepted it. */
    boolean isAccepted() {
        return job != null;
    }

    /** Whether the balancer knows its outcome or no longer waits for it. */
    boolean ended() {
        return ended;
    }

    void end() {
        ended = true;
    }
}
