package loadbalancer.dispatch;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import loadbalancer.admin.EventLog;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.upstream.AttemptProgress;
import loadbalancer.upstream.UpstreamPool;
import loadbalancer.upstream.UpstreamResponseListener;
import loadbalancer.util.Exceptions;

/**
 * Runs the attempts of all requests: starts each attempt and its timeout, and reports the outcome
 * of each attempt to the policy exactly once. Event loop thread only.
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

    /** Sets the pool that sends the attempts. Called once, before the first attempt. */
    void attach(UpstreamPool pool) {
        upstreamPool = pool;
    }

    /**
     * Starts an attempt. An attempt that may not be sent ends at once as {@link
     * AttemptOutcome#NOT_SENT}.
     *
     * @param timeoutMicros the timeout of the attempt in µs, limited by the request's deadline; 0
     *     if only the deadline limits it
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
        sendToPool(attempt, attemptTimeoutMicros);
    }

    // A connection handles the exceptions of its own writes, so that the request has not been
    // written if the pool throws one.
    private void sendToPool(ExchangeAttempt attempt, long timeoutMicros) {
        try {
            attempt.setUpstreamRequest(
                    upstreamPool.send(
                            attempt.endpointId(),
                            attempt.exchange().proxyRequest(),
                            timeoutMicros,
                            new AttemptListener(attempt)));
        } catch (RuntimeException | Error e) {
            onAttemptEnded(attempt, AttemptOutcome.CONNECT_FAILED, null, null);
            throw e;
        }
    }

    private boolean canSend(ExchangeAttempt attempt, long attemptTimeoutMicros) {
        Exchange exchange = attempt.exchange();
        return !exchange.isClosed()
                && !exchange.responseSender().isCloseHidden()
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

    // While the body is uploaded, the timeout has not started yet.
    private void extendTimeout(ExchangeAttempt attempt) {
        Exchange exchange = attempt.exchange();
        if (!exchange.isUploading() && policyEvents.mayResponseTakeUntilDeadline(attempt)) {
            attempt.cancelTimeout();
            attempt.setTimeoutMicros(Math.max(0, exchange.maxAttemptMicros(context.nowMicros())));
            startTimeout(attempt);
        }
    }

    /**
     * Restarts the latency measurement and the timeouts of the attempts in flight at {@code
     * nowMicros}, when the request's body is complete.
     */
    void restartTimeouts(Exchange exchange, long nowMicros) {
        for (ExchangeAttempt attempt : exchange.attempts()) {
            if (!attempt.hasEnded()) {
                attempt.restart(nowMicros);
                long maxAttemptMicros = Math.max(0, exchange.maxAttemptMicros(nowMicros));
                attempt.setTimeoutMicros(Math.min(attempt.timeoutMicros(), maxAttemptMicros));
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
        public void onResponseHead() {
            extendTimeout(attempt);
        }

        @Override
        public void onResponseStarted(
                HttpResponse responseHead, long contentLength, BodyRelay body, LoadReport load) {
            onStreamStarted(attempt, responseHead, contentLength, body, load);
        }
    }

    /**
     * Ends an attempt without waiting for its response.
     *
     * @param outcomeIfWritten the outcome if the request's last byte has been written. Otherwise
     *     the outcome is {@link AttemptOutcome#NOT_SENT}, since an incomplete request can't have
     *     run.
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
        exchange.onAttemptOutcome(outcome);
        if (attempt == exchange.streamingAttempt()) {
            Exceptions.runAll(
                    () -> onStreamEnded(attempt, outcome),
                    () -> requests.removeIfFinished(exchange));
        } else {
            long latencyMicros = attempt.latencyMicros(context.nowMicros());
            Exceptions.runAll(
                    () -> logOrServe(attempt, outcome, response, latencyMicros),
                    () -> policyEvents.attemptEnded(attempt, outcome, latencyMicros, load),
                    () -> requests.removeIfFinished(exchange));
        }
    }

    private void logOrServe(
            ExchangeAttempt attempt,
            AttemptOutcome outcome,
            FullHttpResponse response,
            long latencyMicros) {
        if (outcome != AttemptOutcome.OK) {
            logFailedAttempt(attempt, outcome, latencyMicros);
        } else if (!attempt.exchange().isClosed()) {
            responses.serve(attempt.exchange(), response);
        }
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
                                        + describeProgress(attempt)
                                        + (exchange.isClosed() ? ", the request was closed" : ""));
    }

    private static String describeProgress(ExchangeAttempt attempt) {
        AttemptProgress progress = attempt.progressAtEnd();
        return progress == AttemptProgress.NOT_STARTED ? "" : ", " + progress.label();
    }

    // A streamed response is final from its start, so the attempt is reported to the policy as OK
    // at that time.
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

    // The request can't be retried once its response has begun. The policy is only told if the
    // endpoint aborted the response.
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
