package loadbalancer.testbed.invariant;

import loadbalancer.testbed.workload.WorkloadPlan;

/** What a client wants: one first try, and the tries that may follow it. It ends once. */
public final class ClientRequest {
    /** How it ended for the client. */
    public enum Outcome {
        SERVED,
        REJECTED,
        FAILED
    }

    private final WorkloadPlan.Arrival arrival;
    private int attempts;
    private Outcome outcome;
    private long latencyMicros;

    public ClientRequest(WorkloadPlan.Arrival arrival) {
        this.arrival = arrival;
    }

    public WorkloadPlan.Arrival arrival() {
        return arrival;
    }

    /** Counts a try, and returns how many there were before it. */
    public int countAttempt() {
        return attempts++;
    }

    public int attempts() {
        return attempts;
    }

    /** Null while it is open. */
    public Outcome outcome() {
        return outcome;
    }

    /** µs from the first try to the end. */
    public long latencyMicros() {
        return latencyMicros;
    }

    /** Ends it at that time of the run; a second end is passed over. */
    public void outcome(Outcome finalOutcome, long nowMicros) {
        if (outcome == null) {
            outcome = finalOutcome;
            latencyMicros = nowMicros - arrival.atMicros();
        }
    }
}
