package loadbalancer.testbed.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import loadbalancer.testbed.scenario.Scenario;

/**
 * Checks the platform's rules on requests during a run. Emulated or simulated clients and upstreams
 * report what they observe. Owns the violations of the run and the record of discovery's
 * notifications to each balancer. Times are in µs since the start of the run. Confined to the
 * thread that executes the run.
 */
public final class RequestInvariants {
    /** Time in µs after its deadline at which a request without a response counts as lost. */
    public static final long LOST_AFTER_MICROS = 500_000;

    private static final long DRAIN_GRACE_MICROS = 2_500_000;
    // Tolerance on every time limit for the delay that sockets add.
    private static final long TIMING_SLACK_MICROS = 50_000;
    private static final int MAX_ATTEMPTS = 4;
    // Fraction of the requests that may end with a closed connection.
    private static final double MAX_CLOSED_FRACTION = 1 / 200.0;
    // Violations beyond this limit are only counted.
    private static final int MAX_RETAINED_VIOLATIONS = 100;

    private final Scenario scenario;
    private final List<Violation> violations = new ArrayList<>();
    // Holds all attempts of the run if tracing, otherwise only the open ones.
    private final Map<String, ClientAttempt> attemptsById = new HashMap<>();
    private final boolean tracing;
    private final EndpointNotifications notifications;
    // The end of each balancer's latest outage; Long.MAX_VALUE during an outage.
    private final long[] unavailableUntilMicros;
    private final BalancerOutages outages;
    private final Consumer<Violation> listener;
    private long violationCount;
    private long acceptedCount;
    private long closedIncompleteCount;

    /** Creates the invariants of a run with tracing; {@code listener} receives each violation. */
    public RequestInvariants(Scenario scenario, Consumer<Violation> listener) {
        this(scenario, listener, true);
    }

    /**
     * Creates the invariants of a run.
     *
     * @param listener receives each violation
     * @param tracing whether to record the observed events of each attempt
     */
    public RequestInvariants(Scenario scenario, Consumer<Violation> listener, boolean tracing) {
        this.scenario = scenario;
        this.listener = listener;
        this.tracing = tracing;
        int balancerCount = scenario.fleet().balancers();
        unavailableUntilMicros = new long[balancerCount];
        outages = new BalancerOutages(balancerCount);
        notifications = new EndpointNotifications(balancerCount);
    }

    /** Records a violation that another invariant found. */
    void record(Violation violation) {
        violationCount++;
        if (violations.size() < MAX_RETAINED_VIOLATIONS) {
            violations.add(violation);
        }
        listener.accept(violation);
    }

    /** Records a violation that concerns no single attempt. */
    public void recordViolation(String rule, long timeMicros, String description) {
        record(Violation.ofRun(rule, timeMicros, description));
    }

    /** Records a violation; {@code requestId} is null if it concerns no single attempt. */
    public void recordViolation(
            String rule, long timeMicros, String requestId, String description) {
        record(new Violation(rule, timeMicros, requestId, description));
    }

    /** Records that a client wrote an attempt to a connection that the balancer accepted. */
    public void attemptAccepted(ClientAttempt clientAttempt, int balancer, long nowMicros) {
        attemptsById.put(clientAttempt.id(), clientAttempt);
        clientAttempt.markAccepted(balancer, nowMicros);
        trace(() -> clientAttempt.addTraceEvent(nowMicros, "client", "sent to n" + balancer));
        acceptedCount++;
    }

    /** Removes an attempt that no upstream can receive any more, unless tracing. */
    public void releaseAttempt(ClientAttempt clientAttempt) {
        if (!tracing) {
            attemptsById.remove(clientAttempt.id());
        }
    }

    private void trace(Runnable addition) {
        if (tracing) {
            addition.run();
        }
    }

    /** Returns the attempt with that id, or null if no client sent it. */
    public ClientAttempt clientAttempt(String requestId) {
        return attemptsById.get(requestId);
    }

    /**
     * Handles that a client received a complete response.
     *
     * @param bodyMatches whether the body is the one that an upstream sent for this attempt;
     *     checked only with status 200
     */
    public void responseReceived(
            ClientAttempt clientAttempt, int status, boolean bodyMatches, long nowMicros) {
        trace(() -> clientAttempt.addTraceEvent(nowMicros, "client", "answered " + status));
        if (clientAttempt.ended()) {
            recordViolation(
                    "one answer",
                    nowMicros,
                    clientAttempt.id(),
                    "a second final response, status " + status);
            return;
        }
        clientAttempt.markEnded();
        if (status == 200 && !bodyMatches) {
            recordViolation(
                    "true answer",
                    nowMicros,
                    clientAttempt.id(),
                    "status 200 with a body that no upstream sent for it");
        }
        boolean rejected = status == 429 || status == 503;
        if (rejected
                && !isRepeatableAtAnyUpstream(clientAttempt)
                && !clientAttempt.executions().isEmpty()) {
            recordViolation(
                    "no double effects",
                    nowMicros,
                    clientAttempt.id(),
                    "rejected after an execution began at s"
                            + clientAttempt.executions().get(0).server());
        }
    }

    private Scenario.RequestClass classOf(ClientAttempt clientAttempt) {
        return scenario.classes().get(clientAttempt.request().arrival().requestClass());
    }

    private boolean isRepeatableAtAnyUpstream(ClientAttempt clientAttempt) {
        Scenario.RequestClass requestClass = classOf(clientAttempt);
        return requestClass.idempotency().equals("safe")
                || (requestClass.idempotency().equals("keyed")
                        && requestClass.idempotencyScope().equals("all"));
    }

    /**
     * Handles that the balancer closed the connection without a complete response.
     *
     * @param responseBegun whether the client had received a part of the response
     */
    public void connectionClosedIncomplete(
            ClientAttempt clientAttempt, boolean responseBegun, long nowMicros) {
        trace(
                () ->
                        clientAttempt.addTraceEvent(
                                nowMicros,
                                "client",
                                responseBegun
                                        ? "connection closed within a response"
                                        : "connection closed without a response"));
        if (clientAttempt.ended()) {
            return;
        }
        clientAttempt.markEnded();
        if (hadOutageSinceAccepted(clientAttempt, nowMicros)) {
            return;
        }
        closedIncompleteCount++;
        if (responseBegun) {
            recordViolation(
                    "one answer",
                    nowMicros,
                    clientAttempt.id(),
                    "the connection was closed within a response");
        }
    }

    /** Handles that the client gave up and closed its connection; no response is required then. */
    public void clientDisconnected(ClientAttempt clientAttempt, long nowMicros) {
        trace(() -> clientAttempt.addTraceEvent(nowMicros, "client", "left"));
        clientAttempt.markEnded();
    }

    /** Handles that no response arrived until {@link #LOST_AFTER_MICROS} after the deadline. */
    public void responseOverdue(ClientAttempt clientAttempt, long nowMicros) {
        if (clientAttempt.ended()) {
            return;
        }
        trace(
                () ->
                        clientAttempt.addTraceEvent(
                                nowMicros, "client", "no response until the time limit"));
        clientAttempt.markEnded();
        if (!hadOutageSinceAccepted(clientAttempt, nowMicros)) {
            recordViolation(
                    "one answer",
                    nowMicros,
                    clientAttempt.id(),
                    "no final response "
                            + (nowMicros
                                            - clientAttempt.acceptedAtMicros()
                                            - clientAttempt.timeoutMicros())
                                    / 1000
                            + " ms after its deadline");
        }
    }

    private boolean hadOutageSinceAccepted(ClientAttempt clientAttempt, long nowMicros) {
        return outages.overlap(
                clientAttempt.balancer(), clientAttempt.acceptedAtMicros(), nowMicros);
    }

    /**
     * Handles that the balancer is killed or paused. Responses that are missing because of an
     * outage are no violation.
     */
    public void outageStarted(int balancer, long nowMicros) {
        outages.start(balancer, nowMicros);
        unavailableUntilMicros[balancer] = Long.MAX_VALUE;
    }

    /** Handles that the balancer runs again. */
    public void outageEnded(int balancer, long nowMicros) {
        unavailableUntilMicros[balancer] = nowMicros;
        outages.end(balancer, nowMicros);
    }

    /** Records that discovery notified the balancer that the upstream is up, or no longer is. */
    public void endpointNotified(int balancer, int server, boolean up, long nowMicros) {
        notifications.record(balancer, server, up, nowMicros);
    }

    /**
     * Returns whether discovery notified the balancer of the upstream's start at that time or
     * later.
     */
    public boolean isStartNotified(int balancer, int server, long startedAtMicros) {
        return notifications.isStartNotified(balancer, server, startedAtMicros);
    }

    /**
     * Handles that an upstream received a complete request.
     *
     * @param firstByteMicros when the upstream received the request's first byte
     * @return the client's attempt, or null if no client sent such a request
     */
    public ClientAttempt upstreamAttemptReceived(
            String requestId, int balancer, int server, long firstByteMicros, long nowMicros) {
        ClientAttempt clientAttempt = attemptsById.get(requestId);
        if (clientAttempt == null) {
            recordViolation(
                    "no double effects",
                    nowMicros,
                    requestId,
                    "s" + server + " received a request that no client sent");
            return null;
        }
        trace(
                () ->
                        clientAttempt.addTraceEvent(
                                nowMicros, "s" + server, "attempt from n" + balancer));
        if (clientAttempt.countUpstreamAttempt() > MAX_ATTEMPTS) {
            recordViolation(
                    "no double effects",
                    nowMicros,
                    requestId,
                    "more than " + MAX_ATTEMPTS + " upstream attempts");
        }
        checkDrain(requestId, balancer, server, firstByteMicros, nowMicros);
        return clientAttempt;
    }

    private void checkDrain(
            String requestId, int balancer, int server, long firstByteMicros, long nowMicros) {
        OptionalLong notification = notifications.drainNotifiedMicros(balancer, server);
        if (notification.isEmpty() || unavailableUntilMicros[balancer] == Long.MAX_VALUE) {
            return;
        }
        long notifiedMicros = notification.getAsLong();
        long graceStartMicros = Math.max(notifiedMicros, unavailableUntilMicros[balancer]);
        if (firstByteMicros - graceStartMicros > DRAIN_GRACE_MICROS + TIMING_SLACK_MICROS) {
            recordViolation(
                    "drain",
                    nowMicros,
                    requestId,
                    "n"
                            + balancer
                            + " sent a request to s"
                            + server
                            + " "
                            + (firstByteMicros - notifiedMicros) / 1000
                            + " ms after the notification that it is draining or removed");
        }
    }

    /**
     * Handles that an upstream begins to execute the attempt, which may have an effect from then
     * on.
     */
    public void executionStarted(
            ClientAttempt clientAttempt, int server, int zone, long nowMicros) {
        if (!clientAttempt.executions().isEmpty()) {
            checkRepeatedExecution(clientAttempt, server, zone, nowMicros);
        }
        clientAttempt.executions().add(new ClientAttempt.Execution(server, zone, nowMicros));
        trace(() -> clientAttempt.addTraceEvent(nowMicros, "s" + server, "begins"));
    }

    private void checkRepeatedExecution(
            ClientAttempt clientAttempt, int server, int zone, long nowMicros) {
        ClientAttempt.Execution firstExecution = clientAttempt.executions().get(0);
        long elapsedMicros = nowMicros - firstExecution.startedAtMicros();
        Scenario.RequestClass requestClass = classOf(clientAttempt);
        if (!mayExecuteAgain(requestClass, elapsedMicros, firstExecution.zone() == zone)) {
            recordViolation(
                    "no double effects",
                    nowMicros,
                    clientAttempt.id(),
                    "executed at s"
                            + firstExecution.server()
                            + ", then at s"
                            + server
                            + " "
                            + elapsedMicros / 1000
                            + " ms later, class "
                            + requestClass.name());
        }
    }

    private static boolean mayExecuteAgain(
            Scenario.RequestClass requestClass, long elapsedMicros, boolean sameZone) {
        double windowMicros = requestClass.idempotencyWindowMs() * 1e3 + TIMING_SLACK_MICROS;
        return switch (requestClass.idempotency()) {
            case "safe" -> true;
            case "keyed" ->
                    elapsedMicros <= windowMicros
                            && (requestClass.idempotencyScope().equals("all") || sameZone);
            default -> false;
        };
    }

    /** Handles the end of the run: checks the rules that concern all its requests together. */
    public void runEnded(long nowMicros) {
        if (acceptedCount > 0
                && closedIncompleteCount > Math.max(2, MAX_CLOSED_FRACTION * acceptedCount)) {
            recordViolation(
                    "one answer",
                    nowMicros,
                    closedIncompleteCount
                            + " of "
                            + acceptedCount
                            + " requests ended with a connection closed without a response");
        }
    }

    /** Returns the first {@value #MAX_RETAINED_VIOLATIONS} violations in chronological order. */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of all violations. */
    public long violationCount() {
        return violationCount;
    }

    /** Returns the number of attempts that balancers accepted. */
    public long acceptedCount() {
        return acceptedCount;
    }
}
