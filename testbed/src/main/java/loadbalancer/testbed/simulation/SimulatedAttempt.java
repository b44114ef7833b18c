package loadbalancer.testbed.simulation;

import loadbalancer.testbed.endpointmodel.Job;

/** One attempt of an exchange at an upstream. Used only by the thread that runs the simulation. */
final class SimulatedAttempt {
    private final SimulatedExchange exchange;
    private final int number;
    private final SimulatedUpstream upstream;
    private final long startedAtMicros;
    // Null until the upstream accepts the attempt.
    private Job job;
    private boolean ended;

    /**
     * Creates an attempt that the upstream has not received yet.
     *
     * @param number number of the attempt in the exchange, from 0
     * @param startedAtMicros time of the run in µs at which the policy requested the attempt
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

    /** Sets the job as which the upstream has accepted the attempt. */
    void setJob(Job acceptedJob) {
        job = acceptedJob;
    }

    /** Cancels the job at the upstream, if the upstream has accepted the attempt. */
    void cancelJob() {
        if (job != null) {
            upstream.cancel(job);
        }
    }

    /** Returns whether the upstream has accepted the attempt. */
    boolean isAccepted() {
        return job != null;
    }

    /** Returns whether the balancer knows the outcome or no longer waits for it. */
    boolean ended() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }
}
