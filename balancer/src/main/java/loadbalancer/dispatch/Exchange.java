package loadbalancer.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.routing.api.AttemptOutcome;

/**
 * One client request with its attempts and the state of its final response. It owns the timer of
 * its fallback response, which is cancelled when the final response is sent or begins to stream.
 * Event loop thread only.
 */
final class Exchange {
    /**
     * Time between the fallback response and the client's deadline, so that the response reaches
     * the client in time.
     */
    private static final long FALLBACK_RESPONSE_MARGIN_MICROS = 6_000;

    /**
     * Time between the end of the last attempt and the fallback response, so that the policy can
     * respond first.
     */
    private static final long FINAL_ATTEMPT_MARGIN_MICROS = 6_000;

    /** The value of {@link #idClaim} of a request that may be forwarded repeatedly. */
    static final int NO_CLAIM = -1;

    private enum ResponseState {
        /** No final response yet. */
        PENDING,
        /** The final response has begun and is being streamed. */
        STREAMING,
        /** The final response is complete, or the request has ended without one. */
        SETTLED
    }

    private final String id;
    private final ProxyRequest proxyRequest;
    private final ResponseSender responseSender;
    private final List<ExchangeAttempt> attempts = new ArrayList<>(2);
    private int attemptsInFlight;
    private long deadlineMicros;
    // True while the body is still arriving. The time until the deadline starts at its end.
    private boolean uploading;
    private ResponseState responseState = ResponseState.PENDING;
    // The attempt whose response is or was streamed, or null.
    private ExchangeAttempt streamingAttempt;
    private BodyRelay responseBody;
    // Null until the request is given to the policy.
    private Future<?> fallbackTimer;
    // The claim of the client's id, or NO_CLAIM.
    private int idClaim = NO_CLAIM;
    private boolean mayHaveRun;

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

    /** Returns the client's deadline in µs by the dispatcher's clock. */
    long deadlineMicros() {
        return deadlineMicros;
    }

    /** Returns the time in µs until the fallback response. */
    long fallbackDelayMicros(long nowMicros) {
        return Math.max(0, deadlineMicros - FALLBACK_RESPONSE_MARGIN_MICROS - nowMicros);
    }

    /**
     * Returns the longest duration in µs of an attempt that starts at {@code nowMicros}; 0 or less
     * if no time is left.
     */
    long maxAttemptMicros(long nowMicros) {
        return deadlineMicros
                - FALLBACK_RESPONSE_MARGIN_MICROS
                - FINAL_ATTEMPT_MARGIN_MICROS
                - nowMicros;
    }

    /** Sets the timer of the fallback response. The previous timer must be cancelled or done. */
    void setFallbackTimer(Future<?> timer) {
        fallbackTimer = timer;
    }

    void cancelFallbackTimer() {
        fallbackTimer.cancel(false);
    }

    /** Returns the claim of the client's id, or {@link #NO_CLAIM}. */
    int idClaim() {
        return idClaim;
    }

    void setIdClaim(int claim) {
        idClaim = claim;
    }

    /** Returns whether an upstream may have run the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Records that an attempt has ended, and whether its upstream may have run the request. */
    void onAttemptOutcome(AttemptOutcome outcome) {
        mayHaveRun |= !outcome.neverRan();
    }

    /** Frees the streamed body, if there is one, which no attempt may have taken. */
    void discardUpload() {
        BodyRelay upload = proxyRequest.upload();
        if (upload != null) {
            upload.discard();
        }
    }

    boolean isUploading() {
        return uploading;
    }

    void markUploaded() {
        uploading = false;
    }

    /** Restarts the time until the deadline at the time at which the body was sent. */
    void restartDeadline(long bodySentAtMicros) {
        deadlineMicros = bodySentAtMicros + proxyRequest.timeLeftMicros();
    }

    /** Returns the attempts in the order of their numbers. None may be added while iterating. */
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

    /**
     * Returns whether the final response has been sent or has begun, or the request has ended
     * without one.
     */
    boolean isClosed() {
        return responseState != ResponseState.PENDING;
    }

    boolean isStreaming() {
        return responseState == ResponseState.STREAMING;
    }

    /** Returns whether the request is closed and has no attempt in flight. */
    boolean isFinished() {
        return isClosed() && attemptsInFlight == 0;
    }

    /** Changes the response state from PENDING to SETTLED. */
    void settle() {
        leavePending(ResponseState.SETTLED);
    }

    /** Changes the response state from PENDING to STREAMING. */
    void startStreaming(ExchangeAttempt attempt, BodyRelay body) {
        leavePending(ResponseState.STREAMING);
        streamingAttempt = attempt;
        responseBody = body;
    }

    /** Changes the response state from STREAMING to SETTLED. */
    void finishStreaming() {
        responseState = ResponseState.SETTLED;
    }

    private void leavePending(ResponseState nextState) {
        assert !isClosed() : "second final response for request " + proxyRequest.clientRequestId();
        responseState = nextState;
        if (fallbackTimer != null) {
            cancelFallbackTimer();
        }
    }

    /** Returns the attempt whose response is or was streamed, or null. */
    ExchangeAttempt streamingAttempt() {
        return streamingAttempt;
    }

    /** Returns the body of the response that is or was streamed, or null. */
    BodyRelay responseBody() {
        return responseBody;
    }

    /** Returns the number of attempts and the time left, for the log. */
    String describe(long nowMicros) {
        return attempts.size()
                + " attempts, "
                + (deadlineMicros - nowMicros) / 1000
                + " ms left of "
                + proxyRequest.timeLeftMicros() / 1000;
    }
}
