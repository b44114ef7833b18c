package loadbalancer.routing;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import loadbalancer.routing.admission.FleetCapacity;
import loadbalancer.routing.admission.LoadShedder;
import loadbalancer.routing.admission.TenantQuotas;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.PolicySnapshot;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.DiscoverySubscription;
import loadbalancer.routing.endpoint.EndpointRegistry;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.LatencyTracker;
import loadbalancer.routing.endpoint.PendingRequest;
import loadbalancer.routing.endpoint.TrafficCounters;
import loadbalancer.routing.gossip.LoadGossip;
import loadbalancer.routing.health.OutlierEjection;
import loadbalancer.routing.health.SlowStart;
import loadbalancer.routing.health.ZoneFailover;
import loadbalancer.util.Hashing;

/**
 * Implements the routing policy of one balancer: handles its events, updates its time-dependent
 * state and delegates each decision.
 *
 * <p>For each request, {@link LoadShedder} decides on its admission, {@link RequestLifecycle}
 * tracks it until its final response, {@link CandidateFilter} determines the eligible endpoints,
 * {@link JsqDasSelector} selects one of them, {@link AttemptRecorder} records the outcome of the
 * attempt, and {@link RetryPolicy} decides on further attempts.
 *
 * <p>The engine is deterministic: the same settings, seed and events give the same actions. It is
 * not thread-safe: the caller delivers events one at a time, see {@link RoutingPolicy}.
 */
public final class RoutingEngine implements RoutingPolicy {
    // Longest interval between timer events while a request is open
    private static final long MAX_TICK_MICROS = 20_000;
    // Minimum number of timer events within the shortest latency objective
    private static final int MIN_TICKS_PER_OBJECTIVE = 16;
    // Interval between the scans of the active endpoints
    private static final long REFRESH_INTERVAL_MICROS = 100_000;
    // Hedging pauses while rejected attempts exceed this fraction of the requests
    private static final double MAX_REJECTED_FRACTION_FOR_HEDGING = 0.02;
    // Fraction of a request's expected latency that is proportional to its work hint
    private static final double WORK_HINT_WEIGHT = 0.7;
    // Gossip messages carry the zone number in one byte
    private static final int GOSSIP_ZONE_MASK = 255;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long NO_TIMER = Long.MAX_VALUE;

    private final RoutingSettings settings;
    private final SplittableRandom random;
    private final long tickMicros;
    private final boolean zoneFailoverEnabled;

    private final TrafficCounters trafficCounters = new TrafficCounters();
    private final LatencyTracker latencyTracker;
    private final EndpointRegistry registry;
    private final DiscoverySubscription subscription;
    private final OutlierEjection outlierEjection;
    private final SlowStart slowStart;
    private final ZoneFailover zoneFailover = new ZoneFailover();
    private final LoadShedder loadShedder;
    private final TenantQuotas tenantQuotas;
    private final FleetCapacity fleetCapacity;
    private final LoadGossip loadGossip;
    private final QueueLengthEstimator queueLengths;
    private final CandidateFilter candidateFilter;
    private final RetryPolicy retryPolicy;
    private final KeyOrdering keyOrdering;
    private final AttemptRecorder attemptRecorder;
    private final RequestLifecycle requests;
    private final PolicyLog log = new PolicyLog();

    private long refreshAtMicros;
    private long timerAtMicros = NO_TIMER;

    /**
     * Creates a policy without zone failover, see {@link #RoutingEngine(RoutingSettings, long,
     * boolean)}.
     */
    public RoutingEngine(RoutingSettings settings, long seed) {
        this(settings, seed, false);
    }

    /**
     * Creates a policy without endpoints. Its first event must be the endpoint list.
     *
     * @param seed the seed of all random choices
     * @param zoneFailoverEnabled whether zones are failed over as a whole
     */
    public RoutingEngine(RoutingSettings settings, long seed, boolean zoneFailoverEnabled) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.zoneFailoverEnabled = zoneFailoverEnabled;
        long shortestObjectiveMicros = shortestLatencyObjectiveMicros(settings);
        this.tickMicros =
                Math.max(
                        settings.clockTickMicros(),
                        Math.min(
                                MAX_TICK_MICROS,
                                shortestObjectiveMicros / MIN_TICKS_PER_OBJECTIVE));
        this.latencyTracker = new LatencyTracker(settings.requestClasses());
        this.registry = new EndpointRegistry(settings, random);
        this.subscription =
                new DiscoverySubscription(settings.bounds().pollDeadlineMicros(), random);
        this.outlierEjection = new OutlierEjection(random, latencyTracker, tickMicros);
        this.slowStart = new SlowStart(settings, shortestObjectiveMicros);
        this.loadShedder = new LoadShedder(settings);
        this.tenantQuotas = new TenantQuotas(settings, random);
        this.fleetCapacity = new FleetCapacity(settings);
        this.loadGossip = new LoadGossip(settings);
        this.queueLengths =
                new QueueLengthEstimator(settings, registry, latencyTracker, loadGossip);
        this.candidateFilter =
                new CandidateFilter(
                        settings,
                        registry,
                        trafficCounters,
                        outlierEjection,
                        slowStart,
                        zoneFailover);
        this.retryPolicy = new RetryPolicy(settings, latencyTracker, tickMicros);
        this.keyOrdering = new KeyOrdering(settings.bounds().keyCooldownMicros());
        this.attemptRecorder =
                new AttemptRecorder(
                        trafficCounters,
                        latencyTracker,
                        queueLengths,
                        outlierEjection,
                        zoneFailover,
                        loadShedder,
                        random,
                        log);
        this.requests =
                new RequestLifecycle(
                        settings.limits(),
                        latencyTracker,
                        candidateFilter,
                        new JsqDasSelector(registry, queueLengths, random),
                        retryPolicy,
                        keyOrdering,
                        attemptRecorder,
                        tickMicros);
    }

    private static long shortestLatencyObjectiveMicros(RoutingSettings settings) {
        return settings.requestClasses().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .getAsLong();
    }

    @Override
    public void onEndpointList(
            long now, EndpointListKind kind, List<Endpoint> endpoints, RoutingActions actions) {
        if (timerAtMicros == NO_TIMER) {
            tenantQuotas.start(now);
            trafficCounters.start(now);
            scheduleTimerWithin(now, tickMicros, actions);
        }
        switch (kind) {
            case FAILED -> {
                int failures = subscription.onFailure(now);
                log.discoveryFailed(failures, now, actions);
                return;
            }
            case CACHED -> {
                if (settings.discoveryMode() == DiscoveryMode.POLL) {
                    subscription.subscribe(now, actions);
                }
            }
            case COMPLETE, DELTA -> subscription.onResponse();
        }
        registry.update(
                endpoints,
                kind == EndpointListKind.DELTA,
                now,
                message -> log.write(message, now, actions));
        requests.drainPendingQueue(now, actions);
    }

    @Override
    public void onRequest(
            long now,
            String requestId,
            int classIndex,
            int tenantIndex,
            String key,
            long remainingMicros,
            long workHint,
            boolean resubmission,
            RoutingActions actions) {
        RequestClass requestClass = settings.requestClasses().get(classIndex);
        if (settings.keyAffinityEnabled() && key != null && !resubmission) {
            trafficCounters.recordKey(Hashing.hash(key));
        }
        trafficCounters.recordArrivals(resubmission ? 0 : 1);
        fleetCapacity.onRequest();
        long latencyObjectiveAtMicros =
                now
                        + latencyObjectiveMicros(requestClass, workHint)
                        - latencyTracker.elapsedSinceFirstAttemptMicros(
                                classIndex, remainingMicros, resubmission);
        PendingRequest request =
                new PendingRequest(
                        requestId,
                        classIndex,
                        requestClass,
                        key == null ? 0 : Hashing.hash(key),
                        now,
                        remainingMicros,
                        latencyObjectiveAtMicros,
                        tenantQuotas.isOverQuota(tenantIndex, resubmission, now));
        requests.open(request);
        if (workHint > 0) {
            double relativeWork = latencyTracker.recordWorkHint(classIndex, workHint);
            request.setExpectedLatencyRatio(1 + WORK_HINT_WEIGHT * (relativeWork - 1));
        }
        scheduleTimerWithin(now, tickMicros, actions);
        retryPolicy.onRequest();
        if (loadShedder.shouldShed(request, random.nextDouble())) {
            log.loadShed(loadShedder, now, actions);
            requests.rejectOrFail(request, actions);
            return;
        }
        requests.dispatch(request, requestClass.ordered() && key != null, now, actions);
    }

    private static long latencyObjectiveMicros(RequestClass requestClass, long workHint) {
        long workMicros =
                workHint > 0 ? (long) (requestClass.objectiveMicrosPerWorkUnit() * workHint) : 0;
        return requestClass.latencyObjectiveMicros() + workMicros;
    }

    @Override
    public boolean canStartAttempt(long now, String requestId, int attemptNumber) {
        return requests.canStartAttempt(now, requestId, attemptNumber);
    }

    @Override
    public boolean mayResponseTakeUntilDeadline(String requestId) {
        PendingRequest request = requests.find(requestId);
        return request != null && RetryPolicy.mayResponseTakeUntilDeadline(request);
    }

    @Override
    public void onAttemptEnded(
            long now,
            String requestId,
            int attemptNumber,
            AttemptOutcome outcome,
            long latencyMicros,
            boolean closed,
            LoadReport load,
            RoutingActions actions) {
        requests.onAttemptEnded(
                requestId, attemptNumber, outcome, latencyMicros, closed, load, now, actions);
    }

    @Override
    public void onUploadStarted(long now, String requestId) {
        PendingRequest request = requests.find(requestId);
        if (request != null) {
            request.onUploadStarted();
        }
    }

    @Override
    public void onUploadCompleted(
            long now, String requestId, long remainingMicros, RoutingActions actions) {
        PendingRequest request = requests.find(requestId);
        if (request != null) {
            request.onUploadCompleted(now, remainingMicros);
        }
    }

    @Override
    public void onStreamStarted(
            long now, String requestId, int attemptNumber, RoutingActions actions) {
        PendingRequest request = requests.find(requestId);
        if (request != null) {
            request.onStreamStarted();
        }
    }

    @Override
    public void onResponseAborted(long now, String endpointId, RoutingActions actions) {
        EndpointState endpoint = registry.get(endpointId);
        if (endpoint != null) {
            attemptRecorder.recordAbortedResponse(endpoint, now, actions);
        }
    }

    @Override
    public void onClientDisconnected(long now, String requestId, RoutingActions actions) {
        requests.onClientDisconnected(requestId, actions);
    }

    @Override
    public int ejectedEndpointCount(long now) {
        return (int)
                registry.activeEndpoints().stream()
                        .filter(endpoint -> endpoint.isEjected(now))
                        .count();
    }

    @Override
    public double remoteRequestsPerSecond() {
        return loadGossip.remoteRequestsPerSecond();
    }

    @Override
    public PolicySnapshot snapshot(long now) {
        return new PolicySnapshot(
                registry.snapshot(trafficCounters.scale(), now), latencyTracker.snapshot());
    }

    @Override
    public void restore(long now, PolicySnapshot snapshot, long ageMicros) {
        double retainedFraction = Math.exp(-ageMicros / TrafficCounters.DECAY_MICROS);
        registry.restore(
                snapshot.endpoints(), trafficCounters.scale() * retainedFraction, ageMicros, now);
        latencyTracker.restore(snapshot.usualLatenciesMicros(), ageMicros);
    }

    @Override
    public void onPeerMessage(long now, int fromBalancer, byte[] payload, RoutingActions actions) {
        boolean decoded =
                loadGossip.onMessage(
                        now,
                        fromBalancer,
                        payload,
                        registry.listedEndpoints(),
                        (endpoint, reporterZone) ->
                                onReportedUnreachable(endpoint, reporterZone, now));
        if (!decoded) {
            log.gossipMessageIgnored(fromBalancer, now, actions);
        }
    }

    // Ignores reports from other zones: an endpoint that is unreachable from another zone may be
    // reachable from this one.
    private void onReportedUnreachable(EndpointState endpoint, int reporterZone, long now) {
        if (reporterZone == (settings.zone() & GOSSIP_ZONE_MASK)) {
            outlierEjection.onReportedUnreachable(endpoint, now);
        }
    }

    @Override
    public void onTimer(long now, RoutingActions actions) {
        if (now < timerAtMicros) {
            // This timer was replaced by one that was scheduled for an earlier time
            return;
        }
        timerAtMicros = NO_TIMER;
        long elapsedMicros = trafficCounters.microsSinceDecay(now);
        decayCounters(elapsedMicros, now);
        if (now >= refreshAtMicros) {
            refresh(now, actions);
        }
        latencyTracker.updateMinUsualLatency();
        queueLengths.updateMeanInFlight(elapsedMicros);
        updateSheddingLevel(elapsedMicros, now);
        requests.drainPendingQueue(now, actions);
        requests.finishOverdueRequests(now, actions);
        if (isHedgingAdvisable()) {
            requests.hedgeSlowRequests(now, actions);
        }
        if (subscription.isDue(now)) {
            subscription.subscribe(now, actions);
        }
        sendGossip(now, actions);
        long delayMicros = requests.isIdle() ? REFRESH_INTERVAL_MICROS : tickMicros;
        scheduleTimerWithin(now, delayMicros, actions);
    }

    private void scheduleTimerWithin(long now, long delayMicros, RoutingActions actions) {
        if (now + delayMicros < timerAtMicros) {
            timerAtMicros = now + delayMicros;
            actions.scheduleTimer(delayMicros);
        }
    }

    private void decayCounters(long elapsedMicros, long now) {
        double retainedFraction = trafficCounters.decay(now);
        loadShedder.decay(retainedFraction);
        tenantQuotas.decay((double) elapsedMicros);
        fleetCapacity.decay((double) elapsedMicros);
    }

    private void updateSheddingLevel(long elapsedMicros, long now) {
        loadShedder.decayStaleOverload(now, elapsedMicros);
        double elapsedSeconds = elapsedMicros / MICROS_PER_SECOND;
        if (queueLengths.hasLivePeers()) {
            loadShedder.updateLevelWithinCapacity(
                    elapsedSeconds, fleetCapacity, fleetRequestsPerSecond());
        } else {
            loadShedder.updateLevel(elapsedSeconds);
        }
    }

    // Returns the known arrival rate of all balancers together.
    private double fleetRequestsPerSecond() {
        return fleetCapacity.requestsPerSecond() + loadGossip.remoteRequestsPerSecond();
    }

    // Returns whether hedging is allowed now. Hedged requests must not increase an overload.
    private boolean isHedgingAdvisable() {
        return settings.limits().hedgingAllowed()
                && loadShedder.admitsAllWithinQuota()
                && !trafficCounters.isRejectedFractionAbove(MAX_REJECTED_FRACTION_FOR_HEDGING);
    }

    private void sendGossip(long now, RoutingActions actions) {
        loadGossip.sendDue(
                now,
                registry.listedEndpoints(),
                endpoint ->
                        outlierEjection.isUnreachable(endpoint)
                                && !endpoint.isReportedUnreachable(),
                fleetCapacity.requestsPerSecond(),
                trafficCounters.biasCorrectedRequestsPerSecond(now),
                random,
                actions);
    }

    /**
     * Updates the state that depends on all endpoints. Only the active ones are scanned, because
     * the others are in the steady state; scanning all would let the work grow with the fleet.
     */
    private void refresh(long now, RoutingActions actions) {
        Predicate<EndpointState> isWarm = endpoint -> slowStart.rampFraction(endpoint, now) >= 1;
        List<EndpointState> activeEndpoints = registry.removeSteadyEndpoints(isWarm, now);
        int listedCount = registry.listedEndpoints().size();
        slowStart.updateWarmRate(
                registry.warmSuccesses(isWarm)
                        * trafficCounters.biasCorrectedSuccessesPerSecond(now),
                registry.warmWeight(isWarm));
        outlierEjection.update(activeEndpoints, listedCount, now);
        double usableFraction =
                registry.weightedMean(
                        zone -> zoneFailover.healthOf(zone).admittedFraction(),
                        endpoint -> usableFraction(endpoint, now));
        fleetCapacity.updateAvailability(listedCount, usableFraction);
        queueLengths.setSilentPeerCount(loadGossip.expireSilentPeers(now));
        if (zoneFailoverEnabled) {
            updateZones(now, actions);
        }
        candidateFilter.updateMajorityEjections(activeEndpoints, listedCount, now);
        keyOrdering.removeIdleKeys(now);
        trafficCounters.compact(registry);
        refreshAtMicros = now + REFRESH_INTERVAL_MICROS;
    }

    // Returns the fraction of an endpoint's full capacity that this balancer may use now.
    private double usableFraction(EndpointState endpoint, long now) {
        if (outlierEjection.isUnavailable(endpoint, now)) {
            return 0;
        }
        return zoneFailover.healthOf(endpoint.descriptor().zone()).admittedFraction()
                * slowStart.usableFraction(endpoint, now);
    }

    private void updateZones(long now, RoutingActions actions) {
        boolean isCapacityShort = fleetCapacity.excessFraction(fleetRequestsPerSecond()) > 0;
        zoneFailover.update(
                registry.zoneTallies(
                        endpoint -> outlierEjection.isUnresponsive(endpoint, now),
                        zone -> zoneFailover.evidenceSinceMicros(zone, now)),
                isCapacityShort,
                now,
                actions::log);
    }
}
