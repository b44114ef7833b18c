package loadbalancer.routing.health;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.endpoint.Attempt;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.LatencyTracker;
import loadbalancer.routing.endpoint.PendingRequest;

/**
 * Which servers get nothing for a while: those that fail fast or have fallen silent would win every
 * queue comparison. Two failures within some ten recent attempts are far beyond any sane base rate.
 */
public final class OutlierEjection {
    // Faded failures before a server can be ejected
    private static final double MIN_EJECTION_FAILURES = 1.6;
    // And their share of its recent attempts
    private static final double MIN_EJECTION_FAILURE_RATIO = 0.15;
    // µs, first ejection; doubles each time
    private static final long BASE_EJECTION_MICROS = 1_000_000;
    // Up to 16 s
    private static final int MAX_EJECTION_DOUBLINGS = 4;
    // Of the rest of a server that turns away
    private static final int MAX_REJECTION_BACKOFF_DOUBLINGS = 3;
    // Failed connects in a row that say so
    private static final int UNREACHABLE_CONNECT_FAILURES = 2;
    // Silent for this multiple of the usual latency: stalled
    private static final double STALL_LATENCY_MULTIPLE = 3;

    private final SplittableRandom random;
    private final LatencyTracker latencies;
    private final long tickMicros;
    // Or most of them: the fault is elsewhere
    private boolean panicMode;
    // Every server is cut off, or so it seems
    private boolean allUnreachable;

    public OutlierEjection(SplittableRandom random, LatencyTracker latencies, long tickMicros) {
        this.random = random;
        this.latencies = latencies;
        this.tickMicros = tickMicros;
    }

    /** Whether a server may be a candidate for a request, for all that is known of its health. */
    public boolean allowsAttempt(
            EndpointState endpoint, PendingRequest request, boolean anyIdempotentClass, long now) {
        if (panicMode && !isUnreachable(endpoint)) {
            return true;
        }
        // One on trial gets one attempt at a time, and none that could not be repeated where others
        // can be.
        return !isUnhealthy(endpoint, now)
                && (endpoint.halfOpenSuccessesLeft == 0
                        || endpoint.inFlight == 0
                                && (request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                                        || !anyIdempotentClass));
    }

    private boolean isUnhealthy(EndpointState endpoint, long now) {
        return endpoint.ejectedUntilMicros > now
                || endpoint.rejectionBackoffUntilMicros > now
                || isStalled(endpoint, now);
    }

    private boolean isStalled(EndpointState endpoint, long now) {
        Attempt oldest = endpoint.oldestInFlight();
        if (oldest == null || oldest.request.uploading) {
            return false;
        }
        double stallTimeoutMicros =
                STALL_LATENCY_MULTIPLE * latencies.usualMicros(oldest.request.classIndex)
                        + tickMicros;
        return now - oldest.sentAtMicros > stallTimeoutMicros
                && now - endpoint.lastSuccessAtMicros > stallTimeoutMicros;
    }

    /**
     * Looks at all servers; those not watched are well. Bounds ejection: when most look bad the
     * fault is likely elsewhere, and all are used. Those that can't be connected to don't count
     * while others can be: with a zone of more than half the servers lost, all were used, and most
     * attempts went to the lost ones.
     */
    public void update(List<EndpointState> activeEndpoints, int listedCount, long now) {
        allUnreachable =
                activeEndpoints.stream()
                                .filter(
                                        endpoint ->
                                                endpoint.consecutiveConnectFailures
                                                        >= UNREACHABLE_CONNECT_FAILURES)
                                .count()
                        == listedCount;
        long reachableCount =
                listedCount - activeEndpoints.stream().filter(this::isUnreachable).count();
        panicMode =
                2
                                * activeEndpoints.stream()
                                        .filter(
                                                endpoint ->
                                                        !isUnreachable(endpoint)
                                                                && isUnhealthy(endpoint, now))
                                        .count()
                        > reachableCount;
    }

    public boolean isUnreachable(EndpointState endpoint) {
        return endpoint.consecutiveConnectFailures >= UNREACHABLE_CONNECT_FAILURES
                && !allUnreachable;
    }

    /**
     * Whether the last that was seen of it says that nobody is there: no connection, or no answer.
     */
    public boolean isUnresponsive(EndpointState endpoint, long now) {
        return endpoint.consecutiveConnectFailures > 0 || isStalled(endpoint, now);
    }

    /** Whether nothing may be asked of it now: for what is in reach, not for a single request. */
    public boolean isUnavailable(EndpointState endpoint, long now) {
        return isUnreachable(endpoint) || endpoint.ejectedUntilMicros > now && !panicMode;
    }

    // Another balancer of this zone can't connect to it. Guards against a lost zone that each finds
    // by
    // itself: at thin traffic that took two failed attempts a server, and seconds. Who found it
    // tries it.
    public void onReportedUnreachable(EndpointState endpoint, long now) {
        if (endpoint.reportedUnreachable
                || endpoint.consecutiveConnectFailures < UNREACHABLE_CONNECT_FAILURES
                        && now - endpoint.lastSuccessAtMicros > BASE_EJECTION_MICROS) {
            endpoint.markActive();
            endpoint.reportedUnreachable = true;
            endpoint.consecutiveConnectFailures = UNREACHABLE_CONNECT_FAILURES;
            endpoint.halfOpenSuccessesLeft = EndpointState.SUCCESSES_TO_RECOVER;
            endpoint.ejectedUntilMicros =
                    now + BASE_EJECTION_MICROS + random.nextLong(BASE_EJECTION_MICROS);
        }
    }

    /** An attempt was served; {@code onRecovered} runs where that ends a trial. */
    public void onSuccess(EndpointState endpoint, Runnable onRecovered) {
        endpoint.consecutiveRejections = 0;
        if (endpoint.halfOpenSuccessesLeft > 0 && --endpoint.halfOpenSuccessesLeft == 0) {
            endpoint.consecutiveEjections = 0;
            endpoint.decayedFailures = 0;
            onRecovered.run();
        }
    }

    // It answers in no time, so it would win again and again while its queue is longest of all.
    // Longer each time: all balancers' retries, each with a handshake, kept full ones busy.
    public void onRejected(EndpointState endpoint, double usualLatencyMicros, long now) {
        double backoffFactor =
                1 << Math.min(MAX_REJECTION_BACKOFF_DOUBLINGS, endpoint.consecutiveRejections++);
        endpoint.rejectionBackoffUntilMicros =
                now + (long) (usualLatencyMicros * (0.5 + random.nextDouble()) * backoffFactor);
    }

    /**
     * A failure neither earns rank nor frees its slot at once, and enough of them eject the server.
     *
     * @param failureWeight of the failure, 0: it says nothing of the server as a whole
     * @param penaltyMicros µs for which its slot counts as taken
     * @param countScale of faded counts
     * @param log hears of an ejection
     */
    public void onFailure(
            EndpointState endpoint,
            double failureWeight,
            long penaltyMicros,
            double countScale,
            long now,
            Consumer<String> log) {
        endpoint.accomplishment = Math.max(0, endpoint.accomplishment - countScale);
        endpoint.addPenalty(now + penaltyMicros);
        endpoint.decayedFailures += failureWeight * countScale;
        boolean exceedsThreshold =
                endpoint.decayedFailures > MIN_EJECTION_FAILURES * countScale
                        && endpoint.decayedFailures
                                > MIN_EJECTION_FAILURE_RATIO
                                        * (endpoint.decayedFailures + endpoint.decayedSuccesses);
        if (failureWeight > 0
                && (endpoint.halfOpenSuccessesLeft > 0 || exceedsThreshold)
                && endpoint.ejectedUntilMicros <= now) {
            // A connect that fails costs little, and a lost zone is back before the list tells.
            int doublings =
                    endpoint.consecutiveConnectFailures > 0
                            ? 0
                            : Math.min(MAX_EJECTION_DOUBLINGS, endpoint.consecutiveEjections++);
            long ejectionMicros = BASE_EJECTION_MICROS << doublings;
            endpoint.ejectedUntilMicros =
                    now + ejectionMicros + random.nextLong(ejectionMicros / 4);
            endpoint.halfOpenSuccessesLeft = EndpointState.SUCCESSES_TO_RECOVER;
            log.accept(
                    "ejected "
                            + endpoint.descriptor.id()
                            + " for "
                            + ejectionMicros / 1000
                            + " ms after failures");
        }
    }
}
