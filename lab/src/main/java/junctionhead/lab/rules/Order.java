package junctionhead.lab.rules;

import junctionhead.lab.plan.Plan;

/** What a client wants: one first try, and the tries that may follow it. It ends once. */
public final class Order {
    /** How it ended for the client. */
    public enum End {
        SERVED,
        REFUSED,
        FAILED
    }

    private final Plan.Arrival arrival;
    private int tries;
    private End end;
    private long latency;

    public Order(Plan.Arrival arrival) {
        this.arrival = arrival;
    }

    public Plan.Arrival arrival() {
        return arrival;
    }

    /** Counts a try, and returns how many there were before it. */
    public int another() {
        return tries++;
    }

    public int tries() {
        return tries;
    }

    /** Null while it is open. */
    public End end() {
        return end;
    }

    /** µs from the first try to the end. */
    public long latency() {
        return latency;
    }

    /** Ends it at that time of the run; a second end is passed over. */
    public void end(End how, long now) {
        if (end == null) {
            end = how;
            latency = now - arrival.at();
        }
    }
}
