package loadbalancer.testbed.invariant;

import loadbalancer.testbed.workload.WorkloadPlan;

/** A client's request over all its attempts. It ends once. Confined to the thread of the run. */
public final class ClientRequest {
    /** How a request ended for its client. */
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

    /** Its first attempt as the plan has it. */
    public WorkloadPlan.Arrival arrival() {
        return arrival;
    }

    /** Counts an attempt and returns the number of attempts before it. */
    public int countAttempt() {
        return attempts++;
    }

    /** The number of attempts so far. */
    public int attempts() {
        return attempts;
    }

    /** How it ended; null while it is open. */
    public Outcome outcome() {
        return outcome;
    }

    /** Time in µs from the first attempt to the end. */
    public long latencyMicros() {
        return latencyMicros;
    }

    /** Ends it at a time of the run in µs; no effect if it has ended. */
    public void outcome(Outcome finalOutcome, long nowMicros) {
        if (outcome == null) {
            outcome = finalOutcome;
            latencyMicros = nowMicros - arrival.atMicros();
        }
    }
}
