package loadbalancer.dispatch;

import java.util.concurrent.Future;
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
    // Null until the pool has returned it: the attempt may end before
    private UpstreamRequest upstreamRequest;
    private Future<?> timeoutTask;
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

    /** Counted from 0 within the request. */
    int number() {
        return number;
    }

    String endpointId() {
        return endpointId;
    }

    long latencyMicros(long nowMicros) {
        return nowMicros - startedAtMicros;
    }

    /** The latency counts from {@code nowMicros}: the request's body is complete only now. */
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

    /** Gives up what is under way; whether the request's last byte had been written. */
    boolean abandonUpstreamRequest() {
        return upstreamRequest != null && upstreamRequest.abandon();
    }

    boolean hasEnded() {
        return ended;
    }

    /** Ends the attempt, once. */
    void end() {
        ended = true;
        cancelTimeout();
        exchange.onAttemptEnded();
    }
}
