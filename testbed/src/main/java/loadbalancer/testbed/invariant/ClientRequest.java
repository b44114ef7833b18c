package loadbalancer.testbed.invariant;

import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * A client's request with all its attempts. Its outcome is set once. Confined to the thread that
 * executes the run.
 */
public final class ClientRequest {
    /** The outcome of a request for its client. */
    public enum Outcome {
        SERVED,
        REJECTED,
        FAILED
    }

    private final WorkloadPlan.Arrival arrival;
    private int attempts;
    private Outcome outcome;
    private long latencyMicros;

    /** Creates an open request without attempts. */
    public ClientRequest(WorkloadPlan.Arrival arrival) {
        this.arrival = arrival;
    }

    /** Returns the arrival in the workload plan that is the first attempt. */
    public WorkloadPlan.Arrival arrival() {
        return arrival;
    }

    /** Counts an attempt and returns the number of earlier attempts. */
    public int countAttempt() {
        return attempts++;
    }

    /** Returns the number of attempts so far. */
    public int attempts() {
        return attempts;
    }

    /** Returns the outcome, or null while the request is open. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the time in µs from the first attempt to the end of the request. */
    public long latencyMicros() {
        return latencyMicros;
    }

    /**
     * Ends the request; has no effect if it has ended already.
     *
     * @param nowMicros time in µs since the start of the run
     */
    public void end(Outcome finalOutcome, long nowMicros) {
        if (outcome == null) {
            outcome = finalOutcome;
            latencyMicros = nowMicros - arrival.atMicros();
        }
    }
}
