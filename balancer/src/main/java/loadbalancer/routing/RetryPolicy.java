package loadbalancer.routing;

import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.Attempt;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.LatencyTracker;
import loadbalancer.routing.endpoint.PendingRequest;

/**
 * Decides whether and when a request gets a further attempt: retries after failures and hedged
 * requests, the budget that bounds both, and the time-outs of attempts.
 *
 * <p>There is no backoff between the attempts of a request: a retry starts as soon as the previous
 * attempt has failed, at an endpoint that the request was not sent to yet if there is one. Delays
 * are applied in three other places:
 *
 * <ul>
 *   <li>{@link #retryAfterMicros}: the delay that a rejected client is asked to wait (Retry-After);
 *   <li>{@link loadbalancer.routing.health.OutlierEjection}: the time for which an endpoint that
 *       rejects or fails gets no attempts of any request;
 *   <li>{@link KeyOrdering}: the cooldown of a key after an attempt that may still be running.
 * </ul>
 *
 * <p>To add a delay between attempts, change the place in {@link RequestLifecycle} that sends or
 * queues a retry after an attempt has ended. Such a change must preserve these rules:
 *
 * <ul>
 *   <li>a request that may have run is repeated only as its class allows, see {@link
 *       #isRepeatAllowed} and {@link #isWithinDeduplicationScope};
 *   <li>the final response is due before the deadline, so a delay reduces the remaining time, see
 *       {@link #allowsRetry}; requests whose time is over get their final response while queued;
 *   <li>retries of attempts that may have run, and hedged requests, add at most {@link
 *       #BUDGET_PER_REQUEST} attempts per arrival beyond {@link #MAX_BUDGET} saved ones, so that
 *       they cannot increase an overload.
 * </ul>
 *
 * <p>{@code RetryPolicyTest}, {@code RoutingInvariantsTest} and {@code
 * RandomizedRoutingInvariantsTest} check these rules. {@code KeyOrderingTest} ({@code
 * keyOwnerIsRetriedWithoutDelay}) and {@code RetryPolicyTest} ({@code
 * unexecutedNonIdempotentRequestIsRetried}) expect a retry without delay.
 *
 * <p>Not thread-safe: used only on the thread of its {@link RoutingEngine}.
 */
final class RetryPolicy {
    // Requested delay of rejected clients, about the duration of an overload
    private static final long RETRY_AFTER_MICROS = 2_000_000;
    // Number of additional attempts that each arriving request adds to the budget
    private static final double BUDGET_PER_REQUEST = 0.2;
    private static final double MAX_BUDGET = 10;
    // A smaller budget is reserved for retries
    private static final double MIN_BUDGET_FOR_HEDGING = 4;
    // If the late weight factor is smaller, a late response is not worth the work it costs
    private static final double MIN_LATE_WEIGHT_FACTOR = 0.5;
    // A hedged request is sent this many expected latencies before the latency objective
    private static final int HEDGE_HEADROOM_LATENCIES = 2;
    // Minimum time-out of an attempt that leaves time for a retry, in usual latencies
    private static final int MIN_TIMEOUT_LATENCIES = 3;

    private final RoutingSettings settings;
    private final LatencyTracker latencyTracker;
    private final long tickMicros;
    // Number of additional attempts that may be made now
    private double budget = MAX_BUDGET;

    /**
     * Creates a policy with a full budget.
     *
     * @param tickMicros µs between timer events, the maximum delay of a decision
     */
    RetryPolicy(RoutingSettings settings, LatencyTracker latencyTracker, long tickMicros) {
        this.settings = settings;
        this.latencyTracker = latencyTracker;
        this.tickMicros = tickMicros;
    }

    /** Adds to the budget for a request that has arrived. */
    void onRequest() {
        budget = Math.min(MAX_BUDGET, budget + BUDGET_PER_REQUEST);
    }

    /**
     * Returns whether idempotency allows a further attempt of a request: it cannot have run yet, or
     * it is idempotent, or endpoints still remember its idempotency key.
     */
    boolean isRepeatAllowed(PendingRequest request, long now) {
        Attempt firstAttempt = request.firstAttemptThatMayHaveRun();
        if (firstAttempt == null) {
            return true;
        }
        RequestClass requestClass = request.requestClass();
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENCY_KEY ->
                    now - firstAttempt.sentAtMicros()
                            < requestClass.idempotencyWindowMicros() - tickMicros;
            case NON_IDEMPOTENT -> false;
        };
    }

    /**
     * Returns whether deduplication allows an attempt at an endpoint: the request cannot have run
     * yet, or it is idempotent, or the endpoint recognizes its idempotency key because it is in the
     * zone or cell of the first attempt that may have run, as required by the scope of the class.
     */
    static boolean isWithinDeduplicationScope(PendingRequest request, EndpointState endpoint) {
        RequestClass requestClass = request.requestClass();
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        Attempt firstAttempt = request.firstAttemptThatMayHaveRun();
        if (firstAttempt == null) {
            return true;
        }
        return switch (requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE ->
                    isSameKnown(
                            endpoint.descriptor().zone(), firstAttempt.descriptorAtSend().zone());
            case CELL ->
                    isSameKnown(
                            endpoint.descriptor().cell(), firstAttempt.descriptorAtSend().cell());
        };
    }

    // Returns whether two zones or cells are known and equal. Unknown ones are negative.
    private static boolean isSameKnown(int number, int otherNumber) {
        return number == otherNumber && number >= 0;
    }

    /**
     * Returns whether a request may be retried now. A retry costs no budget if the endpoint did not
     * run the last attempt.
     *
     * @param outcome how the last attempt ended
     */
    boolean allowsRetry(PendingRequest request, AttemptOutcome outcome, long now) {
        return isRepeatAllowed(request, now)
                && (outcome.neverRan() || budget >= 1)
                && hasAttemptsLeft(request)
                && now < retryDeadlineMicros(request) - tickMicros;
    }

    // Returns the time after which a retry is useless. The client of a non-idempotent request does
    // not repeat it, so a response after the latency objective is worth little.
    private static long retryDeadlineMicros(PendingRequest request) {
        return request.requestClass().idempotency() == Idempotency.IDEMPOTENT
                ? request.deadlineMicros()
                : request.latencyObjectiveAtMicros();
    }

    /** Deducts a retry that {@link #allowsRetry} has allowed from the budget. */
    void onRetry(AttemptOutcome outcome) {
        if (!outcome.neverRan()) {
            budget--;
        }
    }

    /**
     * Returns whether to send a hedged request because a request has waited longer than nearly all
     * others of its class. Causes are a lost response, a stalled endpoint or a connection that was
     * dropped without notice. If all endpoints slow down at once, hedging is limited by the budget.
     */
    boolean shouldHedge(PendingRequest request, long now) {
        if (request.attemptsInFlight() != 1
                || request.isClosed()
                || request.isStreaming()
                || request.requestClass().idempotency() != Idempotency.IDEMPOTENT
                || now >= request.latencyObjectiveAtMicros()
                || !hasAttemptsLeft(request)
                || budget < MIN_BUDGET_FOR_HEDGING) {
            return false;
        }
        Attempt lastAttempt = request.lastAttempt();
        return now - lastAttempt.sentAtMicros() >= hedgeDelayMicros(request);
    }

    // Returns the delay before hedging: at least the expected latency, otherwise as long as leaves
    // time to serve the hedged request within the latency objective.
    private double hedgeDelayMicros(PendingRequest request) {
        double expectedLatencyMicros =
                latencyTracker.usualLatencyMicros(request.classIndex())
                        * request.expectedLatencyRatio();
        return Math.max(
                expectedLatencyMicros,
                request.latencyObjectiveAtMicros()
                        - request.arrivedAtMicros()
                        - HEDGE_HEADROOM_LATENCIES * expectedLatencyMicros);
    }

    /** Deducts a hedged request that {@link #shouldHedge} has allowed from the budget. */
    void onHedge() {
        budget--;
    }

    private boolean hasAttemptsLeft(PendingRequest request) {
        return request.attemptCount() < settings.limits().maxAttempts();
    }

    /**
     * Returns the time-out of an attempt that is sent now, µs; 0 means the request's deadline.
     *
     * <p>A request that is not idempotent times out at its latency objective if a late response is
     * worth little: its client does not repeat it, and ending it frees capacity for requests that
     * can be served in time. An idempotent request would be repeated, so it has a time-out only if
     * hedging is not allowed, to leave time for a retry. Streamed responses have no time-out.
     */
    long attemptTimeoutMicros(PendingRequest request, long now) {
        RequestClass requestClass = request.requestClass();
        if (requestClass.streamed()) {
            return 0;
        }
        if (requestClass.idempotency() != Idempotency.IDEMPOTENT) {
            boolean timesOutAtObjective =
                    requestClass.lateWeightFactor() < MIN_LATE_WEIGHT_FACTOR
                            && request.latencyObjectiveAtMicros() > now;
            return timesOutAtObjective ? request.latencyObjectiveAtMicros() - now : 0;
        }
        if (settings.limits().hedgingAllowed() || !hasAttemptsLeft(request)) {
            return 0;
        }
        long remainingMicros = request.deadlineMicros() - now;
        double usualLatencyMicros = latencyTracker.usualLatencyMicros(request.classIndex());
        long timeoutMicros =
                Math.max(remainingMicros / 2, (long) (MIN_TIMEOUT_LATENCIES * usualLatencyMicros));
        return Math.max(1, Math.min(remainingMicros, timeoutMicros));
    }

    /**
     * Returns whether an attempt whose response has begun may take until the deadline. Its time-out
     * is there for endpoints that do not respond, and ending a response that has begun gains
     * nothing but for a request that may be repeated, whose time-out leaves time for that.
     */
    static boolean mayResponseTakeUntilDeadline(PendingRequest request) {
        return request.requestClass().idempotency() != Idempotency.IDEMPOTENT;
    }

    /**
     * Returns the delay after which a rejected client may try again, µs; 0 if the settings allow no
     * Retry-After ({@link RoutingLimits#maxRetryAfterMicros}).
     */
    long retryAfterMicros() {
        return Math.min(RETRY_AFTER_MICROS, settings.limits().maxRetryAfterMicros());
    }
}
