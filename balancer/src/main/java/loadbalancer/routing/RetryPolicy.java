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
 * Decides whether and when a request gets a further attempt: retries after failures, hedged
 * requests, the time-out of an attempt and the budget that bounds them.
 *
 * <p>There is no backoff between the attempts of a request: a retry starts as soon as the attempt
 * before it has failed, at an endpoint that the request was not sent to yet if there is one.
 * Waiting happens at three other places:
 *
 * <ul>
 *   <li>{@link #retryAfterMicros}: the delay that a rejected client is asked for (Retry-After);
 *   <li>{@link loadbalancer.routing.health.OutlierEjection}: how long an endpoint that rejects or
 *       fails gets no attempts, of any request;
 *   <li>{@link KeyOrdering}: the cooldown of a key after an attempt that may still run.
 * </ul>
 *
 * <p>To put a delay between attempts, change {@link RequestLifecycle}, where it sends or queues the
 * retry of an attempt that has ended. Such a change must keep:
 *
 * <ul>
 *   <li>a request that may have run is repeated only as its class allows, see {@link
 *       #isRepeatAllowed} and {@link #isWithinDeduplicationScope};
 *   <li>the final response is due before the deadline, so a delay counts against the time left, see
 *       {@link #allowsRetry}; requests whose time is over are ended in the queue;
 *   <li>retries of attempts that may have run, and hedged requests, add at most {@link
 *       #BUDGET_PER_REQUEST} attempts per arrival beyond {@link #MAX_BUDGET} saved ones, so that
 *       they cannot feed an overload.
 * </ul>
 *
 * <p>{@code RetryPolicyTest}, {@code RoutingInvariantsTest} and {@code
 * RandomizedRoutingInvariantsTest} check these. {@code KeyOrderingTest} ({@code
 * keyOwnerIsRetriedWithoutDelay}) and {@code RetryPolicyTest} ({@code
 * unexecutedNonIdempotentRequestIsRetried}) expect a retry without delay.
 *
 * <p>Not thread-safe: belongs to the thread of its {@link RoutingEngine}.
 */
final class RetryPolicy {
    // The delay that rejected clients are asked for: about as long as an overload lasts
    private static final long RETRY_AFTER_MICROS = 2_000_000;
    // Attempts beyond the first that the arrival of a request adds to the budget
    private static final double BUDGET_PER_REQUEST = 0.2;
    private static final double MAX_BUDGET = 10;
    // Part of the budget that is reserved for retries
    private static final double MIN_BUDGET_FOR_HEDGING = 4;
    // Below this factor a late response is not worth its work
    private static final double MIN_LATE_WEIGHT_FACTOR = 0.5;
    // A hedged request is sent this many expected latencies before the latency objective
    private static final int HEDGE_HEADROOM_LATENCIES = 2;
    // The least time-out of an attempt that leaves time for a retry, in usual latencies
    private static final int MIN_TIMEOUT_LATENCIES = 3;

    private final RoutingSettings settings;
    private final LatencyTracker latencyTracker;
    private final long tickMicros;
    // Attempts beyond the first that may still be made
    private double budget = MAX_BUDGET;

    /**
     * @param tickMicros µs between timer events: how late a decision can be
     */
    RetryPolicy(RoutingSettings settings, LatencyTracker latencyTracker, long tickMicros) {
        this.settings = settings;
        this.latencyTracker = latencyTracker;
        this.tickMicros = tickMicros;
    }

    /** The arrival of a request refills the budget. */
    void onRequest() {
        budget = Math.min(MAX_BUDGET, budget + BUDGET_PER_REQUEST);
    }

    /**
     * Whether a request may be sent once more as far as its idempotency goes: it cannot have run
     * yet, or it is idempotent, or its endpoints still remember its idempotency key.
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
     * Whether an endpoint would recognize the idempotency key of a request that may have run: it is
     * in the zone or cell of the first attempt, as the class's scope asks.
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

    // Zones and cells that the list does not name are negative.
    private static boolean isSameKnown(int number, int otherNumber) {
        return number == otherNumber && number >= 0;
    }

    /**
     * Whether a request whose last attempt ended so may have another one now. An attempt that did
     * not run costs nothing of the budget.
     */
    boolean allowsRetry(PendingRequest request, AttemptOutcome outcome, long now) {
        return isRepeatAllowed(request, now)
                && (outcome.neverRan() || budget >= 1)
                && hasAttemptsLeft(request)
                && now < retryDeadlineMicros(request) - tickMicros;
    }

    // A late response to a request that its client will not repeat is worth little.
    private static long retryDeadlineMicros(PendingRequest request) {
        return request.requestClass().idempotency() == Idempotency.IDEMPOTENT
                ? request.deadlineMicros()
                : request.latencyObjectiveAtMicros();
    }

    /** Takes a retry that {@link #allowsRetry} has allowed from the budget. */
    void onRetry(AttemptOutcome outcome) {
        if (!outcome.neverRan()) {
            budget--;
        }
    }

    /**
     * Whether to send a hedged request: the request has waited longer than nearly all of its class
     * do, whatever the cause, such as a lost response, a stall or a connection that was dropped
     * without notice. Where all endpoints slow down at once this costs at most the budget.
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

    // As late as leaves the hedged request time to be served within the latency objective.
    private double hedgeDelayMicros(PendingRequest request) {
        double expectedLatencyMicros =
                latencyTracker.usualMicros(request.classIndex()) * request.expectedLatencyRatio();
        return Math.max(
                expectedLatencyMicros,
                request.latencyObjectiveAtMicros()
                        - request.arrivedAtMicros()
                        - HEDGE_HEADROOM_LATENCIES * expectedLatencyMicros);
    }

    /** Takes a hedged request that {@link #shouldHedge} has asked for from the budget. */
    void onHedge() {
        budget--;
    }

    private boolean hasAttemptsLeft(PendingRequest request) {
        return request.attemptCount() < settings.limits().maxAttempts();
    }

    /**
     * The time-out of an attempt that is sent now, µs; 0: the request's deadline.
     *
     * <p>A request that is not idempotent times out at its latency objective if a late response is
     * worth little: its client will not repeat it, and ending it frees capacity for requests that
     * can be served in time. An idempotent one would be repeated, so it has a time-out only where
     * hedging is forbidden, to leave time for a retry. Streamed responses have none.
     */
    long attemptTimeoutMicros(PendingRequest request, long now) {
        RequestClass requestClass = request.requestClass();
        if (requestClass.streamed()) {
            return 0;
        }
        if (requestClass.idempotency() != Idempotency.IDEMPOTENT) {
            boolean isDroppedWhenLate =
                    requestClass.lateWeightFactor() < MIN_LATE_WEIGHT_FACTOR
                            && request.latencyObjectiveAtMicros() > now;
            return isDroppedWhenLate ? request.latencyObjectiveAtMicros() - now : 0;
        }
        if (settings.limits().hedgingAllowed() || !hasAttemptsLeft(request)) {
            return 0;
        }
        long remainingMicros = request.deadlineMicros() - now;
        double usualLatencyMicros = latencyTracker.usualMicros(request.classIndex());
        long timeoutMicros =
                Math.max(remainingMicros / 2, (long) (MIN_TIMEOUT_LATENCIES * usualLatencyMicros));
        return Math.max(1, Math.min(remainingMicros, timeoutMicros));
    }

    /**
     * The delay after which a rejected client may try again, µs; 0 where the settings allow no
     * Retry-After ({@link RoutingLimits#maxRetryAfterMicros}).
     */
    long retryAfterMicros() {
        return Math.min(RETRY_AFTER_MICROS, settings.limits().maxRetryAfterMicros());
    }
}
