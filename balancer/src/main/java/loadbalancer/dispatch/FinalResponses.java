package loadbalancer.dispatch;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import loadbalancer.admin.EventLog;
import loadbalancer.proxy.BodyRelay;

/**
 * Settles the one final response of each request: every way to end a request goes through {@link
 * #settle} or {@link #stream}. Event loop thread only.
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

    /** Sends a buffered response. */
    void serve(Exchange exchange, FullHttpResponse response) {
        settle(exchange);
        context.metrics().recordServed(exchange.proxyRequest().requestClass());
        exchange.responseSender().send(response);
    }

    /** Starts to send a streamed response. */
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

    /** Nothing more of a streamed response is sent. */
    void finishStreaming(Exchange exchange) {
        exchange.finishStreaming();
        requests.onResponseSettled();
    }

    /** Rejects a request as the policy asks for. */
    void reject(Exchange exchange, long retryAfterMicros) {
        settle(exchange);
        logFinalResponse(EventLog.Kind.REFUSED, exchange);
        context.metrics().recordRejected(exchange.proxyRequest().requestClass());
        exchange.responseSender().reject(retryAfterMicros);
        requests.removeIfFinished(exchange);
    }

    /** Fails a request as the policy asks for. */
    void fail(Exchange exchange) {
        settle(exchange);
        logFinalResponse(EventLog.Kind.FAILED, exchange);
        sendFailure(exchange);
        requests.removeIfFinished(exchange);
    }

    /** Fails a request that the policy has left without a response. */
    void failAtDeadline(Exchange exchange) {
        settle(exchange);
        sendFailure(exchange);
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
     * Ends a request whose client has disconnected, even if the loop has not read that yet: what
     * counts is the instant at which an attempt starts. The check reads the client's connection,
     * and so may report the disconnect itself.
     */
    void closeIfDisconnected(Exchange exchange) {
        if (!exchange.isClosed() && !exchange.responseSender().isClientConnected()) {
            closeDisconnected(exchange);
        }
    }
}
