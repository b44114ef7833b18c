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
 * Decides which endpoints temporarily get no attempts: those that fail, reject, stall or cannot be
 * connected to. Without ejection they would be preferred, because an endpoint that fails
 * immediately always has the shortest queue.
 *
 * <p>After an ejection an endpoint is half-open: it gets one attempt at a time until several in a
 * row have succeeded. If most endpoints seem unhealthy, the cause is more likely elsewhere; in this
 * panic mode all endpoints that accept connections are used.
 *
 * <p>{@link EndpointState} holds the state of each endpoint; this class holds only the state shared
 * by all endpoints. Confined to the thread of the routing policy.
 */
public final class OutlierEjection {
    // Two failures in about ten recent attempts exceed both thresholds. Usual failure rates are far
    // below that.
    private static final double MIN_EJECTION_FAILURES = 1.6;
    private static final double MIN_EJECTION_FAILURE_RATIO = 0.15;

    private static final int MAX_REJECTION_BACKOFF_DOUBLINGS = 3;
    private static final int UNREACHABLE_CONNECT_FAILURES = 2;
    // Multiple of the usual latency of a request class after which an attempt counts as stalled.
    private static final double STALL_LATENCY_MULTIPLE = 3;
    // Time after a local success during which reports of other balancers are ignored.
    private static final long REPORT_OVERRULED_MICROS = EjectionBackoff.BASE_EJECTION_MICROS;
    private static final long REPORTED_EJECTION_MICROS = EjectionBackoff.BASE_EJECTION_MICROS;

    private final SplittableRandom random;
    private final LatencyTracker latencies;
    private final long tickMicros;
    private boolean panicMode;
    // No endpoint accepts connections, so this balancer itself is probably isolated.
    private boolean allUnreachable;

    /**
     * Creates an instance without ejected endpoints.
     *
     * @param random source of the jitter of ejections and backoffs
     * @param latencies usual latencies by request class, from which stalls are detected
     * @param tickMicros interval of timer events, which is added to the stall timeout
     */
    public OutlierEjection(SplittableRandom random, LatencyTracker latencies, long tickMicros) {
        this.random = random;
        this.latencies = latencies;
        this.tickMicros = tickMicros;
    }

    /**
     * Returns whether the health of an endpoint allows an attempt for a request.
     *
     * @param anyIdempotentClass whether any request class is idempotent; then only requests of
     *     idempotent classes are sent to half-open endpoints
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
        boolean isSuitableProbe =
                request.requestClass().idempotency() == Idempotency.IDEMPOTENT
                        || !anyIdempotentClass;
        return endpoint.inFlight() == 0 && isSuitableProbe;
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
        double usualLatencyMicros = latencies.usualLatencyMicros(oldest.request().classIndex());
        double stallTimeoutMicros = STALL_LATENCY_MULTIPLE * usualLatencyMicros + tickMicros;
        return now - oldest.sentAtMicros() > stallTimeoutMicros
                && now - endpoint.lastSuccessAtMicros() > stallTimeoutMicros;
    }

    /** Returns whether connects to an endpoint fail while other endpoints accept connections. */
    public boolean isUnreachable(EndpointState endpoint) {
        return hasFailingConnects(endpoint) && !allUnreachable;
    }

    private static boolean hasFailingConnects(EndpointState endpoint) {
        return endpoint.consecutiveConnectFailures() >= UNREACHABLE_CONNECT_FAILURES;
    }

    /** Returns whether the last connect to an endpoint failed or its oldest attempt stalls. */
    public boolean isUnresponsive(EndpointState endpoint, long now) {
        return endpoint.consecutiveConnectFailures() > 0 || isStalled(endpoint, now);
    }

    /** Returns whether an endpoint currently adds nothing to the capacity. */
    public boolean isUnavailable(EndpointState endpoint, long now) {
        return isUnreachable(endpoint) || (endpoint.isEjected(now) && !panicMode);
    }

    /**
     * Enters or leaves panic mode. Counts only endpoints that accept connections, because the loss
     * of a zone with more than half of the fleet must not bring the lost endpoints back into use.
     *
     * @param activeEndpoints the listed endpoints that may be unhealthy
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

    /**
     * Ejects an endpoint to which another balancer of this zone cannot connect, unless an attempt
     * has recently succeeded here. Without such reports each balancer would detect a lost zone by
     * itself, at the cost of two failed attempts per endpoint.
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
     * Handles the success of an attempt.
     *
     * @param onRecovered is run if this success ends the half-open state
     */
    public void onSuccess(EndpointState endpoint, Runnable onRecovered) {
        if (endpoint.advanceRecovery()) {
            onRecovered.run();
        }
    }

    /**
     * Handles the rejection of an attempt: the endpoint gets no attempts during a short backoff
     * with jitter. An endpoint that rejects immediately would have the shortest queue, and each
     * retry costs it a handshake, so the backoff grows with each consecutive rejection.
     *
     * @param usualLatencyMicros backoff after the first rejection, without jitter
     */
    public void onRejected(EndpointState endpoint, double usualLatencyMicros, long now) {
        int doublings = Math.min(MAX_REJECTION_BACKOFF_DOUBLINGS, endpoint.consecutiveRejections());
        double backoffFactor = 1 << doublings;
        double jitterFactor = 0.5 + random.nextDouble();
        long backoffMicros = (long) (usualLatencyMicros * jitterFactor * backoffFactor);
        endpoint.onRejected(now + backoffMicros);
    }

    /**
     * Handles the failure of an attempt: it lowers the endpoint's accomplishment, its slot counts
     * as occupied for a while, and enough failures eject the endpoint.
     *
     * @param failureWeight weight of this failure from 0 to 1; 0 if it says nothing about the
     *     endpoint as a whole
     * @param penaltyMicros time for which the attempt's slot counts as occupied
     * @param countScale current weight of one event in the decayed counts
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

    // Returns the length of the ejection without jitter. After failed connects the length does not
    // grow: a failed connect costs little, and a lost zone may be back before the endpoint list
    // shows it.
    private long eject(EndpointState endpoint, long now) {
        boolean connectsFail = endpoint.consecutiveConnectFailures() > 0;
        int priorEjections = connectsFail ? 0 : endpoint.consecutiveEjections();
        long ejectionMicros = EjectionBackoff.ejectionMicros(priorEjections);
        endpoint.eject(
                EjectionBackoff.ejectedUntilMicros(now, ejectionMicros, random), !connectsFail);
        return ejectionMicros;
    }
}
