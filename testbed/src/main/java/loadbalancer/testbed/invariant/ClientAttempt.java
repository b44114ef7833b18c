package loadbalancer.testbed.invariant;

import java.util.ArrayList;
import java.util.List;

/**
 * One attempt of a client as the testbed observes it, with its executions at upstreams. Times are
 * in µs since the start of the run. Confined to the thread that executes the run.
 */
public final class ClientAttempt {
    private static final int MAX_TRACE_EVENTS = 64;

    /**
     * The start of work on the attempt at an upstream.
     *
     * @param server number of the upstream
     */
    public record Execution(int server, int zone, long startedAtMicros) {}

    /** An event of the attempt that a client or an upstream of the testbed observed. */
    public record TraceEvent(long timeMicros, String observer, String description) {}

    private final String id;
    private final ClientRequest request;
    private final long timeoutMicros;
    private final List<Execution> executions = new ArrayList<>(1);
    private final List<TraceEvent> traceEvents = new ArrayList<>();
    private int balancer = -1;
    private long acceptedAtMicros = -1;
    private int upstreamAttempts;
    private boolean ended;

    /** Creates an attempt whose client gives up {@code timeoutMicros} µs after sending it. */
    public ClientAttempt(String id, ClientRequest request, long timeoutMicros) {
        this.id = id;
        this.request = request;
        this.timeoutMicros = timeoutMicros;
    }

    /** Returns the id, which is unique within the run and sent as the request's id. */
    public String id() {
        return id;
    }

    /** Returns the request that this attempt belongs to. */
    public ClientRequest request() {
        return request;
    }

    /** Returns the time in µs from sending the attempt until its client gives up. */
    public long timeoutMicros() {
        return timeoutMicros;
    }

    /** Returns the number of the balancer that accepted the attempt, or -1 if none has yet. */
    public int balancer() {
        return balancer;
    }

    /** Returns when the attempt was written to the balancer, or -1 if it has not been yet. */
    public long acceptedAtMicros() {
        return acceptedAtMicros;
    }

    /** Returns whether the client has a final response or no longer waits for one. */
    public boolean ended() {
        return ended;
    }

    /** Returns the executions at upstreams in chronological order. */
    public List<Execution> executions() {
        return executions;
    }

    /** Returns the observed events in chronological order. */
    public List<TraceEvent> traceEvents() {
        return traceEvents;
    }

    /** Adds an observed event unless the attempt has {@value #MAX_TRACE_EVENTS} events already. */
    public void addTraceEvent(long timeMicros, String observer, String description) {
        if (traceEvents.size() < MAX_TRACE_EVENTS) {
            traceEvents.add(new TraceEvent(timeMicros, observer, description));
        }
    }

    void markAccepted(int acceptingBalancer, long timeMicros) {
        balancer = acceptingBalancer;
        acceptedAtMicros = timeMicros;
    }

    int countUpstreamAttempt() {
        return ++upstreamAttempts;
    }

    void markEnded() {
        ended = true;
    }
}
