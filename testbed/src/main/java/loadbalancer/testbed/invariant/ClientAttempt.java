package loadbalancer.testbed.invariant;

import java.util.ArrayList;
import java.util.List;

/**
 * One attempt of a client as the testbed observes it, with the executions at upstreams that it led
 * to. Confined to the thread that plays the run.
 */
public final class ClientAttempt {
    private static final int MAX_TRACE_EVENTS = 64;

    /**
     * An upstream began to work on the attempt.
     *
     * @param server number of the upstream
     */
    public record Execution(int server, int zone, long startedAtMicros) {}

    /** Something that one party of the testbed observed of the attempt. */
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

    /** Creates an attempt whose client gives up {@code timeoutMicros} µs after it is sent. */
    public ClientAttempt(String id, ClientRequest request, long timeoutMicros) {
        this.id = id;
        this.request = request;
        this.timeoutMicros = timeoutMicros;
    }

    /** Unique within the run; sent as the request's id. */
    public String id() {
        return id;
    }

    /** The request that it is an attempt of. */
    public ClientRequest request() {
        return request;
    }

    /** Time in µs from when it is sent until its client gives up. */
    public long timeoutMicros() {
        return timeoutMicros;
    }

    /** The balancer that accepted it; -1: none yet. */
    public int balancer() {
        return balancer;
    }

    /** Time of the run in µs at which it was written to the balancer; -1: not yet. */
    public long acceptedAtMicros() {
        return acceptedAtMicros;
    }

    /** Whether its client has a final response, or waits for none any more. */
    public boolean ended() {
        return ended;
    }

    /** The executions at upstreams, in order of time. */
    public List<Execution> executions() {
        return executions;
    }

    /** What was observed of it, in order of time. */
    public List<TraceEvent> traceEvents() {
        return traceEvents;
    }

    /** Adds an observation; dropped beyond a bound. */
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
