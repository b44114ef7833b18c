package loadbalancer.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.admission.PendingQueue;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.endpoint.Attempt;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.LatencyTracker;
import loadbalancer.routing.endpoint.PendingRequest;

/**
 * The open requests, each from its arrival to its final response and the end of its last attempt:
 * it is sent at once if it may be, otherwise it waits in the pending queue until an endpoint can
 * take it or its time is over. Each request gets exactly one final response, in time.
 *
 * <p>Bound: the requests that the caller has open. Not thread-safe: belongs to the thread of its
 * {@link RoutingEngine}.
 */
final class RequestLifecycle {
    // A final response that is due within this number of timer intervals is given now
    private static final int RESPONSE_MARGIN_TICKS = 2;
    // A request is sent at the latest this number of usual latencies before its objective
    private static final int START_MARGIN_LATENCIES = 2;
    // A request waits at least its time until the objective divided by this
    private static final int MIN_WAIT_DIVISOR = 4;

    private final RoutingLimits limits;
    private final LatencyTracker latencyTracker;
    private final CandidateFilter candidateFilter;
    private final JsqDasSelector selector;
    private final RetryPolicy retryPolicy;
    private final KeyOrdering keyOrdering;
    private final AttemptRecorder attemptRecorder;
    private final long responseMarginMicros;
    private final Map<String, PendingRequest> openRequests = new LinkedHashMap<>();
    private final PendingQueue pendingQueue = new PendingQueue(this::latestStartMicros);

    /**
     * @param tickMicros µs between timer events while requests are open
     */
    RequestLifecycle(
            RoutingLimits limits,
            LatencyTracker latencyTracker,
            CandidateFilter candidateFilter,
            JsqDasSelector selector,
            RetryPolicy retryPolicy,
            KeyOrdering keyOrdering,
            AttemptRecorder attemptRecorder,
            long tickMicros) {
        this.limits = limits;
        this.latencyTracker = latencyTracker;
        this.candidateFilter = candidateFilter;
        this.selector = selector;
        this.retryPolicy = retryPolicy;
        this.keyOrdering = keyOrdering;
        this.attemptRecorder = attemptRecorder;
        this.responseMarginMicros = RESPONSE_MARGIN_TICKS * tickMicros;
    }

    /** Whether no request is open. */
    boolean isIdle() {
        return openRequests.isEmpty();
    }

    /** The open request of an id, or null: events about requests that are over are legal. */
    PendingRequest find(String requestId) {
        return openRequests.get(requestId);
    }

    /** Opens a request; {@link #dispatch} or {@link #rejectOrFail} must follow. */
    void open(PendingRequest request) {
        openRequests.put(request.id(), request);
    }

    /** Sends an admitted request, or queues it. */
    void dispatch(PendingRequest request, boolean ordered, long now, RoutingActions actions) {
        if (ordered) {
            keyOrdering.add(request);
        }
        sendOrEnqueue(request, now, actions);
    }

    /** Gives the final response: a rejection where a resubmission is harmless, else a failure. */
    void rejectOrFail(PendingRequest request, RoutingActions actions) {
        request.close();
        if (request.isSafeToResubmit()) {
            actions.reject(request.id(), retryPolicy.retryAfterMicros());
        } else {
            actions.fail(request.id());
        }
        removeIfFinished(request);
    }

    /** See {@link loadbalancer.routing.api.RoutingPolicy#canStartAttempt}. */
    boolean canStartAttempt(long now, String requestId, int attemptNumber) {
        PendingRequest request = openRequests.get(requestId);
        if (request == null || request.isClosed()) {
            return false;
        }
        Attempt attempt = request.attempt(attemptNumber);
        return candidateFilter.isStillListed(attempt.endpoint())
                && (request.firstAttemptThatMayHaveRun() == attempt
                        || retryPolicy.isRepeatAllowed(request, now));
    }

    /**
     * Handles the end of an attempt: retries its request or gives the final response, and sends
     * queued requests. The end of an attempt that is not in flight is ignored.
     */
    void onAttemptEnded(
            String requestId,
            int attemptNumber,
            AttemptOutcome outcome,
            long latencyMicros,
            boolean closed,
            LoadReport load,
            long now,
            RoutingActions actions) {
        PendingRequest request = openRequests.get(requestId);
        if (request == null || attemptNumber >= request.attemptCount()) {
            return;
        }
        Attempt attempt = request.attempt(attemptNumber);
        if (!attempt.isInFlight()) {
            return;
        }
        attemptRecorder.recordEnd(attempt, outcome, latencyMicros, load, now, actions);
        keyOrdering.onAttemptEnded(attempt, outcome, now);
        if (closed) {
            closeAndCancel(request, actions);
        } else if (!request.isClosed() && request.attemptsInFlight() == 0) {
            retryOrFinish(request, outcome, now, actions);
        }
        removeIfFinished(request);
        drainPendingQueue(now, actions);
    }

    /**
     * The client of a request has disconnected: its attempts are cancelled, it gets no response.
     */
    void onClientDisconnected(String requestId, RoutingActions actions) {
        PendingRequest request = openRequests.get(requestId);
        if (request != null && !request.isClosed()) {
            closeAndCancel(request, actions);
            pendingQueue.remove(request);
            removeIfFinished(request);
        }
    }

    /** Sends queued requests as endpoints become free, those within their tenant's quota first. */
    void drainPendingQueue(long now, RoutingActions actions) {
        for (List<PendingRequest> queue : pendingQueue.queues()) {
            Iterator<PendingRequest> iterator = queue.iterator();
            while (iterator.hasNext()) {
                PendingRequest request = iterator.next();
                if (request.isClosed() || trySend(request, now, actions)) {
                    request.onDequeued();
                    iterator.remove();
                } else if (isUnrestricted(request)) {
                    // It may be sent to any endpoint, so none is available for the others either
                    return;
                }
            }
        }
    }

    // Whether neither earlier attempts nor ordering nor placement exclude any endpoint.
    private static boolean isUnrestricted(PendingRequest request) {
        RequestClass requestClass = request.requestClass();
        return !request.hasAttempts()
                && request.keyQueue() == null
                && requestClass.allowedZones().isEmpty()
                && requestClass.allowedMachineTypes().isEmpty();
    }

    /**
     * Rejects or fails queued requests whose time is over or that may not be sent any more: one
     * without attempts as soon as it can't be served within its latency objective, others in time
     * before their deadline.
     */
    void finishOverdueRequests(long now, RoutingActions actions) {
        pendingQueue.toList().forEach(request -> finishIfOverdue(request, now, actions));
    }

    private void finishIfOverdue(PendingRequest request, long now, RoutingActions actions) {
        long latestResponseAtMicros = request.deadlineMicros() - responseMarginMicros;
        long giveUpAtMicros =
                !request.hasAttempts()
                        ? Math.min(latestResponseAtMicros, latestStartMicros(request))
                        : latestResponseAtMicros;
        if (now >= giveUpAtMicros || !retryPolicy.isRepeatAllowed(request, now)) {
            pendingQueue.remove(request);
            rejectOrFail(request, actions);
        }
    }

    /** Sends hedged requests for those that have waited too long for their response. */
    void hedgeSlowRequests(long now, RoutingActions actions) {
        openRequests.values().forEach(request -> hedgeIfSlow(request, now, actions));
    }

    private void hedgeIfSlow(PendingRequest request, long now, RoutingActions actions) {
        if (!retryPolicy.shouldHedge(request, now)) {
            return;
        }
        List<EndpointState> candidates = candidateFilter.untriedCandidates(request, now);
        if (!candidates.isEmpty()) {
            retryPolicy.onHedge();
            send(request, selector.select(candidates, now), now, actions);
        }
    }

    // When a request must be sent to be served within its objective; one whose objective has passed
    // does not wait.
    private long latestStartMicros(PendingRequest request) {
        long objectiveMicros = request.latencyObjectiveAtMicros() - request.arrivedAtMicros();
        if (objectiveMicros <= 0) {
            return request.arrivedAtMicros();
        }
        double usualLatencyMicros = latencyTracker.usualMicros(request.classIndex());
        return Math.max(
                request.arrivedAtMicros() + objectiveMicros / MIN_WAIT_DIVISOR,
                request.latencyObjectiveAtMicros()
                        - (long) (START_MARGIN_LATENCIES * usualLatencyMicros));
    }

    private void retryOrFinish(
            PendingRequest request, AttemptOutcome outcome, long now, RoutingActions actions) {
        if (retryPolicy.allowsRetry(request, outcome, now)) {
            retryPolicy.onRetry(outcome);
            sendOrEnqueue(request, now, actions);
        } else {
            rejectOrFail(request, actions);
        }
    }

    private void sendOrEnqueue(PendingRequest request, long now, RoutingActions actions) {
        if (trySend(request, now, actions)) {
            return;
        }
        if (now >= request.deadlineMicros() - responseMarginMicros) {
            rejectOrFail(request, actions);
        } else {
            pendingQueue.add(request);
        }
    }

    private boolean trySend(PendingRequest request, long now, RoutingActions actions) {
        if (!KeyOrdering.isNext(request, now) || !retryPolicy.isRepeatAllowed(request, now)) {
            return false;
        }
        List<EndpointState> candidates = candidateFilter.candidates(request, now);
        if (candidates.isEmpty()) {
            return false;
        }
        send(request, selector.select(candidates, now), now, actions);
        return true;
    }

    private void send(
            PendingRequest request, EndpointState endpoint, long now, RoutingActions actions) {
        attemptRecorder.recordStart(request, endpoint, now);
        long timeoutMicros = retryPolicy.attemptTimeoutMicros(request, now);
        actions.send(request.id(), endpoint.descriptor().id(), timeoutMicros);
    }

    private void closeAndCancel(PendingRequest request, RoutingActions actions) {
        request.close();
        if (!limits.cancellationAllowed() || request.isStreaming()) {
            return;
        }
        for (int attemptNumber = 0; attemptNumber < request.attemptCount(); attemptNumber++) {
            if (request.attempt(attemptNumber).isInFlight()) {
                actions.cancel(request.id(), attemptNumber);
            }
        }
    }

    private void removeIfFinished(PendingRequest request) {
        if (request.isFinished()) {
            openRequests.remove(request.id());
            keyOrdering.remove(request);
        }
    }
}
