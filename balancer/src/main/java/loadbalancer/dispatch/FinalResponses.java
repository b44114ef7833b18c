package loadbalancer.dispatch;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import loadbalancer.admin.EventLog;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.util.Exceptions;

/**
 * Sends the one final response of each request and counts and logs it. Every way to end a request
 * goes through {@link #settle} or {@link #stream}. Event loop thread only.
 */
final class FinalResponses {
    private final DispatchContext context;
    private final RequestTable requests;
    private final PolicyEvents policyEvents;

    FinalResponses(DispatchContext context, RequestTable requests, PolicyEvents policyEvents) {
        this.context = context;
        this.requests = requests;
        this.policyEvents = policyEvents;
    }

    private void settle(Exchange exchange) {
        exchange.settle();
        requests.onResponseSettled();
    }

    /** Sends a buffered response as the final response. */
    void serve(Exchange exchange, FullHttpResponse response) {
        settle(exchange);
        context.metrics().recordServed(exchange.proxyRequest().requestClass());
        exchange.responseSender().send(response);
    }

    /** Starts to send a streamed response as the final response. */
    void stream(
            ExchangeAttempt attempt,
            HttpResponse responseHead,
            long contentLength,
            BodyRelay body) {
        Exchange exchange = attempt.exchange();
        exchange.startStreaming(attempt, body);
        exchange.responseSender()
                .send(
                        responseHead,
                        contentLength,
                        body,
                        complete -> onStreamSent(exchange, complete));
    }

    private void onStreamSent(Exchange exchange, boolean complete) {
        if (exchange.isStreaming()) {
            if (complete) {
                context.metrics().recordServed(exchange.proxyRequest().requestClass());
            } else {
                context.metrics().recordFailed(exchange.proxyRequest().requestClass());
            }
            finishStreaming(exchange);
        }
    }

    /** Marks a streamed response as finished, after its end or the client's disconnect. */
    void finishStreaming(Exchange exchange) {
        exchange.finishStreaming();
        requests.onResponseSettled();
    }

    /**
     * Rejects a request at the policy's request.
     *
     * @param retryAfterMicros the value of Retry-After in µs, or 0 for no such header
     */
    void reject(Exchange exchange, long retryAfterMicros) {
        settle(exchange);
        Exceptions.runAll(
                () -> logFinalResponse(EventLog.Kind.REFUSED, exchange),
                () -> sendRejection(exchange, retryAfterMicros),
                () -> requests.removeIfFinished(exchange));
    }

    private void sendRejection(Exchange exchange, long retryAfterMicros) {
        context.metrics().recordRejected(exchange.proxyRequest().requestClass());
        exchange.responseSender().reject(retryAfterMicros);
    }

    /** Fails a request at the policy's request. */
    void fail(Exchange exchange) {
        Exceptions.runAll(
                () -> failUnanswered(exchange), () -> requests.removeIfFinished(exchange));
    }

    /** Fails a request whose id has come before, which may have run and is not forwarded again. */
    void failRepeated(Exchange exchange) {
        settle(exchange);
        Exceptions.runAll(
                () ->
                        context.events()
                                .record(
                                        EventLog.Kind.FAILED,
                                        exchange.proxyRequest().clientRequestId(),
                                        () -> "its id came before, not forwarded again"),
                () -> sendFailure(exchange),
                () -> requests.removeIfFinished(exchange));
    }

    /** Fails a request that has no final response; the caller removes it from the table. */
    void failUnanswered(Exchange exchange) {
        settle(exchange);
        Exceptions.runAll(
                () -> logFinalResponse(EventLog.Kind.FAILED, exchange),
                () -> sendFailure(exchange));
    }

    private void sendFailure(Exchange exchange) {
        context.metrics().recordFailed(exchange.proxyRequest().requestClass());
        exchange.responseSender().fail();
    }

    private void logFinalResponse(EventLog.Kind kind, Exchange exchange) {
        context.events()
                .record(
                        kind,
                        exchange.proxyRequest().clientRequestId(),
                        () -> exchange.describe(context.nowMicros()));
    }

    /** Ends a request without a response, unless its final response has been sent or has begun. */
    void closeDisconnected(Exchange exchange) {
        if (!exchange.isClosed()) {
            settle(exchange);
            policyEvents.clientDisconnected(exchange);
            requests.removeIfFinished(exchange);
        }
    }

    /**
     * Ends a request whose client has disconnected. This also detects a disconnect that the event
     * loop has not read yet, because no attempt may start after a disconnect. The check reads the
     * client's connection and may itself report the disconnect.
     */
    void closeIfDisconnected(Exchange exchange) {
        if (!exchange.isClosed() && !exchange.responseSender().isClientConnected()) {
            closeDisconnected(exchange);
        }
    }
}
