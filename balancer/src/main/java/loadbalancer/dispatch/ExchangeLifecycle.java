package loadbalancer.dispatch;

import java.util.concurrent.TimeUnit;
import loadbalancer.admin.EventLog;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.util.Exceptions;

/**
 * Handles the events of a client's request: its submission, the end of its upload, the client's
 * disconnect, and the fallback response if the policy does not respond in time. Event loop thread
 * only.
 */
final class ExchangeLifecycle {
    private static final long UPLOAD_CHECK_INTERVAL_MICROS = 50_000;

    private final DispatchContext context;
    private final RequestTable requests;
    private final FinalResponses responses;
    private final AttemptRunner attempts;
    private final PolicyEvents policyEvents;
    private long fallbackResponseCount;

    ExchangeLifecycle(
            DispatchContext context,
            RequestTable requests,
            FinalResponses responses,
            AttemptRunner attempts,
            PolicyEvents policyEvents) {
        this.context = context;
        this.requests = requests;
        this.responses = responses;
        this.attempts = attempts;
        this.policyEvents = policyEvents;
    }

    /** Returns the number of requests that the policy has left without a response. */
    long fallbackResponseCount() {
        return fallbackResponseCount;
    }

    RequestHandle submit(ProxyRequest proxyRequest, ResponseSender responseSender) {
        Exchange exchange = requests.add(proxyRequest, responseSender, context.nowMicros());
        runOrFail(exchange, () -> start(exchange));
        return new Handle(exchange);
    }

    private void start(Exchange exchange) {
        if (mustRunOnce(exchange.proxyRequest())) {
            int idClaim = requests.claimId(exchange.proxyRequest());
            if (idClaim == RequestIds.ALREADY_CLAIMED) {
                responses.failRepeated(exchange);
                return;
            }
            exchange.setIdClaim(idClaim);
        }
        scheduleFallback(exchange);
        policyEvents.requestReceived(exchange);
        if (exchange.isUploading()) {
            policyEvents.uploadStarted(exchange);
        }
        if (isUploadInFlight(exchange) && !exchange.isClosed()) {
            exchange.cancelFallbackTimer();
            scheduleFallback(exchange);
        }
    }

    // A request is in the table from its begin, so that an exception must not leave it there.
    private void runOrFail(Exchange exchange, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            Exceptions.runAll(() -> logException(exchange, e), () -> failAndFree(exchange));
        }
    }

    private void logException(Exchange exchange, Throwable exception) {
        context.events()
                .record(
                        EventLog.Kind.FAILED,
                        exchange.proxyRequest().clientRequestId(),
                        () -> "unexpected exception " + Exceptions.describe(exception));
    }

    // The upstreams' own detection of repeats is limited to a time and a part of them.
    private boolean mustRunOnce(ProxyRequest proxyRequest) {
        return context.boot()
                        .settings()
                        .requestClasses()
                        .get(proxyRequest.requestClass())
                        .idempotency()
                != Idempotency.IDEMPOTENT;
    }

    private final class Handle implements RequestHandle {
        private final Exchange exchange;

        Handle(Exchange exchange) {
            this.exchange = exchange;
        }

        @Override
        public void onClientDisconnected() {
            ExchangeLifecycle.this.onClientDisconnected(exchange);
        }

        @Override
        public void onBodyComplete() {
            runOrFail(exchange, () -> onUploadComplete(exchange));
        }
    }

    private void scheduleFallback(Exchange exchange) {
        long delayMicros = exchange.fallbackDelayMicros(context.nowMicros());
        exchange.setFallbackTimer(
                context.loop()
                        .schedule(
                                () -> runOrFail(exchange, () -> onFallbackTimer(exchange)),
                                isUploadInFlight(exchange)
                                        ? Math.min(delayMicros, UPLOAD_CHECK_INTERVAL_MICROS)
                                        : delayMicros,
                                TimeUnit.MICROSECONDS));
    }

    private static boolean isUploadInFlight(Exchange exchange) {
        return exchange.isUploading() && exchange.hasAttemptsInFlight();
    }

    // The deadline of the request and the timeouts of its attempts count from when the client may
    // have sent the body's last byte, which may have been read much later.
    private void onUploadComplete(Exchange exchange) {
        if (exchange.isClosed()) {
            exchange.markUploaded();
            return;
        }
        long nowMicros = context.nowMicros();
        restartDeadline(exchange, nowMicros);
        exchange.markUploaded();
        exchange.cancelFallbackTimer();
        scheduleFallback(exchange);
        attempts.restartTimeouts(exchange, nowMicros);
        policyEvents.uploadCompleted(exchange);
    }

    private void onClientDisconnected(Exchange exchange) {
        if (exchange.isStreaming()) {
            responses.finishStreaming(exchange);
            exchange.responseBody().discard();
            attempts.abandon(exchange.streamingAttempt(), AttemptOutcome.CANCELLED);
        } else {
            responses.closeDisconnected(exchange);
        }
    }

    private void restartDeadline(Exchange exchange, long nowMicros) {
        exchange.restartDeadline(nowMicros - exchange.responseSender().microsSinceBodySent());
    }

    // While an attempt streams the upload, the deadline counts from when the client may have sent
    // the body's last byte, which is checked repeatedly because reading may be paused.
    private void onFallbackTimer(Exchange exchange) {
        if (exchange.isClosed()) {
            return;
        }
        long nowMicros = context.nowMicros();
        if (isUploadInFlight(exchange)) {
            restartDeadline(exchange, nowMicros);
        }
        if (exchange.fallbackDelayMicros(nowMicros) > 0) {
            scheduleFallback(exchange);
        } else {
            sendFallbackResponse(exchange);
        }
    }

    // The policy has not responded in time or has thrown an exception. The client receives a
    // failure before its deadline.
    private void sendFallbackResponse(Exchange exchange) {
        fallbackResponseCount++;
        if (Long.bitCount(fallbackResponseCount) == 1) {
            context.log().accept("fallback responses: count=" + fallbackResponseCount);
        }
        failAndFree(exchange);
    }

    private void failAndFree(Exchange exchange) {
        Exceptions.runAll(
                () -> failIfPending(exchange),
                () -> policyEvents.clientDisconnected(exchange),
                () -> abandonAttempts(exchange),
                () -> requests.removeIfFinished(exchange));
    }

    private void failIfPending(Exchange exchange) {
        if (!exchange.isClosed()) {
            responses.failUnanswered(exchange);
        }
    }

    private void abandonAttempts(Exchange exchange) {
        for (ExchangeAttempt attempt : exchange.attempts()) {
            attempts.abandon(attempt, AttemptOutcome.CANCELLED);
        }
    }
}
