package loadbalancer.routing.health;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.endpoint.Attempt;
import loadbalancer.routing.endpoint.EjectionBackoff;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.LatencyTracker;
import loadbalancer.routing.endpoint.PendingRequest;

/**
 * Decides which endpoints get no attempts for a while: those that fail, reject, stall or cannot be
 * connected to. Without it they would win the comparison of queue lengths, since an endpoint that
 * fails at once has always the shortest queue.
 *
 * <p>After an ejection an endpoint is half-open: it gets one attempt at a time until some in a row
 * have succeeded. Where most endpoints seem unhealthy the fault is more likely elsewhere; then, in
 * panic mode, all that can be connected to are used.
 *
 * <p>The state of an endpoint is in {@link EndpointState}; this class holds what concerns all of
 * them. Confined to the thread of the routing policy.
 */
public final class OutlierEjection {
    // Two failures within some ten recent attempts exceed both: far beyond any usual failure rate
    private static final double MIN_EJECTION_FAILURES = 1.6;
    private static final double MIN_EJECTION_FAILURE_RATIO = 0.15;

    private static final int MAX_REJECTION_BACKOFF_DOUBLINGS = 3;
    private static final int UNREACHABLE_CONNECT_FAILURES = 2;
    // An attempt stalls after this multiple of its class's usual latency
    private static final double STALL_LATENCY_MULTIPLE = 3;
    // Another balancer's report is ignored for so long after a success here
    private static final long REPORT_OVERRULED_MICROS = EjectionBackoff.BASE_EJECTION_MICROS;
    private static final long REPORTED_EJECTION_MICROS = EjectionBackoff.BASE_EJECTION_MICROS;

    private final SplittableRandom random;
    private final LatencyTracker latencies;
    private final long tickMicros;
    private boolean panicMode;
    // None can be connected to: then it is this balancer that is isolated
    private boolean allUnreachable;

    /**
     * No endpoint is ejected yet.
     *
     * @param random source of the jitter of ejections and backoffs
     * @param latencies what is usual, for stalls
     * @param tickMicros interval of timer events, which is added to the time of a stall
     */
    public OutlierEjection(SplittableRandom random, LatencyTracker latencies, long tickMicros) {
        this.random = random;
        this.latencies = latencies;
        this.tickMicros = tickMicros;
    }

    // ---------------------------------------------------------------- queries

    /**
     * Whether the health of an endpoint allows an attempt of a request.
     *
     * @param anyIdempotentClass whether any class is idempotent; then only requests of such classes
     *     are sent to half-open endpoints
     */
    public boolean allowsAttempt(
            EndpointState endpoint, PendingRequest request, boolean anyIdempotentClass, long now) {
        if (panicMode && !isUnreachable(endpoint)) {
            return true;
        }
        if (isUnhealthy(endpoint, now)) {
            return false;
        }
        if (!endpoint.isHalfOpen()) {
            return true;
        }
        boolean isSafeProbe =
                request.requestClass().idempotency() == Idempotency.IDEMPOTENT
                        || !anyIdempotentClass;
        return endpoint.inFlight() == 0 && isSafeProbe;
    }

    private boolean isUnhealthy(EndpointState endpoint, long now) {
        return endpoint.isEjected(now)
                || endpoint.isInRejectionBackoff(now)
                || isStalled(endpoint, now);
    }

    private boolean isStalled(EndpointState endpoint, long now) {
        Attempt oldest = endpoint.oldestInFlight();
        if (oldest == null || oldest.request().isUploading()) {
            return false;
        }
        double usualMicros = latencies.usualMicros(oldest.request().classIndex());
        double stallTimeoutMicros = STALL_LATENCY_MULTIPLE * usualMicros + tickMicros;
        return now - oldest.sentAtMicros() > stallTimeoutMicros
                && now - endpoint.lastSuccessAtMicros() > stallTimeoutMicros;
    }

    /** Whether connects to an endpoint fail, while others can be connected to. */
    public boolean isUnreachable(EndpointState endpoint) {
        return hasFailingConnects(endpoint) && !allUnreachable;
    }

    private static boolean hasFailingConnects(EndpointState endpoint) {
        return endpoint.consecutiveConnectFailures() >= UNREACHABLE_CONNECT_FAILURES;
    }

    /** Whether by the last evidence nothing answers at an endpoint: no connection, or a stall. */
    public boolean isUnresponsive(EndpointState endpoint, long now) {
        return endpoint.consecutiveConnectFailures() > 0 || isStalled(endpoint, now);
    }

    /** Whether an endpoint adds nothing to the capacity now. */
    public boolean isUnavailable(EndpointState endpoint, long now) {
        return isUnreachable(endpoint) || (endpoint.isEjected(now) && !panicMode);
    }

    // ---------------------------------------------------------------- periodic scan

    /**
     * Decides on panic mode. It counts only endpoints that can be connected to: a lost zone of more
     * than half of the fleet must not bring its own endpoints back into use.
     *
     * @param activeEndpoints of the listed endpoints those that may be unhealthy
     * @param listedCount number of listed endpoints
     */
    public void update(List<EndpointState> activeEndpoints, int listedCount, long now) {
        long failingConnectsCount =
                activeEndpoints.stream().filter(OutlierEjection::hasFailingConnects).count();
        allUnreachable = failingConnectsCount == listedCount;
        long unreachableCount = activeEndpoints.stream().filter(this::isUnreachable).count();
        long reachableCount = listedCount - unreachableCount;
        long unhealthyReachableCount =
                activeEndpoints.stream()
                        .filter(endpoint -> !isUnreachable(endpoint) && isUnhealthy(endpoint, now))
                        .count();
        panicMode = 2 * unhealthyReachableCount > reachableCount;
    }

    // ---------------------------------------------------------------- events

    /**
     * Another balancer of this zone cannot connect to an endpoint: ejects it here too, unless an
     * attempt has just succeeded. Otherwise each balancer would find a lost zone by itself, at the
     * cost of two failed attempts for each endpoint.
     */
    public void onReportedUnreachable(EndpointState endpoint, long now) {
        boolean isNewEvidence =
                !hasFailingConnects(endpoint)
                        && now - endpoint.lastSuccessAtMicros() > REPORT_OVERRULED_MICROS;
        if (endpoint.isReportedUnreachable() || isNewEvidence) {
            long ejectedUntilMicros =
                    now + REPORTED_EJECTION_MICROS + random.nextLong(REPORTED_EJECTION_MICROS);
            endpoint.onReportedUnreachable(UNREACHABLE_CONNECT_FAILURES, ejectedUntilMicros);
        }
    }

    /**
     * An attempt succeeded.
     *
     * @param onRecovered runs if this success ends the half-open state
     */
    public void onSuccess(EndpointState endpoint, Runnable onRecovered) {
        if (endpoint.advanceRecovery()) {
            onRecovered.run();
        }
    }

    /**
     * An endpoint rejected an attempt: it gets no other for a short backoff with jitter. It rejects
     * in no time and would have the shortest queue, while each retry costs it a handshake; so the
     * backoff grows with each rejection in a row.
     */
    public void onRejected(EndpointState endpoint, double usualLatencyMicros, long now) {
        int doublings = Math.min(MAX_REJECTION_BACKOFF_DOUBLINGS, endpoint.consecutiveRejections());
        double backoffFactor = 1 << doublings;
        double jitterFactor = 0.5 + random.nextDouble();
        long backoffMicros = (long) (usualLatencyMicros * jitterFactor * backoffFactor);
        endpoint.onRejected(now + backoffMicros);
    }

    /**
     * An attempt failed: it costs the endpoint accomplishment, its slot counts as occupied for a
     * while, and enough failures eject the endpoint.
     *
     * @param failureWeight share of a whole failure that it counts for; 0 if it says nothing about
     *     the endpoint as a whole
     * @param penaltyMicros for how long its slot counts as occupied
     * @param countScale weight of one event now
     * @param onEjected accepts the length of an ejection that begins now, in µs without jitter
     */
    public void onFailure(
            EndpointState endpoint,
            double failureWeight,
            long penaltyMicros,
            double countScale,
            long now,
            LongConsumer onEjected) {
        endpoint.recordFailure(failureWeight, countScale, now + penaltyMicros);
        boolean exceedsLimit = endpoint.isHalfOpen() || exceedsThresholds(endpoint, countScale);
        if (failureWeight > 0 && exceedsLimit && !endpoint.isEjected(now)) {
            long ejectionMicros = eject(endpoint, now);
            onEjected.accept(ejectionMicros);
        }
    }

    private static boolean exceedsThresholds(EndpointState endpoint, double countScale) {
        double failures = endpoint.decayedFailures();
        double outcomes = failures + endpoint.decayedSuccesses();
        return failures > MIN_EJECTION_FAILURES * countScale
                && failures > MIN_EJECTION_FAILURE_RATIO * outcomes;
    }

    // Returns the length of the ejection without jitter. It does not grow where connects fail: a
    // failed connect costs little, and a lost zone may be back before the list says so.
    private long eject(EndpointState endpoint, long now) {
        boolean connectsFail = endpoint.consecutiveConnectFailures() > 0;
        int priorEjections = connectsFail ? 0 : endpoint.consecutiveEjections();
        long ejectionMicros = EjectionBackoff.ejectionMicros(priorEjections);
        endpoint.eject(
                EjectionBackoff.ejectedUntilMicros(now, ejectionMicros, random), !connectsFail);
        return ejectionMicros;
    }
}
