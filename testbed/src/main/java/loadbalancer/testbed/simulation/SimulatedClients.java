package loadbalancer.testbed.simulation;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import loadbalancer.testbed.invariant.ClientAttempt;
import loadbalancer.testbed.invariant.ClientRequest;
import loadbalancer.testbed.invariant.RequestInvariants;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.statistics.ServiceWindows;
import loadbalancer.testbed.workload.RandomStreams;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Clients and fronts in simulated time: who gets which request, who comes again, and when one gives
 * up.
 */
final class SimulatedClients {
    // µs past its time that an answer still counts
    private static final long LATE_RESPONSE_SLACK_MICROS = 70_000;
    // µs a further try must have
    private static final long MIN_RETRY_TIME_MICROS = 20_000;

    private final VirtualTimeScheduler scheduler;
    private final Scenario scenario;
    private final RequestInvariants rules;
    private final ServiceWindows windows;
    private final List<SimulatedBalancer> balancers;
    // Whom the front sends clients to
    private final boolean[] inRotation;
    private final long[] refusedSinceMicros;
    private final UniformRandomProvider idRandom;
    private int lastChosen;

    SimulatedClients(
            VirtualTimeScheduler scheduler,
            WorkloadPlan plan,
            RequestInvariants requestInvariants,
            ServiceWindows serviceWindows,
            List<SimulatedBalancer> balancers) {
        this.scheduler = scheduler;
        this.scenario = plan.scenario();
        this.rules = requestInvariants;
        this.windows = serviceWindows;
        this.balancers = balancers;
        inRotation = new boolean[scenario.fleet().balancers()];
        refusedSinceMicros = new long[inRotation.length];
        Arrays.fill(inRotation, true);
        Arrays.fill(refusedSinceMicros, -1);
        idRandom = RandomStreams.stream(plan.seed(), "clients");
    }

    /** The front finds that balancer ready. */
    void onReady(int balancer) {
        inRotation[balancer] = true;
        refusedSinceMicros[balancer] = -1;
    }

    void attempt(ClientRequest clientRequest) {
        clientRequest.countAttempt();
        ClientAttempt clientAttempt =
                new ClientAttempt(
                        HexFormat.of()
                                .formatHex(
                                        ByteBuffer.allocate(Long.BYTES)
                                                .putLong(idRandom.nextLong())
                                                .array()),
                        clientRequest,
                        timeLeftMicros(clientRequest));
        int balancer = chooseBalancer(clientRequest.arrival().zone());
        if (balancer < 0 || !balancers.get(balancer).alive()) {
            onUnreachable(balancer);
            retryOrEnd(clientAttempt, ClientRequest.Outcome.FAILED, 0);
            return;
        }
        rules.accepted(clientAttempt, balancer, scheduler.nowMicros());
        balancers.get(balancer).accept(clientAttempt);
        boolean impatient = clientRequest.arrival().impatient();
        scheduler.scheduleAfter(
                clientAttempt.timeoutMicros() + (impatient ? 0 : LATE_RESPONSE_SLACK_MICROS),
                () -> {
                    if (!clientAttempt.ended()) {
                        endRequest(clientRequest, ClientRequest.Outcome.FAILED);
                        giveUp(clientAttempt, balancer, impatient);
                    }
                });
    }

    private void giveUp(ClientAttempt clientAttempt, int balancer, boolean impatient) {
        if (impatient) {
            rules.clientDisconnected(clientAttempt, scheduler.nowMicros());
            balancers.get(balancer).onClientDisconnected(clientAttempt);
            return;
        }
        scheduler.scheduleAfter(
                RequestInvariants.LOST_AFTER_MICROS - LATE_RESPONSE_SLACK_MICROS,
                () -> {
                    rules.responseOverdue(clientAttempt, scheduler.nowMicros());
                    balancers.get(balancer).onClientDisconnected(clientAttempt);
                });
    }

    private long timeLeftMicros(ClientRequest clientRequest) {
        Scenario.RequestClass requestClass =
                scenario.classes().get(clientRequest.arrival().requestClass());
        long totalMicros =
                Math.round(requestClass.deadlineMs() * 1e3)
                        / (clientRequest.arrival().impatient() ? 2 : 1);
        return clientRequest.arrival().atMicros() + totalMicros - scheduler.nowMicros();
    }

    // The next of its zone, one of another where it has none, or -1.
    private int chooseBalancer(int zone) {
        int fallback = -1;
        for (int i = 1; i <= inRotation.length; i++) {
            int balancer = (lastChosen + i) % inRotation.length;
            if (inRotation[balancer] && scenario.zoneOfBalancer(balancer) == zone) {
                lastChosen = balancer;
                return balancer;
            }
            fallback = inRotation[balancer] && fallback < 0 ? balancer : fallback;
        }
        return fallback;
    }

    private void onUnreachable(int balancer) {
        if (balancer < 0) {
            return;
        }
        refusedSinceMicros[balancer] =
                refusedSinceMicros[balancer] < 0
                        ? scheduler.nowMicros()
                        : refusedSinceMicros[balancer];
        if (scheduler.nowMicros() - refusedSinceMicros[balancer]
                >= scenario.load().frontendDetectionMs() * 1e3) {
            inRotation[balancer] = false;
        }
    }

    void onResponse(ClientAttempt clientAttempt, int status, long retryAfterMicros) {
        if (clientAttempt.ended()) {
            // Its client has left, and hears nothing
            return;
        }
        rules.responseReceived(clientAttempt, status, true, scheduler.nowMicros());
        if (status == 200) {
            endRequest(clientAttempt.request(), ClientRequest.Outcome.SERVED);
        } else if (status == 503) {
            retryOrEnd(clientAttempt, ClientRequest.Outcome.REJECTED, retryAfterMicros);
        } else {
            endRequest(clientAttempt.request(), ClientRequest.Outcome.FAILED);
        }
    }

    /** Its connection ended, with the process of its balancer. */
    void onConnectionClosed(ClientAttempt clientAttempt) {
        rules.closedIncomplete(clientAttempt, false, scheduler.nowMicros());
        retryOrEnd(clientAttempt, ClientRequest.Outcome.FAILED, 0);
    }

    private void retryOrEnd(
            ClientAttempt clientAttempt, ClientRequest.Outcome outcome, long retryAfterMicros) {
        ClientRequest clientRequest = clientAttempt.request();
        long backoffMicros =
                Math.max(retryAfterMicros, Math.round(scenario.load().retryBackoffMs() * 1e3));
        if (clientRequest.outcome() == null
                && clientRequest.attempts() <= scenario.load().maxRetries()
                && timeLeftMicros(clientRequest) - backoffMicros > MIN_RETRY_TIME_MICROS) {
            scheduler.scheduleAfter(backoffMicros, () -> attempt(clientRequest));
        } else {
            endRequest(clientRequest, outcome);
        }
    }

    private void endRequest(ClientRequest clientRequest, ClientRequest.Outcome outcome) {
        if (clientRequest.outcome() == null) {
            clientRequest.outcome(outcome, scheduler.nowMicros());
            windows.record(clientRequest);
        }
    }
}
