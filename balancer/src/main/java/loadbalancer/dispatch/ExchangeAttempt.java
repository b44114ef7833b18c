package loadbalancer.dispatch;

import java.util.concurrent.Future;
import loadbalancer.upstream.AttemptProgress;
import loadbalancer.upstream.UpstreamRequest;

/**
 * One attempt of a request. It owns its timeout, which is cancelled when the attempt ends or its
 * response begins to stream. Event loop thread only.
 */
final class ExchangeAttempt {
    private final Exchange exchange;
    private final int number;
    private final String endpointId;
    private long startedAtMicros;
    private long timeoutMicros;
    // Null until the pool has returned it. The attempt may end before that.
    private UpstreamRequest upstreamRequest;
    private Future<?> timeoutTask;
    // Known only of an abandoned attempt.
    private AttemptProgress progressAtEnd = AttemptProgress.NOT_STARTED;
    private boolean ended;

    ExchangeAttempt(Exchange exchange, int number, String endpointId, long startedAtMicros) {
        this.exchange = exchange;
        this.number = number;
        this.endpointId = endpointId;
        this.startedAtMicros = startedAtMicros;
    }

    Exchange exchange() {
        return exchange;
    }

    /** Returns the number of the attempt, counted from 0 within its request. */
    int number() {
        return number;
    }

    String endpointId() {
        return endpointId;
    }

    long latencyMicros(long nowMicros) {
        return nowMicros - startedAtMicros;
    }

    /**
     * Restarts the latency measurement at {@code nowMicros}, when the request's body is complete.
     */
    void restart(long nowMicros) {
        startedAtMicros = nowMicros;
    }

    long timeoutMicros() {
        return timeoutMicros;
    }

    void setTimeoutMicros(long newTimeoutMicros) {
        timeoutMicros = newTimeoutMicros;
    }

    void setTimeoutTask(Future<?> task) {
        timeoutTask = task;
    }

    void cancelTimeout() {
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
        }
    }

    void setUpstreamRequest(UpstreamRequest request) {
        upstreamRequest = request;
    }

    /** Returns how far the attempt had come when it ended without its response. */
    AttemptProgress progressAtEnd() {
        return progressAtEnd;
    }

    /**
     * Abandons the upstream request, if there is one.
     *
     * @return whether the request's last byte had been written
     */
    boolean abandonUpstreamRequest() {
        if (upstreamRequest != null) {
            progressAtEnd = upstreamRequest.progress();
        }
        return upstreamRequest != null && upstreamRequest.abandon();
    }

    boolean hasEnded() {
        return ended;
    }

    /** Ends the attempt. Called once. */
    void end() {
        ended = true;
        cancelTimeout();
        exchange.onAttemptEnded();
    }
}
