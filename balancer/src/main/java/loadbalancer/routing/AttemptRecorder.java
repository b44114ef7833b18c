package loadbalancer.routing;

import java.util.SplittableRandom;
import loadbalancer.routing.admission.LoadShedder;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.endpoint.Attempt;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.LatencyTracker;
import loadbalancer.routing.endpoint.PendingRequest;
import loadbalancer.routing.endpoint.TrafficCounters;
import loadbalancer.routing.health.OutlierEjection;
import loadbalancer.routing.health.ZoneFailover;

/**
 * Records the start and the outcome of each attempt in all statistics that depend on them: the
 * state of the endpoint, outlier and class ejection, zone failover, latencies, load shedding and
 * queue lengths.
 *
 * <p>Not thread-safe: used only on the thread of its {@link RoutingEngine}.
 */
final class AttemptRecorder {
    // An endpoint that rejects requests and had no success for this time is not just overloaded
    private static final double RECENT_SUCCESS_MICROS = 2e6;
    // Ratio of latency to objective that a rejected attempt adds to the overload ratio
    private static final double REJECTED_OVERLOAD_RATIO = 1.5;
    // Ratio of latency to objective that a timed-out attempt adds to the overload ratio
    private static final double TIMEOUT_OVERLOAD_RATIO = 1.2;
    // Weights of failures as evidence against the endpoint as a whole
    private static final double NO_FAILURE_WEIGHT = 0;
    private static final double HALF_FAILURE_WEIGHT = 0.5;
    private static final double FULL_FAILURE_WEIGHT = 1;
    // An attempt that failed without a response occupies its slot for this many usual latencies
    private static final int PENALTY_LATENCIES = 2;
    // A cancelled attempt counts as slow if it took more than this many expected latencies
    private static final int SLOW_CANCELLED_LATENCIES = 2;

    private final TrafficCounters trafficCounters;
    private final LatencyTracker latencyTracker;
    private final QueueLengthEstimator queueLengths;
    private final OutlierEjection outlierEjection;
    private final ZoneFailover zoneFailover;
    private final LoadShedder loadShedder;
    private final SplittableRandom random;
    private final PolicyLog log;

    AttemptRecorder(
            TrafficCounters trafficCounters,
            LatencyTracker latencyTracker,
            QueueLengthEstimator queueLengths,
            OutlierEjection outlierEjection,
            ZoneFailover zoneFailover,
            LoadShedder loadShedder,
            SplittableRandom random,
            PolicyLog log) {
        this.trafficCounters = trafficCounters;
        this.latencyTracker = latencyTracker;
        this.queueLengths = queueLengths;
        this.outlierEjection = outlierEjection;
        this.zoneFailover = zoneFailover;
        this.loadShedder = loadShedder;
        this.random = random;
        this.log = log;
    }

    /** Creates an attempt of a request and records its start. */
    void recordStart(PendingRequest request, EndpointState endpoint, long now) {
        Attempt attempt = new Attempt(endpoint, request, now);
        attempt.recordStart(trafficCounters.scale());
        queueLengths.onAttemptStarted();
        zoneFailover.onAttemptStarted(endpoint, now);
    }

    /**
     * Records how an attempt has ended.
     *
     * @param latencyMicros µs since it was sent
     * @param load the load report that came with the response, or null
     */
    void recordEnd(
            Attempt attempt,
            AttemptOutcome outcome,
            long latencyMicros,
            LoadReport load,
            long now,
            RoutingActions actions) {
        attempt.recordEnd(!outcome.neverRan());
        queueLengths.onAttemptEnded();
        trafficCounters.recordRejections(outcome.neverRan() ? 1 : 0);
        attempt.endpoint().recordLoadReport(load, now);
        recordReachability(attempt.endpoint(), outcome);
        recordHealth(attempt, outcome, latencyMicros, now, actions);
    }

    private void recordReachability(EndpointState endpoint, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.CANCELLED) {
            return;
        }
        boolean connectFailed = outcome == AttemptOutcome.CONNECT_FAILED;
        if (connectFailed) {
            endpoint.onConnectFailed();
        } else {
            endpoint.onConnected();
        }
        if (outcome == AttemptOutcome.OK || connectFailed) {
            zoneFailover.onAttemptEnded(endpoint, outcome == AttemptOutcome.OK);
        }
    }

    private void recordHealth(
            Attempt attempt,
            AttemptOutcome outcome,
            long latencyMicros,
            long now,
            RoutingActions actions) {
        double usualLatencyMicros =
                latencyTracker.usualLatencyMicros(attempt.request().classIndex());
        long penaltyMicros = (long) (PENALTY_LATENCIES * usualLatencyMicros);
        switch (outcome) {
            case OK -> recordSuccess(attempt, latencyMicros, now, actions);
            case CANCELLED -> recordCancelled(attempt, latencyMicros, penaltyMicros, now, actions);
            case NOT_SENT -> {}
            case REJECTED -> recordRejected(attempt.endpoint(), usualLatencyMicros, now, actions);
            case TIMEOUT -> recordTimeout(attempt, latencyMicros, penaltyMicros, now, actions);
            case ERROR -> recordError(attempt, penaltyMicros, now, actions);
            case CONNECT_FAILED, RESET ->
                    recordFailure(
                            attempt.endpoint(), FULL_FAILURE_WEIGHT, penaltyMicros, now, actions);
        }
    }

    private void recordSuccess(
            Attempt attempt, long latencyMicros, long now, RoutingActions actions) {
        EndpointState endpoint = attempt.endpoint();
        PendingRequest request = attempt.request();
        double expectedLatencyMicros = expectedLatencyMicros(request);
        endpoint.recordSuccess(trafficCounters.scale(), now);
        attempt.classEjection()
                .onSuccess(() -> log.classRecovered(endpoint, request.classIndex(), now, actions));
        endpoint.recordLatencyRatio(latencyMicros / expectedLatencyMicros, now);
        latencyTracker.recordLatency(request.classIndex(), latencyMicros);
        outlierEjection.onSuccess(endpoint, () -> log.endpointRecovered(endpoint, now, actions));
        double latencyObjectiveMicros = request.requestClass().latencyObjectiveMicros();
        loadShedder.recordSample(latencyMicros / latencyObjectiveMicros, now);
    }

    // Records an attempt that was cancelled because another attempt got a response first or the
    // client disconnected. The endpoint counts as slow if the attempt had run for a long time.
    private void recordCancelled(
            Attempt attempt,
            long latencyMicros,
            long penaltyMicros,
            long now,
            RoutingActions actions) {
        EndpointState endpoint = attempt.endpoint();
        double expectedLatencyMicros = expectedLatencyMicros(attempt.request());
        if (latencyMicros > SLOW_CANCELLED_LATENCIES * expectedLatencyMicros) {
            recordFailure(endpoint, NO_FAILURE_WEIGHT, penaltyMicros, now, actions);
            double latencyRatio =
                    Math.max(endpoint.latencyRatio(now), latencyMicros / expectedLatencyMicros);
            endpoint.recordLatencyRatio(latencyRatio, now);
        }
    }

    // Records a rejection. A hung endpoint fills up and then rejects everything, so an endpoint
    // without recent successes is likely hung rather than overloaded.
    private void recordRejected(
            EndpointState endpoint, double usualLatencyMicros, long now, RoutingActions actions) {
        boolean isLikelyHung = now - endpoint.lastSuccessAtMicros() > RECENT_SUCCESS_MICROS;
        double failureWeight = isLikelyHung ? HALF_FAILURE_WEIGHT : NO_FAILURE_WEIGHT;
        recordFailure(endpoint, failureWeight, (long) usualLatencyMicros, now, actions);
        outlierEjection.onRejected(endpoint, usualLatencyMicros, now);
        loadShedder.recordSample(REJECTED_OVERLOAD_RATIO, now);
    }

    // Records a time-out. It may be caused by overload, so it counts as half a failure.
    private void recordTimeout(
            Attempt attempt,
            long latencyMicros,
            long penaltyMicros,
            long now,
            RoutingActions actions) {
        double latencyRatio = latencyMicros / expectedLatencyMicros(attempt.request());
        attempt.endpoint().recordLatencyRatio(latencyRatio, now);
        loadShedder.recordSample(TIMEOUT_OVERLOAD_RATIO, now);
        recordFailure(attempt.endpoint(), HALF_FAILURE_WEIGHT, penaltyMicros, now, actions);
    }

    // Records an error response. The endpoint runs and responds, so the error counts only against
    // the request class.
    private void recordError(
            Attempt attempt, long penaltyMicros, long now, RoutingActions actions) {
        EndpointState endpoint = attempt.endpoint();
        int classIndex = attempt.request().classIndex();
        recordFailure(endpoint, NO_FAILURE_WEIGHT, penaltyMicros, now, actions);
        attempt.classEjection()
                .onFailure(
                        now,
                        random,
                        ejectionMicros ->
                                log.classEjected(
                                        endpoint, classIndex, ejectionMicros, now, actions));
    }

    /** Records that an endpoint aborted a response whose success was already recorded. */
    void recordAbortedResponse(EndpointState endpoint, long now, RoutingActions actions) {
        long penaltyMicros = (long) latencyTracker.minUsualLatencyMicros();
        recordFailure(endpoint, FULL_FAILURE_WEIGHT, penaltyMicros, now, actions);
    }

    private void recordFailure(
            EndpointState endpoint,
            double failureWeight,
            long penaltyMicros,
            long now,
            RoutingActions actions) {
        outlierEjection.onFailure(
                endpoint,
                failureWeight,
                penaltyMicros,
                trafficCounters.scale(),
                now,
                ejectionMicros -> log.endpointEjected(endpoint, ejectionMicros, now, actions));
    }

    private double expectedLatencyMicros(PendingRequest request) {
        return latencyTracker.usualLatencyMicros(request.classIndex())
                * request.expectedLatencyRatio();
    }
}
