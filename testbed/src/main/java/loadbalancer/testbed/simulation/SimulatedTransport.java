package loadbalancer.testbed.simulation;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.testbed.endpointmodel.Job;
import loadbalancer.testbed.invariant.ClientAttempt;
import loadbalancer.testbed.invariant.RequestInvariants;

/**
 * Simulates the connections of one balancer to the upstreams and reports the outcomes of attempts
 * at the times at which sockets would. Connections are modelled only as far as outcomes depend on
 * them: a new connection costs a round trip, and only an established connection can become silent
 * after a request is written. Used only by the thread that runs the simulation.
 */
final class SimulatedTransport {
    // A round trip to open the connection, then the request.
    private static final int ONE_WAY_TRIPS_ON_NEW_CONNECTION = 3;
    private static final int ONE_WAY_TRIPS_UNTIL_REFUSED = 2;

    private final int balancer;
    private final VirtualTimeScheduler scheduler;
    private final PolicyEventLoop eventLoop;
    private final SimulatedUpstreams upstreams;
    private final RequestInvariants invariants;
    private final AttemptListener listener;
    private final Map<SimulatedUpstream, Integer> idleConnections = new HashMap<>();
    private long connectionsOpened;

    /** Listens to the outcomes of attempts, in events of the balancer's event loop. */
    interface AttemptListener {
        /** Handles an outcome. Only the first of several outcomes of an attempt counts. */
        void onAttemptEnded(SimulatedAttempt attempt, AttemptOutcome outcome);
    }

    /** The outcome of a health check and the time in µs after which it is known. */
    record HealthCheckResult(AttemptOutcome outcome, long latencyMicros) {}

    /** Creates the transport of a balancer, without connections. */
    SimulatedTransport(
            int balancer,
            SimulationContext context,
            PolicyEventLoop eventLoop,
            AttemptListener listener) {
        this.balancer = balancer;
        this.scheduler = context.scheduler();
        this.upstreams = context.upstreams();
        this.invariants = context.invariants();
        this.eventLoop = eventLoop;
        this.listener = listener;
    }

    /** Returns the number of connections that the balancer has tried to open. */
    long connectionsOpened() {
        return connectionsOpened;
    }

    /** Closes all connections. */
    void closeAll() {
        idleConnections.clear();
    }

    /** Closes the idle connections to one upstream. */
    void closeIdleConnections(SimulatedUpstream upstream) {
        idleConnections.remove(upstream);
    }

    /** Returns the connection of an attempt to the idle connections. */
    void release(SimulatedAttempt attempt) {
        idleConnections.merge(attempt.upstream(), 1, Integer::sum);
    }

    /** Closes the connection of an attempt. The upstream notices after the network delay. */
    void abort(SimulatedAttempt attempt) {
        if (attempt.isAccepted()) {
            scheduler.scheduleAfter(forwardDelayMicros(attempt.upstream()), attempt::cancelJob);
        }
    }

    /** Sends an attempt on an idle or a new connection. The caller schedules the timeout. */
    void send(SimulatedAttempt attempt) {
        SimulatedUpstream upstream = attempt.upstream();
        boolean newConnection = idleConnections.getOrDefault(upstream, 0) == 0;
        long delayMicros = forwardDelayMicros(upstream);
        if (!newConnection) {
            idleConnections.merge(upstream, -1, Integer::sum);
            scheduleArrival(attempt, false, delayMicros);
            return;
        }
        connectionsOpened++;
        if (upstreams.isSilent(balancer, upstream)) {
            endAfter(
                    SimulatedUpstreams.CONNECT_TIMEOUT_MICROS,
                    attempt,
                    AttemptOutcome.CONNECT_FAILED);
        } else if (!upstream.alive() || upstreams.refusesConnections(balancer, upstream)) {
            endAfter(
                    ONE_WAY_TRIPS_UNTIL_REFUSED * delayMicros,
                    attempt,
                    AttemptOutcome.CONNECT_FAILED);
        } else {
            scheduleArrival(attempt, true, ONE_WAY_TRIPS_ON_NEW_CONNECTION * delayMicros);
        }
    }

    /** Returns the result of a health check that is sent now. */
    HealthCheckResult checkHealth(SimulatedUpstream upstream) {
        if (!upstream.alive() || upstreams.isSilent(balancer, upstream)) {
            return new HealthCheckResult(
                    AttemptOutcome.CONNECT_FAILED, SimulatedUpstreams.CONNECT_TIMEOUT_MICROS);
        }
        return new HealthCheckResult(AttemptOutcome.OK, 2 * forwardDelayMicros(upstream));
    }

    private long forwardDelayMicros(SimulatedUpstream upstream) {
        return upstreams.forwardDelayMicros(balancer, upstream);
    }

    private void endAfter(long delayMicros, SimulatedAttempt attempt, AttemptOutcome outcome) {
        eventLoop.submitAfter(delayMicros, () -> listener.onAttemptEnded(attempt, outcome));
    }

    private void scheduleArrival(
            SimulatedAttempt attempt, boolean newConnection, long delayMicros) {
        scheduler.scheduleAfter(delayMicros, () -> arriveAtUpstream(attempt, newConnection));
    }

    private void arriveAtUpstream(SimulatedAttempt attempt, boolean newConnection) {
        SimulatedUpstream upstream = attempt.upstream();
        if (attempt.ended() || upstreams.isSilent(balancer, upstream)) {
            // The timeout ends the attempt.
            return;
        }
        long resetDelayMicros = forwardDelayMicros(upstream);
        if (!upstream.alive()) {
            endAfter(resetDelayMicros, attempt, AttemptOutcome.RESET);
            return;
        }
        ClientAttempt clientAttempt =
                invariants.upstreamAttemptReceived(
                        attempt.exchange().requestId(),
                        balancer,
                        upstream.spec().number(),
                        attempt.startedAtMicros(),
                        scheduler.nowMicros());
        long workMicros =
                clientAttempt.request().arrival().workMicros()
                        + (newConnection ? upstreams.handshakeWorkMicros() : 0);
        upstreams.applySlowStartRule(balancer, upstream, workMicros);
        execute(attempt, clientAttempt, workMicros);
    }

    private void execute(SimulatedAttempt attempt, ClientAttempt clientAttempt, long workMicros) {
        SimulatedUpstream upstream = attempt.upstream();
        int requestClass = clientAttempt.request().arrival().requestClass();
        Job job = upstream.newJob(requestClass, workMicros);
        if (!upstream.tryAccept(job, () -> respond(attempt, requestClass))) {
            scheduleResponse(attempt, AttemptOutcome.REJECTED);
            return;
        }
        attempt.setJob(job);
        invariants.executionStarted(
                clientAttempt,
                upstream.spec().number(),
                upstream.spec().zone(),
                scheduler.nowMicros());
        upstreams.onCrash(
                upstream,
                () -> endAfter(forwardDelayMicros(upstream), attempt, AttemptOutcome.RESET),
                attempt::ended);
    }

    private void respond(SimulatedAttempt attempt, int requestClass) {
        boolean fails = attempt.upstream().failsClass(requestClass);
        scheduleResponse(attempt, fails ? AttemptOutcome.ERROR : AttemptOutcome.OK);
    }

    private void scheduleResponse(SimulatedAttempt attempt, AttemptOutcome outcome) {
        SimulatedUpstream upstream = attempt.upstream();
        if (!upstreams.isSilent(balancer, upstream)) {
            endAfter(upstreams.reverseDelayMicros(balancer, upstream), attempt, outcome);
        }
    }
}
