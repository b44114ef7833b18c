package loadbalancer.dispatch;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import loadbalancer.config.EndpointList;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.PolicySnapshot;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;

/**
 * Hands events to the routing policy, one at a time and in order. The policy is not re-entrant: an
 * event that happens while it handles another one, or while one of its actions is carried out,
 * waits until it has returned. Event loop thread only.
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

    /** Sets what the policy may ask for; once, before the first event. */
    void attach(RoutingActions routingActions) {
        actions = routingActions;
    }

    /** The policy gets no event from here on, and so asks for nothing. */
    void retire() {
        retired = true;
    }

    /** The number of events that the policy has failed on. */
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

    // A policy that fails on one event must not end the process; a request that this leaves without
    // a response gets the fallback response
    private void process(LongConsumer event) {
        try {
            event.accept(clock.nowMicros());
        } catch (RuntimeException e) {
            exceptionCount++;
            StackTraceElement[] trace = e.getStackTrace();
            String place = trace.length == 0 ? "" : " at " + trace[0];
            log.accept(
                    "routing policy exception: count="
                            + exceptionCount
                            + " exception="
                            + e
                            + place);
        }
    }

    // ---------------------------------------------------------------- requests

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
                                exchange.proxyRequest().timeLeftMicros(),
                                actions));
    }

    void clientDisconnected(Exchange exchange) {
        submit(now -> policy.onClientDisconnected(now, exchange.id(), actions));
    }

    // ---------------------------------------------------------------- attempts

    /** Whether an attempt that waited for its connection may still start. */
    boolean canStartAttempt(ExchangeAttempt attempt) {
        return policy.canStartAttempt(clock.nowMicros(), attempt.exchange().id(), attempt.number());
    }

    /** The policy is given the state of the request at the time at which it gets the event. */
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

    // ---------------------------------------------------------------- endpoints, peers, timers

    void healthCheckEnded(
            String endpointId, AttemptOutcome outcome, long sentAtMicros, LoadReport load) {
        submit(
                now ->
                        policy.onHealthCheckResult(
                                now, endpointId, outcome, now - sentAtMicros, load, actions));
    }

    /** {@code endpointList} is null where the list could not be fetched. */
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
