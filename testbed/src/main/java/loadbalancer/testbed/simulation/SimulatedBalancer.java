package loadbalancer.testbed.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.testbed.endpointmodel.Job;
import loadbalancer.testbed.invariant.ClientAttempt;

/**
 * One balancer in virtual time: its routing policy and, in place of sockets, the outcomes at the
 * times at which sockets would bring them. Connections are modelled as far as outcomes depend on
 * them: a new one costs a round trip, and only an established one can become silent after a request
 * is written. Single-threaded; events of the policy are not re-entrant.
 */
final class SimulatedBalancer implements RoutingActions {
    // Before a client's deadline, as in the real program
    private static final long DEADLINE_GUARD_MICROS = 6_000;
    private static final int MAX_ATTEMPTS = 4;
    // The policy's clock at time 0 of the run
    private static final long POLICY_CLOCK_EPOCH_MICROS = 1_000_000_000;

    private final int number;
    private final FleetSimulation simulation;
    private final VirtualTimeScheduler scheduler;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final Map<SimulatedUpstream, Integer> idleConnections = new HashMap<>();
    private final Deque<Runnable> pendingEvents = new ArrayDeque<>();
    private RoutingPolicy policy;
    private boolean alive;
    private boolean paused;
    private boolean drainingEvents;
    private int incarnation;
    private long datagramsSent;
    private long bytesSent;
    private long connectionsOpened;

    /** A request that it has accepted. */
    private static final class Exchange {
        private final ClientAttempt call;
        private final long deadlineMicros;
        private final List<Attempt> attempts = new ArrayList<>(2);
        private boolean closed;

        Exchange(ClientAttempt clientAttempt, long deadlineMicros) {
            this.call = clientAttempt;
            this.deadlineMicros = deadlineMicros;
        }
    }

    private static final class Attempt {
        private final Exchange exchange;
        private final int number;
        private final SimulatedUpstream upstream;
        private final long startedAtMicros;
        private Job job;
        private boolean ended;

        Attempt(Exchange exchange, int number, SimulatedUpstream upstream, long startedAtMicros) {
            this.exchange = exchange;
            this.number = number;
            this.upstream = upstream;
            this.startedAtMicros = startedAtMicros;
        }
    }

    SimulatedBalancer(int number, FleetSimulation simulation) {
        this.number = number;
        this.simulation = simulation;
        this.scheduler = simulation.scheduler();
    }

    boolean alive() {
        return alive;
    }

    int number() {
        return number;
    }

    long datagramsSent() {
        return datagramsSent;
    }

    long bytesSent() {
        return bytesSent;
    }

    long connectionsOpened() {
        return connectionsOpened;
    }

    private long policyNowMicros() {
        return scheduler.nowMicros() + POLICY_CLOCK_EPOCH_MICROS;
    }

    // ------------------------------------------------------------ process

    void start(RoutingPolicy newPolicy, List<Endpoint> cachedEndpoints) {
        policy = newPolicy;
        alive = true;
        paused = false;
        incarnation++;
        submitEvent(
                () ->
                        policy.onEndpointList(
                                policyNowMicros(), EndpointListKind.CACHED, cachedEndpoints, this));
    }

    /** Its process is killed: clients that wait for a response see the connection close. */
    void kill() {
        alive = false;
        incarnation++;
        pendingEvents.clear();
        List<Exchange> openExchanges =
                exchanges.values().stream()
                        .filter(exchange -> !exchange.closed)
                        .sorted(Comparator.comparing(exchange -> exchange.call.id()))
                        .toList();
        exchanges.values().forEach(exchange -> exchange.attempts.forEach(this::abandon));
        exchanges.values().forEach(exchange -> simulation.invariants().forget(exchange.call));
        exchanges.clear();
        idleConnections.clear();
        openExchanges.forEach(exchange -> simulation.clients().onConnectionClosed(exchange.call));
    }

    private void abandon(Attempt attempt) {
        if (!attempt.ended && attempt.job != null) {
            attempt.upstream.cancel(attempt.job);
        }
        attempt.ended = true;
    }

    void pause(boolean newPaused) {
        paused = newPaused;
        if (!newPaused) {
            drainEvents();
        }
    }

    // ------------------------------------------------------------ events of the policy

    /** Runs an event later, unless the process has ended by then. */
    private void scheduleEvent(long delayMicros, Runnable event) {
        int scheduledIncarnation = incarnation;
        scheduler.scheduleAfter(
                delayMicros,
                () -> {
                    if (incarnation == scheduledIncarnation) {
                        submitEvent(event);
                    }
                });
    }

    // Not re-entrant; events of a paused process wait until it resumes.
    private void submitEvent(Runnable event) {
        pendingEvents.add(event);
        if (!drainingEvents && !paused) {
            drainEvents();
        }
    }

    private void drainEvents() {
        drainingEvents = true;
        while (!pendingEvents.isEmpty() && alive && !paused) {
            pendingEvents.poll().run();
        }
        drainingEvents = false;
    }

    void onEndpointList(EndpointListKind kind, List<Endpoint> endpoints) {
        submitEvent(() -> policy.onEndpointList(policyNowMicros(), kind, endpoints, this));
    }

    void onPeerMessage(int sender, byte[] payload) {
        submitEvent(() -> policy.onPeerMessage(policyNowMicros(), sender, payload, this));
    }

    void accept(ClientAttempt clientAttempt) {
        long deadlineMicros = scheduler.nowMicros() + clientAttempt.timeoutMicros();
        submitEvent(
                () -> {
                    Exchange exchange = new Exchange(clientAttempt, deadlineMicros);
                    exchanges.put(clientAttempt.id(), exchange);
                    policy.onRequest(
                            policyNowMicros(),
                            clientAttempt.id(),
                            clientAttempt.request().arrival().requestClass(),
                            clientAttempt.request().arrival().tenant(),
                            null,
                            Math.max(0, deadlineMicros - scheduler.nowMicros()),
                            -1,
                            false,
                            this);
                    scheduleEvent(
                            Math.max(
                                    0,
                                    deadlineMicros - DEADLINE_GUARD_MICROS - scheduler.nowMicros()),
                            () -> failAtDeadline(exchange));
                });
    }

    private void failAtDeadline(Exchange exchange) {
        if (!exchange.closed) {
            fail(exchange.call.id());
            policy.onClientDisconnected(policyNowMicros(), exchange.call.id(), this);
        }
    }

    /** The client of an attempt has disconnected. */
    void onClientDisconnected(ClientAttempt clientAttempt) {
        submitEvent(
                () -> {
                    Exchange exchange = exchanges.get(clientAttempt.id());
                    if (exchange != null && !exchange.closed) {
                        exchange.closed = true;
                        policy.onClientDisconnected(policyNowMicros(), clientAttempt.id(), this);
                        removeIfFinished(exchange);
                    }
                });
    }

    private void endAttempt(Attempt attempt, AttemptOutcome outcome) {
        Exchange exchange = attempt.exchange;
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        if (outcome == AttemptOutcome.OK
                || outcome == AttemptOutcome.ERROR
                || outcome == AttemptOutcome.REJECTED) {
            idleConnections.merge(attempt.upstream, 1, Integer::sum);
        } else if (attempt.job != null) {
            long returnDelayMicros =
                    simulation.forwardDelayMicros(number, attempt.upstream, scheduler.nowMicros());
            scheduler.scheduleAfter(returnDelayMicros, () -> attempt.upstream.cancel(attempt.job));
        }
        if (outcome == AttemptOutcome.OK && !exchange.closed) {
            exchange.closed = true;
            simulation.clients().onResponse(exchange.call, 200, 0);
        }
        policy.onAttemptEnded(
                policyNowMicros(),
                exchange.call.id(),
                attempt.number,
                outcome,
                scheduler.nowMicros() - attempt.startedAtMicros,
                exchange.closed,
                null,
                this);
        removeIfFinished(exchange);
    }

    private void removeIfFinished(Exchange exchange) {
        if (exchange.closed && exchange.attempts.stream().allMatch(attempt -> attempt.ended)) {
            exchanges.remove(exchange.call.id());
            simulation.invariants().forget(exchange.call);
        }
    }

    // ------------------------------------------------------------ actions of the policy

    @Override
    public void send(String request, String server, long timeout) {
        Exchange exchange = exchanges.get(request);
        if (exchange == null) {
            return;
        }
        SimulatedUpstream upstream = simulation.upstream(server);
        Attempt attempt =
                new Attempt(exchange, exchange.attempts.size(), upstream, scheduler.nowMicros());
        exchange.attempts.add(attempt);
        long timeLeftMicros =
                exchange.deadlineMicros - DEADLINE_GUARD_MICROS - scheduler.nowMicros();
        if (exchange.closed || timeLeftMicros <= 0 || exchange.attempts.size() > MAX_ATTEMPTS) {
            scheduleEvent(0, () -> endAttempt(attempt, AttemptOutcome.NOT_SENT));
            return;
        }
        scheduleEvent(
                timeout > 0 ? Math.min(timeout, timeLeftMicros) : timeLeftMicros,
                () -> endAttempt(attempt, AttemptOutcome.TIMEOUT));
        boolean newConnection = idleConnections.getOrDefault(upstream, 0) == 0;
        long forwardDelayMicros =
                simulation.forwardDelayMicros(number, upstream, scheduler.nowMicros());
        if (!newConnection) {
            idleConnections.merge(upstream, -1, Integer::sum);
        } else {
            connectionsOpened++;
            if (simulation.isSilent(number, upstream)) {
                scheduleEvent(
                        simulation.connectTimeoutMicros(),
                        () -> endAttempt(attempt, AttemptOutcome.CONNECT_FAILED));
                return;
            }
            if (!upstream.alive() || simulation.refusesConnections(number, upstream)) {
                scheduleEvent(
                        2 * forwardDelayMicros,
                        () -> endAttempt(attempt, AttemptOutcome.CONNECT_FAILED));
                return;
            }
            // A round trip for the connection
            forwardDelayMicros *= 3;
        }
        int sendingIncarnation = incarnation;
        long startedAtMicros = scheduler.nowMicros();
        scheduler.scheduleAfter(
                forwardDelayMicros,
                () -> {
                    if (incarnation == sendingIncarnation || !attempt.ended) {
                        arriveAtUpstream(attempt, newConnection, startedAtMicros);
                    }
                });
    }

    private void arriveAtUpstream(Attempt attempt, boolean newConnection, long startedAtMicros) {
        SimulatedUpstream upstream = attempt.upstream;
        if (attempt.ended || simulation.isSilent(number, upstream)) {
            // The timeout ends it
            return;
        }
        long returnDelayMicros =
                simulation.forwardDelayMicros(number, upstream, scheduler.nowMicros());
        if (!upstream.alive()) {
            scheduleEvent(returnDelayMicros, () -> endAttempt(attempt, AttemptOutcome.RESET));
            return;
        }
        ClientAttempt clientAttempt =
                simulation
                        .invariants()
                        .upstreamAttemptReceived(
                                attempt.exchange.call.id(),
                                number,
                                upstream.spec().number(),
                                startedAtMicros,
                                scheduler.nowMicros());
        int requestClass = clientAttempt.request().arrival().requestClass();
        long workMicros =
                clientAttempt.request().arrival().workMicros()
                        + (newConnection ? simulation.handshakeWorkMicros() : 0);
        simulation.checkSlowStartBudget(number, upstream, workMicros);
        int upstreamIncarnation = upstream.incarnation();
        attempt.job =
                upstream.alive()
                        ? upstream.tryAccept(
                                requestClass,
                                workMicros,
                                () ->
                                        scheduleResponse(
                                                attempt,
                                                upstream.failsClass(requestClass)
                                                        ? AttemptOutcome.ERROR
                                                        : AttemptOutcome.OK))
                        : null;
        if (attempt.job == null) {
            scheduleResponse(attempt, AttemptOutcome.REJECTED);
            return;
        }
        simulation
                .invariants()
                .executionStarted(
                        clientAttempt,
                        upstream.spec().number(),
                        upstream.spec().zone(),
                        scheduler.nowMicros());
        simulation.onCrash(
                upstream,
                upstreamIncarnation,
                () ->
                        scheduleEvent(
                                simulation.forwardDelayMicros(
                                        number, upstream, scheduler.nowMicros()),
                                () -> endAttempt(attempt, AttemptOutcome.RESET)),
                () -> attempt.ended);
    }

    private void scheduleResponse(Attempt attempt, AttemptOutcome outcome) {
        if (!simulation.isSilent(number, attempt.upstream)) {
            scheduleEvent(
                    simulation.reverseDelayMicros(number, attempt.upstream, scheduler.nowMicros()),
                    () -> endAttempt(attempt, outcome));
        }
    }

    @Override
    public void reject(String request, long retryAfter) {
        respondToClient(request, 503, retryAfter);
    }

    @Override
    public void fail(String request) {
        respondToClient(request, 500, 0);
    }

    private void respondToClient(String request, int status, long retryAfter) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && !exchange.closed) {
            exchange.closed = true;
            simulation.clients().onResponse(exchange.call, status, retryAfter);
            removeIfFinished(exchange);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && attempt < exchange.attempts.size()) {
            scheduleEvent(
                    0, () -> endAttempt(exchange.attempts.get(attempt), AttemptOutcome.CANCELLED));
        }
    }

    @Override
    public void checkHealth(String server) {
        SimulatedUpstream upstream = simulation.upstream(server);
        boolean reachable = upstream.alive() && !simulation.isSilent(number, upstream);
        long latencyMicros =
                reachable
                        ? 2 * simulation.forwardDelayMicros(number, upstream, scheduler.nowMicros())
                        : simulation.connectTimeoutMicros();
        scheduleEvent(
                latencyMicros,
                () ->
                        policy.onHealthCheckResult(
                                policyNowMicros(),
                                server,
                                reachable ? AttemptOutcome.OK : AttemptOutcome.CONNECT_FAILED,
                                latencyMicros,
                                null,
                                this));
    }

    @Override
    public void watchEndpoints(boolean on) {
        // Discovery pushes changes in the simulation.
    }

    @Override
    public void fetchEndpointList() {
        scheduleEvent(
                0,
                () ->
                        policy.onEndpointList(
                                policyNowMicros(),
                                EndpointListKind.COMPLETE,
                                simulation.endpointList(number),
                                this));
    }

    @Override
    public void closeIdleConnections(String server) {
        idleConnections.remove(simulation.upstream(server));
    }

    @Override
    public void sendToPeer(int peer, byte[] payload) {
        datagramsSent++;
        bytesSent += payload.length;
        simulation.sendDatagram(number, peer, payload);
    }

    @Override
    public void scheduleTimer(long delay) {
        scheduleEvent(Math.max(1, delay), () -> policy.onTimer(policyNowMicros(), this));
    }

    @Override
    public void log(String line) {
        simulation.log(number, line);
    }

    /** The policy's clock at a time of the run, in µs. */
    static long policyTimeMicros(long runMicros) {
        return runMicros + POLICY_CLOCK_EPOCH_MICROS;
    }
}
