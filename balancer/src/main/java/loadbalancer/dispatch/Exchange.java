package loadbalancer.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.ProxyRequest;

/**
 * One client request with its attempts and the state of its final response. It owns the timer of
 * its fallback response, which is cancelled when the final response is settled. Event loop thread
 * only.
 */
final class Exchange {
    /**
     * How long before its deadline a request is failed if nothing else has answered it: the
     * response must reach the client in time.
     */
    private static final long FALLBACK_RESPONSE_MARGIN_MICROS = 6_000;

    /** How long before the fallback response the last attempt ends: the policy may answer first. */
    private static final long FINAL_ATTEMPT_MARGIN_MICROS = 6_000;

    private enum ResponseState {
        /** No final response yet. */
        PENDING,
        /** The final response has begun and is being streamed. */
        STREAMING,
        /** Nothing more is owed to the client. */
        SETTLED
    }

    private final String id;
    private final ProxyRequest proxyRequest;
    private final ResponseSender responseSender;
    private final List<ExchangeAttempt> attempts = new ArrayList<>(2);
    private int attemptsInFlight;
    private long deadlineMicros;
    // The body is still arriving: the client's deadline does not count yet
    private boolean uploading;
    private ResponseState responseState = ResponseState.PENDING;
    // Whose response is or was streamed, or null
    private ExchangeAttempt streamingAttempt;
    private BodyRelay responseBody;
    private Future<?> fallbackTimer;

    Exchange(
            String id,
            ProxyRequest proxyRequest,
            ResponseSender responseSender,
            long deadlineMicros) {
        this.id = id;
        this.proxyRequest = proxyRequest;
        this.responseSender = responseSender;
        this.deadlineMicros = deadlineMicros;
        this.uploading = proxyRequest.upload() != null;
    }

    String id() {
        return id;
    }

    ProxyRequest proxyRequest() {
        return proxyRequest;
    }

    ResponseSender responseSender() {
        return responseSender;
    }

    // ---------------------------------------------------------------- deadline

    /** The client's deadline in µs by the dispatcher's clock. */
    long deadlineMicros() {
        return deadlineMicros;
    }

    /** The delay in µs from the start of the request's time to its fallback response. */
    long fallbackDelayMicros() {
        return Math.max(0, proxyRequest.timeLeftMicros() - FALLBACK_RESPONSE_MARGIN_MICROS);
    }

    /**
     * How long an attempt that starts at {@code nowMicros} may take, in µs; not positive: no time.
     */
    long maxAttemptMicros(long nowMicros) {
        return deadlineMicros
                - FALLBACK_RESPONSE_MARGIN_MICROS
                - FINAL_ATTEMPT_MARGIN_MICROS
                - nowMicros;
    }

    /** Replaces the timer; the caller cancels or has run the one before. */
    void setFallbackTimer(Future<?> timer) {
        fallbackTimer = timer;
    }

    void cancelFallbackTimer() {
        fallbackTimer.cancel(false);
    }

    // ---------------------------------------------------------------- upload

    boolean isUploading() {
        return uploading;
    }

    void markUploaded() {
        uploading = false;
    }

    /** The request's time starts at {@code nowMicros}, when its body is complete. */
    void restartDeadline(long nowMicros) {
        deadlineMicros = nowMicros + proxyRequest.timeLeftMicros();
    }

    // ---------------------------------------------------------------- attempts

    /** The attempts in the order of their numbers; none may be added meanwhile. */
    Iterable<ExchangeAttempt> attempts() {
        return attempts;
    }

    int attemptCount() {
        return attempts.size();
    }

    ExchangeAttempt attempt(int number) {
        return attempts.get(number);
    }

    ExchangeAttempt addAttempt(String endpointId, long nowMicros) {
        ExchangeAttempt attempt = new ExchangeAttempt(this, attempts.size(), endpointId, nowMicros);
        attempts.add(attempt);
        attemptsInFlight++;
        return attempt;
    }

    void onAttemptEnded() {
        attemptsInFlight--;
    }

    boolean hasAttemptsInFlight() {
        return attemptsInFlight > 0;
    }

    // ---------------------------------------------------------------- final response

    /** Whether the final response has been sent or has begun. */
    boolean isClosed() {
        return responseState != ResponseState.PENDING;
    }

    boolean isStreaming() {
        return responseState == ResponseState.STREAMING;
    }

    /**
     * Whether nothing of the request is left: it has its final response and no attempt in flight.
     */
    boolean isFinished() {
        return isClosed() && attemptsInFlight == 0;
    }

    /** PENDING to SETTLED. */
    void settle() {
        leavePending(ResponseState.SETTLED);
    }

    /** PENDING to STREAMING. */
    void startStreaming(ExchangeAttempt attempt, BodyRelay body) {
        leavePending(ResponseState.STREAMING);
        streamingAttempt = attempt;
        responseBody = body;
    }

    /** STREAMING to SETTLED. */
    void finishStreaming() {
        responseState = ResponseState.SETTLED;
    }

    private void leavePending(ResponseState nextState) {
        assert !isClosed() : "a second final answer for " + proxyRequest.clientRequestId();
        responseState = nextState;
        cancelFallbackTimer();
    }

    /** The attempt whose response is or was streamed; null where none was. */
    ExchangeAttempt streamingAttempt() {
        return streamingAttempt;
    }

    /** The body of the response that is or was streamed; null where none was. */
    BodyRelay responseBody() {
        return responseBody;
    }

    /** The history of the request, for the log. */
    String describe(long nowMicros) {
        return attempts.size()
                + " attempts, "
                + (deadlineMicros - nowMicros) / 1000
                + " ms left of "
                + proxyRequest.timeLeftMicros() / 1000;
    }
}
