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
 * Tracks the open requests, each from its arrival to its final response and the end of its last
 * attempt. A request is sent immediately if possible, otherwise it waits in the pending queue until
 * an endpoint can take it or its time is over. Each request gets exactly one final response, in
 * time, unless its client disconnects.
 *
 * <p>The number of tracked requests is bounded by the number that the caller has open. Not
 * thread-safe: used only on the thread of its {@link RoutingEngine}.
 */
final class RequestLifecycle {
    // A final response that is due within this number of timer intervals is sent immediately
    private static final int RESPONSE_MARGIN_TICKS = 2;
    // A queued request is sent at the latest this number of usual latencies before its objective
    private static final int START_MARGIN_LATENCIES = 2;
    // A request may wait at least its time until the objective divided by this number
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
     * Creates a lifecycle without open requests.
     *
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

    /** Returns whether no request is open. */
    boolean isIdle() {
        return openRequests.isEmpty();
    }

    /**
     * Returns the open request with an id, or null if there is none. Events about finished requests
     * are legal.
     */
    PendingRequest find(String requestId) {
        return openRequests.get(requestId);
    }

    /**
     * Adds a request to the open ones. The caller must then call {@link #dispatch} or {@link
     * #rejectOrFail}.
     */
    void open(PendingRequest request) {
        openRequests.put(request.id(), request);
    }

    /**
     * Sends an admitted request, or queues it.
     *
     * @param ordered whether it runs only after earlier requests with its key
     */
    void dispatch(PendingRequest request, boolean ordered, long now, RoutingActions actions) {
        if (ordered) {
            keyOrdering.add(request);
        }
        sendOrEnqueue(request, now, actions);
    }

    /**
     * Sends the final response: a rejection if the client may safely send the request again,
     * otherwise a failure.
     */
    void rejectOrFail(PendingRequest request, RoutingActions actions) {
        request.close();
        if (request.isSafeToResubmit()) {
            actions.reject(request.id(), retryPolicy.retryAfterMicros());
        } else {
            actions.fail(request.id());
        }
        removeIfFinished(request);
    }

    /**
     * Returns whether an attempt that had to wait for a connection may still be sent, see {@link
     * loadbalancer.routing.api.RoutingPolicy#canStartAttempt}.
     */
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
     * Handles the end of an attempt: retries its request or sends the final response, and sends
     * queued requests. The end of an attempt that is not in flight is ignored.
     *
     * @param latencyMicros µs since the attempt was sent
     * @param closed whether the request already has its final response
     * @param load the load report that came with the response, or null
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
     * Handles the disconnection of a client: cancels the attempts of its request, which gets no
     * response.
     */
    void onClientDisconnected(String requestId, RoutingActions actions) {
        PendingRequest request = openRequests.get(requestId);
        if (request != null && !request.isClosed()) {
            closeAndCancel(request, actions);
            pendingQueue.remove(request);
            removeIfFinished(request);
        }
    }

    /** Sends queued requests for which an endpoint is available, those within their quota first. */
    void drainPendingQueue(long now, RoutingActions actions) {
        for (List<PendingRequest> queue : pendingQueue.queues()) {
            Iterator<PendingRequest> iterator = queue.iterator();
            while (iterator.hasNext()) {
                PendingRequest request = iterator.next();
                if (request.isClosed() || trySend(request, now, actions)) {
                    request.onDequeued();
                    iterator.remove();
                } else if (isUnrestricted(request)) {
                    // This request may use any endpoint, so none is available for the others either
                    return;
                }
            }
        }
    }

    // Returns whether no endpoint is excluded by earlier attempts, ordering or placement.
    private static boolean isUnrestricted(PendingRequest request) {
        RequestClass requestClass = request.requestClass();
        return !request.hasAttempts()
                && request.keyQueue() == null
                && requestClass.allowedZones().isEmpty()
                && requestClass.allowedMachineTypes().isEmpty();
    }

    /**
     * Rejects or fails queued requests whose time is over or that may not be sent any more. The
     * time of a request without attempts is over as soon as it cannot be served within its latency
     * objective, that of the others shortly before their deadline.
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

    /** Sends hedged requests for the requests that have waited too long for their response. */
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

    // Returns the latest time at which a request can be sent and still be served within its
    // objective. A request whose objective has already passed does not wait.
    private long latestStartMicros(PendingRequest request) {
        long objectiveMicros = request.latencyObjectiveAtMicros() - request.arrivedAtMicros();
        if (objectiveMicros <= 0) {
            return request.arrivedAtMicros();
        }
        double usualLatencyMicros = latencyTracker.usualLatencyMicros(request.classIndex());
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
