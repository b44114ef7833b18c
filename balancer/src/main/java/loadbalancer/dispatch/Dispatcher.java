package loadbalancer.dispatch;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.cluster.PeerTransport;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.LoadReportSource;
import loadbalancer.routing.api.PolicySnapshot;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.upstream.UpstreamPool;
import loadbalancer.upstream.UpstreamResponseListener;

/**
 * Stands between the sockets and the module: owns the module, its clock and the table of requests
 * and attempts; tells it what happens and carries out what it asks for. It decides nothing. All of
 * it runs on the event loop's thread.
 */
public final class Dispatcher implements RoutingActions {
    /**
     * µs before a client's time is over at which it gets a failure if nothing else has answered it.
     */
    static final long FALLBACK_RESPONSE_MARGIN_MICROS = 6_000;

    /**
     * µs before that at which the last attempt ends, so that the module can word the answer itself.
     */
    static final long FINAL_ATTEMPT_MARGIN_MICROS = 6_000;

    private final EventLoop loop;
    private final BootSettings boot;
    private final RoutingPolicy policy;
    private final Consumer<String> log;
    private final EventLog events;
    private final Metrics metrics;
    private final long startUnixMicros = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final ArrayDeque<LongConsumer> pendingEvents = new ArrayDeque<>();
    private UpstreamPool upstreamPool;
    private DiscoveryClient discovery;
    private PeerTransport peers;
    private boolean processingEvents;
    private boolean retired;
    private long acceptedRequestCount;
    private long fallbackResponseCount;
    private long policyFaultCount;
    private int pendingRequestCount;
    private Runnable whenIdle;

    public Dispatcher(
            EventLoop loop,
            BootSettings boot,
            RoutingPolicy policy,
            Consumer<String> log,
            EventLog events,
            Metrics metrics) {
        this.loop = loop;
        this.boot = boot;
        this.policy = policy;
        this.log = log;
        this.events = events;
        this.metrics = metrics;
    }

    /**
     * {@code discoveryClient} and {@code peerTransport} may be null: a rehearsal has no discovery
     * and no peers.
     */
    public void attach(
            UpstreamPool pool, DiscoveryClient discoveryClient, PeerTransport peerTransport) {
        upstreamPool = pool;
        discovery = discoveryClient;
        peers = peerTransport;
    }

    /** A message of another balancer. */
    public void onPeerMessage(int sender, byte[] data) {
        submitEvent(now -> policy.onPeerMessage(now, sender, data, this));
    }

    /**
     * µs since 1970 by the monotonic clock: comparable with an upstream's start, and never going
     * back.
     */
    public long nowMicros() {
        return startUnixMicros + (System.nanoTime() - startNanos) / 1000;
    }

    // ---------------------------------------------------------------- events

    // The module is not re-entrant: what happens while it is at work or an action is carried out
    // waits.
    private void submitEvent(LongConsumer event) {
        if (retired) {
            return;
        }
        pendingEvents.add(event);
        if (processingEvents) {
            return;
        }
        processingEvents = true;
        try {
            for (LongConsumer next = pendingEvents.poll();
                    next != null;
                    next = pendingEvents.poll()) {
                try {
                    next.accept(nowMicros());
                } catch (RuntimeException e) {
                    // The guard answers what this leaves unanswered; one event must not end the
                    // balancer.
                    policyFaultCount++;
                    StackTraceElement[] trace = e.getStackTrace();
                    log.accept(
                            "fault "
                                    + policyFaultCount
                                    + ": "
                                    + e
                                    + (trace.length == 0 ? "" : " at " + trace[0]));
                }
            }
        } finally {
            processingEvents = false;
        }
    }

    /** Requests taken since the start. */
    public long acceptedRequestCount() {
        return acceptedRequestCount;
    }

    /** Whether clients are at work now, at this balancer or at others that tell of it. */
    public boolean isInService() {
        return acceptedRequestCount > 0 || policy.remoteRequestsPerSecond() > 0;
    }

    /**
     * Takes a request, for one final answer; returns whom to tell what the client does before it.
     */
    public RequestHandle submitRequest(ProxyRequest proxyRequest, ResponseSender responseSender) {
        String requestId = Long.toString(++acceptedRequestCount, Character.MAX_RADIX);
        Exchange exchange =
                new Exchange(
                        requestId,
                        proxyRequest,
                        responseSender,
                        nowMicros() + proxyRequest.timeLeftMicros());
        exchanges.put(requestId, exchange);
        pendingRequestCount++;
        exchange.uploading = proxyRequest.upload() != null;
        scheduleFallback(exchange);
        submitEvent(
                now ->
                        policy.onRequest(
                                now,
                                requestId,
                                proxyRequest.requestClass(),
                                proxyRequest.tenant(),
                                proxyRequest.key(),
                                Math.max(0, exchange.deadlineMicros - now),
                                proxyRequest.workEstimate(),
                                proxyRequest.resubmission(),
                                this));
        if (exchange.uploading) {
            submitEvent(now -> policy.onUploadStarted(now, requestId));
        }
        return new RequestHandle() {
            @Override
            public void onClientDisconnected() {
                Dispatcher.this.onClientDisconnected(exchange);
            }

            @Override
            public void onBodyComplete() {
                onUploadComplete(exchange);
            }
        };
    }

    private void scheduleFallback(Exchange exchange) {
        exchange.fallbackTimer =
                loop.schedule(
                        () -> sendFallbackResponse(exchange),
                        Math.max(
                                0,
                                exchange.proxyRequest.timeLeftMicros()
                                        - FALLBACK_RESPONSE_MARGIN_MICROS),
                        TimeUnit.MICROSECONDS);
    }

    // From here on its time counts, and that of its attempt.
    private void onUploadComplete(Exchange exchange) {
        exchange.uploading = false;
        if (exchange.closed) {
            return;
        }
        long now = nowMicros();
        exchange.deadlineMicros = now + exchange.proxyRequest.timeLeftMicros();
        exchange.fallbackTimer.cancel(false);
        scheduleFallback(exchange);
        for (ExchangeAttempt attempt : exchange.attempts) {
            if (!attempt.ended) {
                attempt.startedAtMicros = now;
                startTimeout(attempt);
            }
        }
        submitEvent(
                eventTime ->
                        policy.onUploadCompleted(
                                eventTime,
                                exchange.id,
                                exchange.proxyRequest.timeLeftMicros(),
                                this));
    }

    private void startTimeout(ExchangeAttempt attempt) {
        attempt.timeoutTask =
                loop.schedule(
                        () -> abandonAttempt(attempt, AttemptOutcome.TIMEOUT),
                        attempt.timeoutMicros,
                        TimeUnit.MICROSECONDS);
    }

    private void onClientDisconnected(Exchange exchange) {
        if (exchange.streaming) {
            finishStreaming(exchange);
            exchange.responseBody.discard();
            abandonAttempt(exchange.streamingAttempt, AttemptOutcome.CANCELLED);
        } else if (!exchange.closed) {
            closeExchange(exchange);
            submitEvent(now -> policy.onClientDisconnected(now, exchange.id, this));
            removeIfFinished(exchange);
        }
    }

    // What binds is the instant in which an attempt begins, not when the loop reads the client's
    // end.
    private void closeIfDisconnected(Exchange exchange) {
        if (!exchange.closed && !exchange.responseSender.isClientConnected()) {
            onClientDisconnected(exchange);
        }
    }

    // Rule 1 where the module stays silent or has thrown: the client gets a failure while it still
    // listens.
    private void sendFallbackResponse(Exchange exchange) {
        if (exchange.uploading && exchange.attemptsInFlight > 0) {
            // The client's time has not begun
            scheduleFallback(exchange);
        } else if (!exchange.closed) {
            fallbackResponseCount++;
            if (Long.bitCount(fallbackResponseCount) == 1) {
                log.accept("last-resort answers: " + fallbackResponseCount);
            }
            closeExchange(exchange);
            metrics.recordFailed(exchange.proxyRequest.requestClass());
            exchange.responseSender.fail();
            submitEvent(now -> policy.onClientDisconnected(now, exchange.id, this));
            for (ExchangeAttempt attempt : exchange.attempts) {
                if (!attempt.ended) {
                    cancel(exchange.id, attempt.number);
                }
            }
            removeIfFinished(exchange);
        }
    }

    // The one place where the final answer of a request is settled.
    private void closeExchange(Exchange exchange) {
        markAnswered(exchange);
        onResponseSettled();
    }

    private static void markAnswered(Exchange exchange) {
        assert !exchange.closed
                : "a second final answer for " + exchange.proxyRequest.clientRequestId();
        exchange.closed = true;
        exchange.fallbackTimer.cancel(false);
    }

    private void onResponseSettled() {
        pendingRequestCount--;
        if (pendingRequestCount == 0 && whenIdle != null) {
            loop.execute(whenIdle);
        }
    }

    private void removeIfFinished(Exchange exchange) {
        if (exchange.closed && exchange.attemptsInFlight == 0) {
            exchanges.remove(exchange.id);
        }
    }

    // A long answer has begun: it is the final one, and the server's work is done.
    private void onResponseStarted(
            ExchangeAttempt attempt,
            HttpResponse responseHead,
            long contentLength,
            BodyRelay body,
            LoadReport load) {
        Exchange exchange = attempt.exchange;
        if (exchange.closed) {
            body.discard();
            return;
        }
        if (attempt.timeoutTask != null) {
            attempt.timeoutTask.cancel(false);
        }
        markAnswered(exchange);
        exchange.streamingAttempt = attempt;
        exchange.streaming = true;
        exchange.responseBody = body;
        long latencyMicros = nowMicros() - attempt.startedAtMicros;
        exchange.responseSender.send(
                responseHead,
                contentLength,
                body,
                complete -> {
                    if (exchange.streaming) {
                        if (complete) {
                            metrics.recordServed(exchange.proxyRequest.requestClass());
                        } else {
                            metrics.recordFailed(exchange.proxyRequest.requestClass());
                        }
                        finishStreaming(exchange);
                    }
                });
        submitEvent(
                now ->
                        policy.onAttemptEnded(
                                now,
                                exchange.id,
                                attempt.number,
                                AttemptOutcome.OK,
                                latencyMicros,
                                true,
                                load,
                                this));
    }

    private void finishStreaming(Exchange exchange) {
        exchange.streaming = false;
        onResponseSettled();
    }

    // What was begun can't be retried: the module hears only that the server broke it off.
    private void onStreamEnded(ExchangeAttempt attempt, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.RESET) {
            events.record(
                    EventLog.Kind.ATTEMPT,
                    attempt.exchange.proxyRequest.clientRequestId(),
                    () ->
                            attempt.number
                                    + " to "
                                    + attempt.endpointId
                                    + " broke off an answer that was being passed on");
            submitEvent(now -> policy.onResponseAborted(now, attempt.endpointId, this));
        }
    }

    private void onAttemptEnded(
            ExchangeAttempt attempt,
            AttemptOutcome outcome,
            FullHttpResponse response,
            LoadReport load) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        if (attempt.timeoutTask != null) {
            attempt.timeoutTask.cancel(false);
        }
        Exchange exchange = attempt.exchange;
        exchange.attemptsInFlight--;
        if (attempt == exchange.streamingAttempt) {
            onStreamEnded(attempt, outcome);
            removeIfFinished(exchange);
            return;
        }
        long latencyMicros = nowMicros() - attempt.startedAtMicros;
        if (outcome == AttemptOutcome.OK && !exchange.closed) {
            closeExchange(exchange);
            metrics.recordServed(exchange.proxyRequest.requestClass());
            exchange.responseSender.send(response);
        }
        if (outcome != AttemptOutcome.OK) {
            events.record(
                    EventLog.Kind.ATTEMPT,
                    exchange.proxyRequest.clientRequestId(),
                    () ->
                            attempt.number
                                    + " to "
                                    + attempt.endpointId
                                    + " "
                                    + outcome
                                    + " after "
                                    + latencyMicros / 1000
                                    + " ms"
                                    + (exchange.closed ? ", the request was closed" : ""));
        }
        submitEvent(
                now ->
                        policy.onAttemptEnded(
                                now,
                                exchange.id,
                                attempt.number,
                                outcome,
                                latencyMicros,
                                exchange.closed,
                                load,
                                this));
        removeIfFinished(exchange);
    }

    // Before the request's last byte is written nothing can have run.
    private void abandonAttempt(ExchangeAttempt attempt, AttemptOutcome outcomeIfWritten) {
        if (!attempt.ended) {
            boolean written = attempt.upstreamRequest != null && attempt.upstreamRequest.abandon();
            onAttemptEnded(
                    attempt, written ? outcomeIfWritten : AttemptOutcome.NOT_SENT, null, null);
        }
    }

    /** News of the list of upstreams; null: the call or the watch has failed. */
    public void onEndpointListUpdate(EndpointListKind kind, EndpointList endpointList) {
        if (endpointList != null) {
            upstreamPool.updateEndpoints(endpointList, nowMicros());
        }
        submitEvent(
                now ->
                        policy.onEndpointList(
                                now,
                                kind,
                                endpointList == null ? List.of() : endpointList.endpoints(),
                                this));
    }

    /** What the module would keep over a crash; null: nothing. */
    public PolicySnapshot policySnapshot() {
        return policy.snapshot(nowMicros());
    }

    /** Gives the module what was kept {@code ageMicros} µs ago. */
    public void restorePolicy(PolicySnapshot snapshot, long ageMicros) {
        submitEvent(now -> policy.restore(now, snapshot, ageMicros));
    }

    /** The module is told nothing more, and so asks for nothing. */
    public void retire() {
        retired = true;
    }

    /** Runs {@code callback} on the loop, once no final answer is owed any more. */
    public void whenIdle(Runnable callback) {
        whenIdle = callback;
        if (pendingRequestCount == 0) {
            loop.execute(callback);
        }
    }

    /** Requests that have been taken and have no final answer yet. */
    public int pendingRequestCount() {
        return pendingRequestCount;
    }

    /** Listed upstreams that get nothing now. */
    public int avoidedEndpointCount() {
        return policy.ejectedEndpointCount(nowMicros());
    }

    private String describeHistory(Exchange exchange) {
        return exchange.attempts.size()
                + " attempts, "
                + (exchange.deadlineMicros - nowMicros()) / 1000
                + " ms left of "
                + exchange.proxyRequest.timeLeftMicros() / 1000;
    }

    public String summary() {
        return acceptedRequestCount
                + " requests taken, "
                + pendingRequestCount
                + " unanswered, "
                + fallbackResponseCount
                + " last-resort answers, "
                + policyFaultCount
                + " faults";
    }

    // ---------------------------------------------------------------- the module's actions

    @Override
    public void send(String requestId, String endpointId, long timeoutMicros) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange == null) {
            return;
        }
        closeIfDisconnected(exchange);
        long now = nowMicros();
        ExchangeAttempt attempt =
                new ExchangeAttempt(exchange, exchange.attempts.size(), endpointId, now);
        exchange.attempts.add(attempt);
        exchange.attemptsInFlight++;
        long remainingMicros =
                exchange.deadlineMicros
                        - FALLBACK_RESPONSE_MARGIN_MICROS
                        - FINAL_ATTEMPT_MARGIN_MICROS
                        - now;
        long attemptTimeoutMicros =
                timeoutMicros == 0 ? remainingMicros : Math.min(timeoutMicros, remainingMicros);
        boolean canSend =
                !exchange.closed
                        && attemptTimeoutMicros > 0
                        && attempt.number < boot.settings().limits().maxAttempts()
                        && exchange.proxyRequest.isReplayable();
        if (canSend) {
            attempt.timeoutMicros = attemptTimeoutMicros;
            if (!exchange.uploading) {
                startTimeout(attempt);
            }
            attempt.upstreamRequest =
                    upstreamPool.send(
                            endpointId,
                            exchange.proxyRequest,
                            attemptTimeoutMicros,
                            new UpstreamResponseListener() {
                                @Override
                                public boolean mayStart() {
                                    closeIfDisconnected(exchange);
                                    return !exchange.closed
                                            && policy.canStartAttempt(
                                                    nowMicros(), exchange.id, attempt.number);
                                }

                                @Override
                                public void onComplete(
                                        AttemptOutcome outcome,
                                        FullHttpResponse answer,
                                        LoadReport load) {
                                    Dispatcher.this.onAttemptEnded(attempt, outcome, answer, load);
                                }

                                @Override
                                public void onResponseStarted(
                                        HttpResponse head,
                                        long length,
                                        BodyRelay body,
                                        LoadReport load) {
                                    Dispatcher.this.onResponseStarted(
                                            attempt, head, length, body, load);
                                }
                            });
        } else {
            onAttemptEnded(attempt, AttemptOutcome.NOT_SENT, null, null);
        }
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && !exchange.closed) {
            closeExchange(exchange);
            events.record(
                    EventLog.Kind.REFUSED,
                    exchange.proxyRequest.clientRequestId(),
                    () -> describeHistory(exchange));
            metrics.recordRejected(exchange.proxyRequest.requestClass());
            exchange.responseSender.reject(retryAfterMicros);
            removeIfFinished(exchange);
        }
    }

    @Override
    public void fail(String requestId) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && !exchange.closed) {
            closeExchange(exchange);
            events.record(
                    EventLog.Kind.FAILED,
                    exchange.proxyRequest.clientRequestId(),
                    () -> describeHistory(exchange));
            metrics.recordFailed(exchange.proxyRequest.requestClass());
            exchange.responseSender.fail();
            removeIfFinished(exchange);
        }
    }

    @Override
    public void cancel(String requestId, int attemptNumber) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && attemptNumber < exchange.attempts.size()) {
            abandonAttempt(exchange.attempts.get(attemptNumber), AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void checkHealth(String endpointId) {
        long sentAtMicros = nowMicros();
        boolean withLoadReport = boot.settings().loadReportSource() != LoadReportSource.NONE;
        upstreamPool.sendHealthCheck(
                endpointId,
                withLoadReport,
                (outcome, response, load) ->
                        submitEvent(
                                now ->
                                        policy.onHealthCheckResult(
                                                now,
                                                endpointId,
                                                outcome,
                                                now - sentAtMicros,
                                                load,
                                                this)));
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        if (discovery != null) {
            discovery.setWatching(enabled);
        }
    }

    @Override
    public void fetchEndpointList() {
        if (discovery != null) {
            discovery.fetchList();
        }
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        upstreamPool.closeIdleConnections(endpointId);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        if (peers != null) {
            peers.send(peer, data);
        }
    }

    @Override
    public void scheduleTimer(long delayMicros) {
        loop.schedule(
                () -> submitEvent(now -> policy.onTimer(now, this)),
                delayMicros,
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }
}
