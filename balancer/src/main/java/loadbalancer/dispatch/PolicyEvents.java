package loadbalancer.dispatch;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import loadbalancer.config.EndpointList;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.PolicySnapshot;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.util.Exceptions;

/**
 * Passes events to the routing policy, one at a time and in order. The policy is not re-entrant: an
 * event that occurs while the policy handles another one, or while one of its actions is executed,
 * waits until the policy has returned. Event loop thread only.
 */
final class PolicyEvents {
    private final RoutingPolicy policy;
    private final MonotonicClock clock;
    private final Consumer<String> log;
    private final ArrayDeque<LongConsumer> pendingEvents = new ArrayDeque<>();
    private RoutingActions actions;
    private boolean processing;
    private boolean retired;
    private long exceptionCount;

    PolicyEvents(RoutingPolicy policy, MonotonicClock clock, Consumer<String> log) {
        this.policy = policy;
        this.clock = clock;
        this.log = log;
    }

    /** Sets the actions that the policy may request. Called once, before the first event. */
    void attach(RoutingActions routingActions) {
        actions = routingActions;
    }

    /** Stops passing events to the policy, so that it requests no further actions. */
    void retire() {
        retired = true;
    }

    /** Returns the number of events on which the policy has thrown an exception. */
    long exceptionCount() {
        return exceptionCount;
    }

    private void submit(LongConsumer event) {
        if (retired) {
            return;
        }
        pendingEvents.add(event);
        if (processing) {
            return;
        }
        processing = true;
        try {
            LongConsumer next = pendingEvents.poll();
            while (next != null) {
                process(next);
                next = pendingEvents.poll();
            }
        } finally {
            processing = false;
        }
    }

    // An exception of the policy must not end the process. A request that it leaves without a
    // response gets the fallback response.
    private void process(LongConsumer event) {
        try {
            event.accept(clock.nowMicros());
        } catch (RuntimeException | Error e) {
            recordException(e);
        }
    }

    private void recordException(Throwable exception) {
        exceptionCount++;
        log.accept(
                "routing policy exception: count="
                        + exceptionCount
                        + " exception="
                        + Exceptions.describe(exception));
    }

    // An exception must not leave the attempt without an outcome.
    private boolean ask(BooleanSupplier question) {
        try {
            return question.getAsBoolean();
        } catch (RuntimeException | Error e) {
            recordException(e);
            return false;
        }
    }

    void requestReceived(Exchange exchange) {
        submit(
                now ->
                        policy.onRequest(
                                now,
                                exchange.id(),
                                exchange.proxyRequest().requestClass(),
                                exchange.proxyRequest().tenant(),
                                exchange.proxyRequest().key(),
                                Math.max(0, exchange.deadlineMicros() - now),
                                exchange.proxyRequest().workEstimate(),
                                exchange.proxyRequest().resubmission(),
                                actions));
    }

    void uploadStarted(Exchange exchange) {
        submit(now -> policy.onUploadStarted(now, exchange.id()));
    }

    void uploadCompleted(Exchange exchange) {
        submit(
                now ->
                        policy.onUploadCompleted(
                                now,
                                exchange.id(),
                                Math.max(0, exchange.deadlineMicros() - now),
                                actions));
    }

    void clientDisconnected(Exchange exchange) {
        submit(now -> policy.onClientDisconnected(now, exchange.id(), actions));
    }

    /** Returns whether an attempt that waited for its connection may still start. */
    boolean canStartAttempt(ExchangeAttempt attempt) {
        return ask(
                () ->
                        policy.canStartAttempt(
                                clock.nowMicros(), attempt.exchange().id(), attempt.number()));
    }

    /** Returns whether an attempt whose response has begun may take until the deadline. */
    boolean mayResponseTakeUntilDeadline(ExchangeAttempt attempt) {
        return ask(() -> policy.mayResponseTakeUntilDeadline(attempt.exchange().id()));
    }

    /**
     * Reports the end of an attempt. Whether the request is closed is determined when the policy
     * handles the event.
     *
     * @param load the load report that came with the response, or null
     */
    void attemptEnded(
            ExchangeAttempt attempt, AttemptOutcome outcome, long latencyMicros, LoadReport load) {
        submit(
                now ->
                        policy.onAttemptEnded(
                                now,
                                attempt.exchange().id(),
                                attempt.number(),
                                outcome,
                                latencyMicros,
                                attempt.exchange().isClosed(),
                                load,
                                actions));
    }

    void responseAborted(String endpointId) {
        submit(now -> policy.onResponseAborted(now, endpointId, actions));
    }

    void healthCheckEnded(
            String endpointId, AttemptOutcome outcome, long sentAtMicros, LoadReport load) {
        submit(
                now ->
                        policy.onHealthCheckResult(
                                now, endpointId, outcome, now - sentAtMicros, load, actions));
    }

    /**
     * Passes an endpoint list to the policy; {@code endpointList} is null if it could not be
     * fetched.
     */
    void endpointListReceived(EndpointListKind kind, EndpointList endpointList) {
        submit(
                now ->
                        policy.onEndpointList(
                                now,
                                kind,
                                endpointList == null ? List.of() : endpointList.endpoints(),
                                actions));
    }

    void peerMessageReceived(int sender, byte[] payload) {
        submit(now -> policy.onPeerMessage(now, sender, payload, actions));
    }

    void restore(PolicySnapshot snapshot, long ageMicros) {
        submit(now -> policy.restore(now, snapshot, ageMicros));
    }

    void timerExpired() {
        submit(now -> policy.onTimer(now, actions));
    }
}
