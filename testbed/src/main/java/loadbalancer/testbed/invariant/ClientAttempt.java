package loadbalancer.testbed.invariant;

import java.util.ArrayList;
import java.util.List;

/**
 * One request as the lab's own parties saw it: a client's try, with every attempt at an upstream
 * that came of it. Kept by the loop that plays the world.
 */
public final class ClientAttempt {
    private static final int MAX_TRACE_EVENTS = 64;

    /** An attempt that an upstream has taken, or is said to have. */
    public record Execution(int server, int zone, long startedAtMicros) {}

    /** What one party saw. */
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

    /** {@code timeoutMicros}: µs from when it is sent until its client gives up. */
    public ClientAttempt(String id, ClientRequest request, long timeoutMicros) {
        this.id = id;
        this.request = request;
        this.timeoutMicros = timeoutMicros;
    }

    public String id() {
        return id;
    }

    public ClientRequest request() {
        return request;
    }

    public long timeoutMicros() {
        return timeoutMicros;
    }

    public int balancer() {
        return balancer;
    }

    /** µs of the run at which its last byte was written to a balancer; -1: not yet. */
    public long acceptedAtMicros() {
        return acceptedAtMicros;
    }

    public boolean ended() {
        return ended;
    }

    public List<Execution> executions() {
        return executions;
    }

    /** In order of time. */
    public List<TraceEvent> traceEvents() {
        return traceEvents;
    }

    /** Adds to its story; past a bound nothing is added. */
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
