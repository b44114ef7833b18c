package loadbalancer.dispatch;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import loadbalancer.admin.EventLog;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.upstream.UpstreamPool;
import loadbalancer.upstream.UpstreamResponseListener;

/**
 * Runs the attempts of requests: starts each and its timeout, and reports its one outcome to the
 * policy. Event loop thread only.
 */
final class AttemptRunner {
    private final DispatchContext context;
    private final RequestTable requests;
    private final FinalResponses responses;
    private final PolicyEvents policyEvents;
    private UpstreamPool upstreamPool;

    AttemptRunner(
            DispatchContext context,
            RequestTable requests,
            FinalResponses responses,
            PolicyEvents policyEvents) {
        this.context = context;
        this.requests = requests;
        this.responses = responses;
        this.policyEvents = policyEvents;
    }

    /** Sets the pool that attempts are sent by; once, before the first one. */
    void attach(UpstreamPool pool) {
        upstreamPool = pool;
    }

    // ---------------------------------------------------------------- start

    /**
     * Starts an attempt; one that may not be sent ends at once as {@link AttemptOutcome#NOT_SENT}.
     *
     * @param timeoutMicros how long it may take, or 0: as long as the request's deadline allows
     */
    void send(Exchange exchange, String endpointId, long timeoutMicros) {
        responses.closeIfDisconnected(exchange);
        long nowMicros = context.nowMicros();
        ExchangeAttempt attempt = exchange.addAttempt(endpointId, nowMicros);
        long maxAttemptMicros = exchange.maxAttemptMicros(nowMicros);
        long attemptTimeoutMicros =
                timeoutMicros == 0 ? maxAttemptMicros : Math.min(timeoutMicros, maxAttemptMicros);
        if (!canSend(attempt, attemptTimeoutMicros)) {
            onAttemptEnded(attempt, AttemptOutcome.NOT_SENT, null, null);
            return;
        }
        attempt.setTimeoutMicros(attemptTimeoutMicros);
        if (!exchange.isUploading()) {
            startTimeout(attempt);
        }
        attempt.setUpstreamRequest(
                upstreamPool.send(
                        endpointId,
                        exchange.proxyRequest(),
                        attemptTimeoutMicros,
                        new AttemptListener(attempt)));
    }

    private boolean canSend(ExchangeAttempt attempt, long attemptTimeoutMicros) {
        Exchange exchange = attempt.exchange();
        return !exchange.isClosed()
                && attemptTimeoutMicros > 0
                && attempt.number() < context.boot().settings().limits().maxAttempts()
                && exchange.proxyRequest().isReplayable();
    }

    private void startTimeout(ExchangeAttempt attempt) {
        attempt.setTimeoutTask(
                context.loop()
                        .schedule(
                                () -> abandon(attempt, AttemptOutcome.TIMEOUT),
                                attempt.timeoutMicros(),
                                TimeUnit.MICROSECONDS));
    }

    /**
     * The body of the request is complete: the time of its attempts starts at {@code nowMicros}.
     */
    void restartTimeouts(Exchange exchange, long nowMicros) {
        for (ExchangeAttempt attempt : exchange.attempts()) {
            if (!attempt.hasEnded()) {
                attempt.restart(nowMicros);
                startTimeout(attempt);
            }
        }
    }

    private final class AttemptListener implements UpstreamResponseListener {
        private final ExchangeAttempt attempt;

        AttemptListener(ExchangeAttempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public boolean mayStart() {
            Exchange exchange = attempt.exchange();
            responses.closeIfDisconnected(exchange);
            return !exchange.isClosed() && policyEvents.canStartAttempt(attempt);
        }

        @Override
        public void onComplete(AttemptOutcome outcome, FullHttpResponse response, LoadReport load) {
            onAttemptEnded(attempt, outcome, response, load);
        }

        @Override
        public void onResponseStarted(
                HttpResponse responseHead, long contentLength, BodyRelay body, LoadReport load) {
            onStreamStarted(attempt, responseHead, contentLength, body, load);
        }
    }

    // ---------------------------------------------------------------- end

    /**
     * Stops waiting for an attempt.
     *
     * @param outcomeIfWritten its outcome where the request's last byte has been written; before
     *     that nothing can have run
     */
    void abandon(ExchangeAttempt attempt, AttemptOutcome outcomeIfWritten) {
        if (!attempt.hasEnded()) {
            boolean written = attempt.abandonUpstreamRequest();
            AttemptOutcome outcome = written ? outcomeIfWritten : AttemptOutcome.NOT_SENT;
            onAttemptEnded(attempt, outcome, null, null);
        }
    }

    private void onAttemptEnded(
            ExchangeAttempt attempt,
            AttemptOutcome outcome,
            FullHttpResponse response,
            LoadReport load) {
        if (attempt.hasEnded()) {
            return;
        }
        attempt.end();
        Exchange exchange = attempt.exchange();
        if (attempt == exchange.streamingAttempt()) {
            onStreamEnded(attempt, outcome);
        } else {
            long latencyMicros = attempt.latencyMicros(context.nowMicros());
            if (outcome != AttemptOutcome.OK) {
                logFailedAttempt(attempt, outcome, latencyMicros);
            } else if (!exchange.isClosed()) {
                responses.serve(exchange, response);
            }
            policyEvents.attemptEnded(attempt, outcome, latencyMicros, load);
        }
        requests.removeIfFinished(exchange);
    }

    private void logFailedAttempt(
            ExchangeAttempt attempt, AttemptOutcome outcome, long latencyMicros) {
        Exchange exchange = attempt.exchange();
        context.events()
                .record(
                        EventLog.Kind.ATTEMPT,
                        exchange.proxyRequest().clientRequestId(),
                        () ->
                                attempt.number()
                                        + " to "
                                        + attempt.endpointId()
                                        + " "
                                        + outcome
                                        + " after "
                                        + latencyMicros / 1000
                                        + " ms"
                                        + (exchange.isClosed() ? ", the request was closed" : ""));
    }

    // ---------------------------------------------------------------- streamed responses

    // A streamed response that has begun is the final one; to the policy the attempt has ended
    private void onStreamStarted(
            ExchangeAttempt attempt,
            HttpResponse responseHead,
            long contentLength,
            BodyRelay body,
            LoadReport load) {
        if (attempt.exchange().isClosed()) {
            body.discard();
            return;
        }
        attempt.cancelTimeout();
        long latencyMicros = attempt.latencyMicros(context.nowMicros());
        responses.stream(attempt, responseHead, contentLength, body);
        policyEvents.attemptEnded(attempt, AttemptOutcome.OK, latencyMicros, load);
    }

    // A response that has begun can't be retried: the policy only learns that the endpoint aborted
    // it
    private void onStreamEnded(ExchangeAttempt attempt, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.RESET) {
            context.events()
                    .record(
                            EventLog.Kind.ATTEMPT,
                            attempt.exchange().proxyRequest().clientRequestId(),
                            () ->
                                    attempt.number()
                                            + " to "
                                            + attempt.endpointId()
                                            + " broke off an answer that was being passed on");
            policyEvents.responseAborted(attempt.endpointId());
        }
    }
}
