package loadbalancer.testbed.simulation;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import loadbalancer.testbed.client.ClientRequestLifecycle;
import loadbalancer.testbed.client.FrontendRotation;
import loadbalancer.testbed.invariant.ClientAttempt;
import loadbalancer.testbed.invariant.ClientRequest;
import loadbalancer.testbed.invariant.RequestInvariants;
import loadbalancer.testbed.statistics.ServiceWindows;
import loadbalancer.testbed.workload.RandomStreams;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Simulates the clients and their front end in virtual time. Requests are accepted, answered and
 * abandoned at the times at which this would happen over sockets. Used only by the thread that runs
 * the simulation.
 */
final class SimulatedClients {
    private static final int STATUS_OK = 200;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;

    private final VirtualTimeScheduler scheduler;
    private final RequestInvariants invariants;
    private final List<SimulatedBalancer> balancers;
    private final FrontendRotation rotation;
    private final ClientRequestLifecycle lifecycle;
    private final UniformRandomProvider idRandom;

    SimulatedClients(
            VirtualTimeScheduler scheduler,
            WorkloadPlan plan,
            RequestInvariants invariants,
            ServiceWindows windows,
            List<SimulatedBalancer> balancers) {
        this.scheduler = scheduler;
        this.invariants = invariants;
        this.balancers = balancers;
        rotation =
                new FrontendRotation(
                        plan.scenario(), true, FrontendRotation.FallbackPosition.STAYS);
        lifecycle =
                new ClientRequestLifecycle(
                        plan.scenario(), scheduler, this::attempt, windows::record);
        idRandom = RandomStreams.stream(plan.seed(), "clients");
    }

    /** Informs the front end that the balancer is ready. */
    void onReady(int balancer) {
        rotation.onReadiness(balancer, true);
    }

    /** Sends the next attempt of a request. */
    void attempt(ClientRequest request) {
        ClientAttempt attempt = lifecycle.newAttempt(request, drawAttemptId());
        int balancer = rotation.chooseBalancer(request.arrival().zone());
        if (balancer == FrontendRotation.NO_BALANCER) {
            lifecycle.retryOrEnd(attempt, ClientRequest.Outcome.FAILED, 0);
            return;
        }
        if (!balancers.get(balancer).alive()) {
            rotation.onUnreachable(balancer, scheduler.nowMicros());
            lifecycle.retryOrEnd(attempt, ClientRequest.Outcome.FAILED, 0);
            return;
        }
        invariants.attemptAccepted(attempt, balancer, scheduler.nowMicros());
        balancers.get(balancer).accept(attempt);
        scheduleGiveUp(attempt, balancer);
    }

    private String drawAttemptId() {
        ByteBuffer id = ByteBuffer.allocate(Long.BYTES).putLong(idRandom.nextLong());
        return HexFormat.of().formatHex(id.array());
    }

    private void scheduleGiveUp(ClientAttempt attempt, int balancer) {
        ClientRequest request = attempt.request();
        boolean impatient = request.arrival().impatient();
        long slackMicros = impatient ? 0 : ClientRequestLifecycle.LATE_RESPONSE_SLACK_MICROS;
        scheduler.scheduleAfter(
                attempt.timeoutMicros() + slackMicros,
                () -> {
                    if (!attempt.ended()) {
                        lifecycle.end(request, ClientRequest.Outcome.FAILED);
                        giveUp(attempt, balancer, impatient);
                    }
                });
    }

    private void giveUp(ClientAttempt attempt, int balancer, boolean impatient) {
        if (impatient) {
            invariants.clientDisconnected(attempt, scheduler.nowMicros());
            balancers.get(balancer).onClientDisconnected(attempt);
            return;
        }
        scheduler.scheduleAfter(
                RequestInvariants.LOST_AFTER_MICROS
                        - ClientRequestLifecycle.LATE_RESPONSE_SLACK_MICROS,
                () -> {
                    invariants.responseOverdue(attempt, scheduler.nowMicros());
                    balancers.get(balancer).onClientDisconnected(attempt);
                });
    }

    /** Handles the response of a balancer; ignores it if the attempt has ended. */
    void onResponse(ClientAttempt attempt, int status, long retryAfterMicros) {
        if (attempt.ended()) {
            return;
        }
        invariants.responseReceived(attempt, status, true, scheduler.nowMicros());
        if (status == STATUS_OK) {
            lifecycle.end(attempt.request(), ClientRequest.Outcome.SERVED);
        } else if (status == STATUS_SERVICE_UNAVAILABLE) {
            lifecycle.retryOrEnd(attempt, ClientRequest.Outcome.REJECTED, retryAfterMicros);
        } else {
            lifecycle.end(attempt.request(), ClientRequest.Outcome.FAILED);
        }
    }

    /** Handles the close of an attempt's connection when the process of the balancer ends. */
    void onConnectionClosed(ClientAttempt attempt) {
        invariants.connectionClosedIncomplete(attempt, false, scheduler.nowMicros());
        lifecycle.retryOrEnd(attempt, ClientRequest.Outcome.FAILED, 0);
    }
}
