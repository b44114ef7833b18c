package loadbalancer.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import loadbalancer.routing.admission.FleetCapacity;
import loadbalancer.routing.admission.LoadShedder;
import loadbalancer.routing.admission.PendingQueue;
import loadbalancer.routing.admission.TenantQuotas;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.PolicySnapshot;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.Attempt;
import loadbalancer.routing.endpoint.ClassEjection;
import loadbalancer.routing.endpoint.DiscoverySubscription;
import loadbalancer.routing.endpoint.EndpointRegistry;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.KeyQueue;
import loadbalancer.routing.endpoint.LatencyTracker;
import loadbalancer.routing.endpoint.PendingRequest;
import loadbalancer.routing.endpoint.TrafficCounters;
import loadbalancer.routing.gossip.LoadGossip;
import loadbalancer.routing.health.OutlierEjection;
import loadbalancer.routing.health.SlowStart;
import loadbalancer.routing.health.ZoneFailover;
import loadbalancer.util.Hashing;

/**
 * Every decision of one balancer. The module's interface, its events, actions and types, is
 * Policy.java; what it writes down, plain data, is in Books.java.
 *
 * <p>The ordinary path is JSQ-DAS (Gardner and Stephens, "Smart Dispatching in Heterogeneous
 * Systems"): see {@link #selectEndpoint}. All else says which servers are candidates for it (the
 * exceptions), when a request is sent, held, sent again or given up, and keeps the books.
 */
public final class RoutingEngine implements RoutingPolicy {
    // Mechanism. D, A: the paper's defaults. Counts fade so that a slowed server loses its rank in
    // seconds.
    private static final int SAMPLE_SIZE = 4;
    private static final int FAST_SAMPLE_SIZE = 2;
    // µs, the same for the rate of answers
    private static final double RECENT_MICROS = 2e6;
    // Usual latencies, time constant of trust in a report
    private static final double REPORT_TRUST_LATENCIES = 2;
    // Part that a far queue seems longer, per price
    private static final double CROSS_ZONE_QUEUE_PER_COST = 10;
    // The subset of a balancer, or of a key: as few as sampling needs, more where traffic keeps
    // them in view.
    private static final int MIN_SUBSET_SIZE = 6;
    // s between a balancer's requests to one server
    private static final double SUBSET_VISIT_INTERVAL_SECONDS = 1.5;
    // The same where new connections have a price
    private static final double COSTLY_CONNECTION_VISIT_INTERVAL_SECONDS = 0.5;
    // D: a key's servers are all sampled
    private static final int MIN_KEY_SUBSET_SIZE = 4;
    // Times as many where only the own zone's count
    private static final int MAX_SUBSET_SEARCH_FACTOR = 4;
    // Times the part of the fleet that a hot key needs
    private static final double HOT_KEY_SUBSET_FACTOR = 2;
    // That an attempt turned away counts as
    private static final double REJECTED_OVERLOAD_RATIO = 1.5;
    // And one that took too long
    private static final double TIMEOUT_OVERLOAD_RATIO = 1.2;
    // µs, for as long as strain lasts
    private static final long RETRY_AFTER_MICROS = 2_000_000;
    // Further attempts after failures that may have run, per first attempt.
    private static final double RETRY_BUDGET_PER_REQUEST = 0.2;
    private static final double MAX_RETRY_BUDGET = 10;
    // Hedges rest while a larger part is turned away
    private static final double MAX_REJECTED_FRACTION_FOR_HEDGING = 0.02;
    // What hedges leave of that budget to retries
    private static final double MIN_RETRY_BUDGET_FOR_HEDGING = 4;
    // Part of the latency that goes with hinted work
    private static final double WORK_HINT_WEIGHT = 0.7;
    // A late answer that earns less is given up
    private static final double MIN_LATE_WEIGHT_FACTOR = 0.5;
    // µs between sweeps while anything is open
    private static final long MAX_TICK_MICROS = 20_000;
    // µs between looks at all servers
    private static final long REFRESH_INTERVAL_MICROS = 100_000;

    private static final Comparator<EndpointState> BY_ACCOMPLISHMENT =
            Comparator.<EndpointState>comparingDouble(endpoint -> -endpoint.accomplishment)
                    .thenComparingInt(endpoint -> endpoint.tieBreaker);

    private final RoutingSettings settings;
    private final SplittableRandom random;
    private final long tickMicros;
    private final long shortestLatencyObjectiveMicros;
    // Whether any class may simply be repeated
    private final boolean anyIdempotentClass;
    // Most rest for this class: the fault is elsewhere
    private final boolean[] majorityEjectedByClass;
    private int visitGeneration;
    private final Map<String, PendingRequest> openRequests = new LinkedHashMap<>();
    private final TrafficCounters trafficCounters = new TrafficCounters();
    private final Map<Long, KeyQueue> keyQueues = new LinkedHashMap<>();
    private final PendingQueue pendingQueue = new PendingQueue(this::latestStartMicros);
    private final EndpointRegistry registry;
    private final OutlierEjection outlierEjection;
    private final SlowStart slowStart;
    private final LoadShedder loadShedder;
    private final ZoneFailover zoneFailover = new ZoneFailover();
    // Else all are whole
    private final boolean zoneFailoverEnabled;
    private final LatencyTracker latencyTracker;
    private final DiscoverySubscription subscription;
    private final TenantQuotas tenantQuotas;
    private final LoadGossip loadGossip;
    private final FleetCapacity fleetCapacity;
    private int silentPeerCount;
    // Moving mean of own attempts in flight
    private double meanInFlight;
    private int inFlight;
    private double retryBudget = MAX_RETRY_BUDGET;
    private long refreshAtMicros;
    private long timerAtMicros = Long.MAX_VALUE;
    private final RateLimitedLog rateLimitedLog = new RateLimitedLog();

    public RoutingEngine(RoutingSettings settings, long seed) {
        this(settings, seed, false);
    }

    /** {@code zoneFailoverEnabled}: zones are left and met again as wholes. */
    public RoutingEngine(RoutingSettings settings, long seed, boolean zoneFailoverEnabled) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.latencyTracker = new LatencyTracker(settings.requestClasses());
        this.majorityEjectedByClass = new boolean[settings.requestClasses().size()];
        this.shortestLatencyObjectiveMicros =
                settings.requestClasses().stream()
                        .mapToLong(RequestClass::latencyObjectiveMicros)
                        .min()
                        .getAsLong();
        this.anyIdempotentClass =
                settings.requestClasses().stream()
                        .anyMatch(
                                requestClass ->
                                        requestClass.idempotency() == Idempotency.IDEMPOTENT);
        this.tickMicros =
                Math.max(
                        settings.clockTickMicros(),
                        Math.min(MAX_TICK_MICROS, shortestLatencyObjectiveMicros / 16));
        this.registry = new EndpointRegistry(settings, random);
        this.outlierEjection = new OutlierEjection(random, latencyTracker, tickMicros);
        this.slowStart = new SlowStart(settings, shortestLatencyObjectiveMicros);
        this.loadShedder = new LoadShedder(settings);
        this.zoneFailoverEnabled = zoneFailoverEnabled;
        this.subscription =
                new DiscoverySubscription(settings.bounds().pollDeadlineMicros(), random);
        this.tenantQuotas = new TenantQuotas(settings, random);
        this.loadGossip = new LoadGossip(settings);
        this.fleetCapacity = new FleetCapacity(settings);
        this.silentPeerCount = settings.balancerCount() - 1;
    }

    // ---------------------------------------------------------------- dispatch: the paper's
    // definition

    // Ranks by accomplishment, samples A of the top p·k and D-A of the rest, takes the shortest
    // queue.
    private EndpointState selectEndpoint(List<EndpointState> candidates, long now) {
        int candidateCount = candidates.size();
        if (candidateCount == 1) {
            return candidates.get(0);
        }
        candidates.sort(BY_ACCOMPLISHMENT);
        int fastCount =
                Math.max(
                        1,
                        Math.min(
                                candidateCount - 1,
                                (int) Math.round(registry.fastFraction() * candidateCount)));
        int fastSampleSize =
                Math.min(
                        fastCount,
                        Math.max(FAST_SAMPLE_SIZE, SAMPLE_SIZE - (candidateCount - fastCount)));
        int slowSampleSize = Math.min(candidateCount - fastCount, SAMPLE_SIZE - fastSampleSize);
        int bestFast = shortestQueueOfSample(candidates, 0, fastCount, fastSampleSize, -1, now);
        return candidates.get(
                shortestQueueOfSample(
                        candidates, fastCount, candidateCount, slowSampleSize, bestFast, now));
    }

    // Draws without replacement from [from, to); returns the shortest queue, ties to the higher
    // rank.
    private int shortestQueueOfSample(
            List<EndpointState> ranked,
            int fromRank,
            int toRank,
            int sampleSize,
            int bestSoFar,
            long now) {
        int shortestRank = bestSoFar;
        int[] remainingRanks = IntStream.range(fromRank, toRank).toArray();
        for (int i = 0; i < sampleSize; i++) {
            int j = i + random.nextInt(remainingRanks.length - i);
            int drawnRank = remainingRanks[j];
            remainingRanks[j] = remainingRanks[i];
            double queueDifference =
                    shortestRank < 0
                            ? -1
                            : estimatedQueueLength(ranked.get(drawnRank), now)
                                    - estimatedQueueLength(ranked.get(shortestRank), now);
            shortestRank =
                    queueDifference < 0 || queueDifference == 0 && drawnRank < shortestRank
                            ? drawnRank
                            : shortestRank;
        }
        return shortestRank;
    }

    // The queue signal, for a server of mean weight: own attempts in flight, the slots that quick
    // failures
    // still keep, and what the other balancers have there. A balancer that sees a small part of the
    // traffic
    // finds its own queues empty nearly always, and ties alone would then send all of it to one
    // set. In
    // another zone, where crossing has a price, a queue counts for longer: it must be worth the
    // price.
    private double estimatedQueueLength(EndpointState endpoint, long now) {
        double crossZonePenalty =
                endpoint.descriptor.zone() == settings.zone()
                        ? 0
                        : CROSS_ZONE_QUEUE_PER_COST * settings.costs().crossZone();
        double queueLength =
                (endpoint.inFlight
                                + endpoint.penaltySlots(now)
                                + estimatedRemoteInFlight(endpoint, now))
                        * registry.meanWeight()
                        / endpoint.descriptor.weight();
        return queueLength + crossZonePenalty * (1 + queueLength);
    }

    // The attempts of other balancers: as last reported or told by them, or by Little's law as many
    // as this
    // balancer has in a server on average, in the ratio of this server's latency. Old news fades to
    // the mean.
    private double estimatedRemoteInFlight(EndpointState endpoint, long now) {
        double relativeWeight = endpoint.descriptor.weight() / registry.meanWeight();
        double reportTrust =
                endpoint.reportedAtMicros > 0
                        ? Math.exp(
                                -(now - endpoint.reportedAtMicros)
                                        / (REPORT_TRUST_LATENCIES
                                                * latencyTracker.shortestUsualMicros()))
                        : 0;
        double inferredInFlight =
                relativeWeight
                        * meanInFlight
                        * silentPeerCount
                        / Math.max(1, registry.listedEndpoints().size());
        double gossipEstimate =
                loadGossip.remoteInFlight(endpoint) + endpoint.latencyRatio(now) * inferredInFlight;
        return gossipEstimate
                + reportTrust
                        * (endpoint.latencyRatio(now) * endpoint.reportedInFlight - gossipEstimate);
    }

    // ---------------------------------------------------------------- exceptions: who is a
    // candidate

    // The subset: walks the ring from the request's point until enough servers are found that may
    // take it.
    // Guards against connections that grow with the fleet, and counts and queues that say nothing
    // because
    // each server hears from this balancer once in a while only. Where it holds no server that may
    // be used,
    // as when its servers have failed or are cold, the walk goes on, over the whole list if need
    // be.
    private List<EndpointState> candidates(PendingRequest request, long now) {
        List<EndpointState> untried = new ArrayList<>();
        List<EndpointState> tried = new ArrayList<>();
        double requestsPerSecond = trafficCounters.requestsPerSecond();
        boolean usesKeySubset =
                settings.keyAffinityEnabled()
                        && request.keyHash != 0
                        && requestsPerSecond * SUBSET_VISIT_INTERVAL_SECONDS
                                >= registry.listedEndpoints().size();
        double visitIntervalSeconds =
                settings.costs().newConnection() > 0
                        ? COSTLY_CONNECTION_VISIT_INTERVAL_SECONDS
                        : SUBSET_VISIT_INTERVAL_SECONDS;
        int wantedCount =
                (int)
                        (usesKeySubset
                                ? Math.max(
                                        MIN_KEY_SUBSET_SIZE,
                                        HOT_KEY_SUBSET_FACTOR
                                                * trafficCounters.keyTrafficFraction(
                                                        request.keyHash)
                                                * registry.listedEndpoints().size())
                                : Math.max(
                                        MIN_SUBSET_SIZE, requestsPerSecond * visitIntervalSeconds));
        Iterator<EndpointState> endpoints =
                usesKeySubset
                        ? registry.ring().iteratorFrom(Hashing.mix(request.keyHash))
                        : registry.ring().subsetIterator();
        visitGeneration++;
        boolean countsOwnZoneOnly =
                !usesKeySubset && settings.costs().crossZone() > settings.costs().newConnection();
        for (int foundCount = 0, warmVisitedCount = 0;
                foundCount < wantedCount
                        && warmVisitedCount < MAX_SUBSET_SEARCH_FACTOR * wantedCount
                        && endpoints.hasNext(); ) {
            EndpointState endpoint = endpoints.next();
            if (endpoint.visitGeneration == visitGeneration) {
                continue;
            }
            endpoint.visitGeneration = visitGeneration;
            if (request.requestClass.allowsPlacementOn(endpoint.descriptor)
                    && isWithinDeduplicationScope(request, endpoint)
                    && slowStart.hasBudget(endpoint, now)
                    && (majorityEjectedByClass[request.classIndex]
                            || endpoint.classHealth[request.classIndex].allowsAttempt(now))
                    && outlierEjection.allowsAttempt(endpoint, request, anyIdempotentClass, now)
                    && zoneFailover.allowsAttempt(
                            endpoint,
                            request,
                            request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                            now)) {
                (request.wasSentTo(endpoint) ? tried : untried).add(endpoint);
                int warmIncrement = slowStart.rampFraction(endpoint, now) >= 1 ? 1 : 0;
                warmVisitedCount += warmIncrement;
                foundCount +=
                        countsOwnZoneOnly && endpoint.descriptor.zone() != settings.zone()
                                ? 0
                                : warmIncrement;
            }
        }
        return untried.isEmpty() ? tried : untried;
    }

    @Override
    public int ejectedEndpointCount(long now) {
        return (int)
                registry.activeEndpoints().stream()
                        .filter(endpoint -> endpoint.ejectedUntilMicros > now)
                        .count();
    }

    @Override
    public double remoteRequestsPerSecond() {
        return loadGossip.remoteRate();
    }

    // Rule 5: whether all earlier requests of the key are over, and what they left may no longer
    // run.
    private static boolean isNextOfKey(PendingRequest request, long now) {
        return request.keyQueue == null
                || request.keyQueue.requests.peekFirst() == request
                        && (now >= request.keyQueue.cooldownUntilMicros
                                || !request.attempts.isEmpty());
    }

    // Rule 2: a request that may have run goes again only where its class allows, while its key is
    // known.
    private boolean isRepeatAllowed(PendingRequest request, long now) {
        Attempt firstAttempt = request.firstAttemptThatMayHaveRun();
        return firstAttempt == null
                || request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && now - firstAttempt.sentAtMicros
                                < request.requestClass.idempotencyWindowMicros() - tickMicros;
    }

    private static boolean isWithinDeduplicationScope(
            PendingRequest request, EndpointState endpoint) {
        Attempt firstAttempt =
                request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                        ? null
                        : request.firstAttemptThatMayHaveRun();
        return firstAttempt == null
                || switch (request.requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE ->
                            endpoint.descriptor.zone() == firstAttempt.descriptorAtSend.zone()
                                    && endpoint.descriptor.zone() >= 0;
                    case CELL ->
                            endpoint.descriptor.cell() == firstAttempt.descriptorAtSend.cell()
                                    && endpoint.descriptor.cell() >= 0;
                };
    }

    // What needs a look at all servers, of which only those watched can be out of the ordinary.
    // Guards
    // against work for each wake that grows with the fleet: with 14,000 servers that was a tenth of
    // a core.
    private void refresh(long now, RoutingActions actions) {
        Predicate<EndpointState> isWarm = endpoint -> slowStart.rampFraction(endpoint, now) >= 1;
        List<EndpointState> activeEndpoints = registry.removeSteadyEndpoints(isWarm, now);
        int listedCount = registry.listedEndpoints().size();
        slowStart.updateWarmRate(
                registry.warmSuccesses(isWarm)
                        * trafficCounters.biasCorrectedSuccessesPerSecond(now),
                registry.warmWeight(isWarm));
        outlierEjection.update(activeEndpoints, listedCount, now);
        fleetCapacity.updateAvailability(
                listedCount,
                registry.weightedMean(
                        zone -> zoneFailover.healthOf(zone).admittedFraction,
                        endpoint ->
                                outlierEjection.isUnavailable(endpoint, now)
                                        ? 0
                                        : zoneFailover.healthOf(endpoint.descriptor.zone())
                                                        .admittedFraction
                                                * slowStart.usableFraction(endpoint, now)));
        silentPeerCount = loadGossip.expireSilentPeers(now);
        if (zoneFailoverEnabled) {
            zoneFailover.update(
                    registry.zoneTallies(
                            endpoint -> outlierEjection.isUnresponsive(endpoint, now),
                            zone -> zoneFailover.evidenceSinceMicros(zone, now)),
                    fleetCapacity.excessFraction(
                                    fleetCapacity.requestsPerSecond() + loadGossip.remoteRate())
                            > 0,
                    now,
                    actions::log);
        }
        for (int classIndex = 0; classIndex < majorityEjectedByClass.length; classIndex++) {
            majorityEjectedByClass[classIndex] =
                    ClassEjection.isMajorityEjected(activeEndpoints, listedCount, classIndex, now);
        }
        keyQueues
                .values()
                .removeIf(
                        keyQueue ->
                                keyQueue.requests.isEmpty() && now >= keyQueue.cooldownUntilMicros);
        trafficCounters.compact(registry);
        refreshAtMicros = now + REFRESH_INTERVAL_MICROS;
    }

    // ---------------------------------------------------------------- requests

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
        long latencyObjectiveMicros =
                requestClass.latencyObjectiveMicros()
                        + (workHint > 0
                                ? (long) (requestClass.objectiveMicrosPerWorkUnit() * workHint)
                                : 0);
        PendingRequest request =
                new PendingRequest(
                        requestId,
                        classIndex,
                        requestClass,
                        key == null ? 0 : Hashing.hash(key),
                        now,
                        remainingMicros,
                        now
                                + latencyObjectiveMicros
                                - latencyTracker.elapsedSinceFirstAttemptMicros(
                                        classIndex, remainingMicros, resubmission),
                        tenantQuotas.isOverQuota(tenantIndex, resubmission, now));
        openRequests.put(requestId, request);
        if (workHint > 0) {
            request.expectedLatencyRatio =
                    1
                            + WORK_HINT_WEIGHT
                                    * (latencyTracker.recordWorkHint(classIndex, workHint) - 1);
        }
        scheduleTimerWithin(now, tickMicros, actions);
        retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRY_BUDGET_PER_REQUEST);
        if (loadShedder.shouldShed(request, random.nextDouble())) {
            rateLimitedLog.log(
                    now,
                    () ->
                            String.format(
                                    Locale.ROOT,
                                    "overload: refusing, level %.2f, strain %.2f",
                                    loadShedder.level(),
                                    loadShedder.overloadRatio()),
                    actions);
            rejectOrFail(request, now, actions);
            return;
        }
        if (requestClass.ordered() && key != null) {
            request.keyQueue =
                    keyQueues.computeIfAbsent(request.keyHash, keyHash -> new KeyQueue());
            request.keyQueue.requests.add(request);
        }
        if (!trySend(request, now, actions)) {
            enqueueOrFinish(request, now, actions);
        }
    }

    // When a request must be sent to be answered within its aim; one whose aim has passed is not
    // held.
    private long latestStartMicros(PendingRequest request) {
        if (request.latencyObjectiveAtMicros <= request.arrivedAtMicros) {
            return request.arrivedAtMicros;
        }
        return Math.max(
                request.arrivedAtMicros
                        + (request.latencyObjectiveAtMicros - request.arrivedAtMicros) / 4,
                request.latencyObjectiveAtMicros
                        - (long) (2 * latencyTracker.usualMicros(request.classIndex)));
    }

    // Keeps a request for which no server may be used now; one whose time is all but over is
    // answered.
    private void enqueueOrFinish(PendingRequest request, long now, RoutingActions actions) {
        if (now >= request.deadlineMicros - 2 * tickMicros) {
            rejectOrFail(request, now, actions);
        } else {
            pendingQueue.add(request);
        }
    }

    private boolean trySend(PendingRequest request, long now, RoutingActions actions) {
        List<EndpointState> candidates =
                isNextOfKey(request, now) && isRepeatAllowed(request, now)
                        ? candidates(request, now)
                        : List.of();
        if (candidates.isEmpty()) {
            return false;
        }
        send(request, selectEndpoint(candidates, now), now, actions);
        return true;
    }

    @Override
    public boolean canStartAttempt(long now, String requestId, int attemptNumber) {
        PendingRequest request = openRequests.get(requestId);
        if (request == null || request.closed) {
            return false;
        }
        EndpointState endpoint = request.attempts.get(attemptNumber).endpoint;
        return endpoint.descriptor.status() == EndpointStatus.UP
                && registry.get(endpoint.descriptor.id()) == endpoint
                && (request.firstAttemptThatMayHaveRun() == request.attempts.get(attemptNumber)
                        || isRepeatAllowed(request, now));
    }

    private void send(
            PendingRequest request, EndpointState endpoint, long now, RoutingActions actions) {
        Attempt attempt = new Attempt(endpoint, request, now);
        attempt.recordStart(trafficCounters.scale());
        inFlight++;
        zoneFailover.onAttemptStarted(endpoint, now);
        actions.send(request.id, endpoint.descriptor.id(), attemptTimeoutMicros(request, now));
    }

    // What is not safe to repeat is given up at its aim, where a late answer earns little: its
    // client won't
    // come again, and waiting work dropped then makes room for work that can be in time. What is
    // safe would
    // come back; it leaves room for another attempt where copies are forbidden, and is not cut
    // otherwise.
    private long attemptTimeoutMicros(PendingRequest request, long now) {
        if (request.requestClass.streamed()) {
            return 0;
        }
        if (request.requestClass.idempotency() != Idempotency.IDEMPOTENT) {
            return request.requestClass.lateWeightFactor() < MIN_LATE_WEIGHT_FACTOR
                            && request.latencyObjectiveAtMicros > now
                    ? request.latencyObjectiveAtMicros - now
                    : 0;
        }
        if (settings.limits().hedgingAllowed()
                || request.attempts.size() >= settings.limits().maxAttempts()) {
            return 0;
        }
        long patienceMicros =
                Math.max(
                        (request.deadlineMicros - now) / 2,
                        (long) (3 * latencyTracker.usualMicros(request.classIndex)));
        return Math.max(1, Math.min(request.deadlineMicros - now, patienceMicros));
    }

    // Sends held requests as servers come free, those within their share first.
    private void drainPendingQueue(long now, RoutingActions actions) {
        for (List<PendingRequest> queue : pendingQueue.queues()) {
            Iterator<PendingRequest> iterator = queue.iterator();
            while (iterator.hasNext()) {
                PendingRequest request = iterator.next();
                if (request.closed || trySend(request, now, actions)) {
                    request.queued = false;
                    iterator.remove();
                } else if (request.attempts.isEmpty()
                        && request.keyQueue == null
                        && request.requestClass.allowedZones().isEmpty()
                        && request.requestClass.allowedMachineTypes().isEmpty()) {
                    // Any server would do for this one: none is free
                    return;
                }
            }
        }
    }

    private void rejectOrFail(PendingRequest request, long now, RoutingActions actions) {
        request.closed = true;
        if (request.isSafeToResubmit()) {
            // Strain lasts
            actions.reject(
                    request.id,
                    Math.min(RETRY_AFTER_MICROS, settings.limits().maxRetryAfterMicros()));
        } else {
            actions.fail(request.id);
        }
        removeIfFinished(request);
    }

    private void removeIfFinished(PendingRequest request) {
        if (request.closed && request.attemptsInFlight == 0) {
            openRequests.remove(request.id);
            if (request.keyQueue != null) {
                request.keyQueue.requests.remove(request);
            }
        }
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
        PendingRequest request = openRequests.get(requestId);
        if (request == null
                || attemptNumber >= request.attempts.size()
                || !request.attempts.get(attemptNumber).inFlight) {
            return;
        }
        Attempt attempt = request.attempts.get(attemptNumber);
        attempt.recordEnd(!outcome.neverRan());
        inFlight--;
        trafficCounters.rejections(outcome.neverRan() ? 1 : 0);
        if (request.keyQueue != null
                && attempt.mayHaveRun
                && outcome != AttemptOutcome.OK
                && outcome != AttemptOutcome.ERROR) {
            request.keyQueue.cooldownUntilMicros =
                    Math.max(
                            request.keyQueue.cooldownUntilMicros,
                            now + settings.bounds().keyCooldownMicros());
        }
        attempt.endpoint.recordLoadReport(load, now);
        recordOutcome(attempt, outcome, latencyMicros, now, actions);
        if (closed) {
            closeAndCancel(request, actions);
        } else if (!request.closed && request.attemptsInFlight == 0) {
            retryOrFinish(request, outcome, now, actions);
        }
        removeIfFinished(request);
        drainPendingQueue(now, actions);
    }

    private void closeAndCancel(PendingRequest request, RoutingActions actions) {
        request.closed = true;
        for (int attemptNumber = 0; attemptNumber < request.attempts.size(); attemptNumber++) {
            if (request.attempts.get(attemptNumber).inFlight
                    && settings.limits().cancellationAllowed()
                    && !request.streaming) {
                actions.cancel(request.id, attemptNumber);
            }
        }
    }

    // After a failed attempt: another one, if the class, the deadline and the retry budget allow
    // it.
    private void retryOrFinish(
            PendingRequest request, AttemptOutcome outcome, long now, RoutingActions actions) {
        boolean isRetryAllowed =
                isRepeatAllowed(request, now) && (outcome.neverRan() || retryBudget >= 1);
        if (!isRetryAllowed
                || request.attempts.size() >= settings.limits().maxAttempts()
                || now
                        >= (request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                                        ? request.deadlineMicros
                                        : request.latencyObjectiveAtMicros)
                                - tickMicros) {
            rejectOrFail(request, now, actions);
            return;
        }
        if (!outcome.neverRan()) {
            retryBudget--;
        }
        if (!trySend(request, now, actions)) {
            enqueueOrFinish(request, now, actions);
        }
    }

    // Hedging: a request that may be repeated and has waited longer than nearly all do for such
    // work gets a
    // copy elsewhere. Guards against silence of any cause: lost answers, stalls, connections
    // dropped unseen.
    // It draws on the budget of the retries and rests while requests are turned away, so that it
    // can't feed
    // an overload; it might hurt where all servers slow down at once, by the budget's share at
    // most.
    private void hedgeIfSlow(PendingRequest request, long now, RoutingActions actions) {
        if (request.attemptsInFlight != 1
                || request.closed
                || request.streaming
                || request.requestClass.idempotency() != Idempotency.IDEMPOTENT
                || now >= request.latencyObjectiveAtMicros
                || request.attempts.size() >= settings.limits().maxAttempts()
                || retryBudget < MIN_RETRY_BUDGET_FOR_HEDGING) {
            return;
        }
        double expectedLatencyMicros =
                latencyTracker.usualMicros(request.classIndex) * request.expectedLatencyRatio;
        double patienceMicros =
                Math.max(
                        expectedLatencyMicros,
                        request.latencyObjectiveAtMicros
                                - request.arrivedAtMicros
                                - 2 * expectedLatencyMicros);
        if (now - request.attempts.get(request.attempts.size() - 1).sentAtMicros < patienceMicros) {
            return;
        }
        List<EndpointState> untriedCandidates = candidates(request, now);
        untriedCandidates.removeIf(request::wasSentTo);
        if (!untriedCandidates.isEmpty()) {
            retryBudget--;
            send(request, selectEndpoint(untriedCandidates, now), now, actions);
        }
    }

    @Override
    public void onUploadStarted(long now, String requestId) {
        Optional.ofNullable(openRequests.get(requestId))
                .ifPresent(request -> request.uploading = true);
    }

    @Override
    public void onUploadCompleted(
            long now, String requestId, long remainingMicros, RoutingActions actions) {
        Optional.ofNullable(openRequests.get(requestId))
                .ifPresent(request -> request.startClock(now, remainingMicros));
    }

    @Override
    public void onResponseAborted(long now, String endpointId, RoutingActions actions) {
        Optional.ofNullable(registry.get(endpointId))
                .ifPresent(
                        endpoint ->
                                recordFailure(
                                        endpoint,
                                        1,
                                        (long) latencyTracker.shortestUsualMicros(),
                                        now,
                                        actions));
    }

    @Override
    public void onStreamStarted(
            long now, String requestId, int attemptNumber, RoutingActions actions) {
        Optional.ofNullable(openRequests.get(requestId))
                .ifPresent(request -> request.streaming = true);
    }

    @Override
    public void onClientDisconnected(long now, String requestId, RoutingActions actions) {
        PendingRequest request = openRequests.get(requestId);
        if (request != null && !request.closed) {
            closeAndCancel(request, actions);
            pendingQueue.remove(request);
            removeIfFinished(request);
        }
    }

    // ---------------------------------------------------------------- health and limits

    private void recordOutcome(
            Attempt attempt,
            AttemptOutcome outcome,
            long latencyMicros,
            long now,
            RoutingActions actions) {
        EndpointState endpoint = attempt.endpoint;
        RequestClass requestClass = attempt.request.requestClass;
        int classIndex = attempt.request.classIndex;
        double expectedLatencyMicros =
                latencyTracker.usualMicros(classIndex) * attempt.request.expectedLatencyRatio;
        if (outcome != AttemptOutcome.NOT_SENT && outcome != AttemptOutcome.CANCELLED) {
            endpoint.consecutiveConnectFailures =
                    outcome == AttemptOutcome.CONNECT_FAILED
                            ? endpoint.consecutiveConnectFailures + 1
                            : 0;
            endpoint.reportedUnreachable = false;
            if (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.CONNECT_FAILED) {
                zoneFailover.onAttemptEnded(endpoint, outcome == AttemptOutcome.OK);
            }
        }
        switch (outcome) {
            case OK -> {
                endpoint.decayedSuccesses += trafficCounters.scale();
                endpoint.lastSuccessAtMicros = now;
                attempt.classEjection.onSuccess(
                        () ->
                                rateLimitedLog.log(
                                        now,
                                        "recovered "
                                                + endpoint.descriptor.id()
                                                + ", class "
                                                + classIndex,
                                        actions));
                endpoint.recordLatencyRatio(latencyMicros / expectedLatencyMicros, now);
                latencyTracker.recordLatency(classIndex, latencyMicros);
                outlierEjection.onSuccess(
                        endpoint,
                        () ->
                                rateLimitedLog.log(
                                        now, "recovered " + endpoint.descriptor.id(), actions));
                loadShedder.recordSample(
                        latencyMicros / (double) requestClass.latencyObjectiveMicros(), now);
            }
            case CANCELLED -> {
                // The copy came first, or the client left
                if (latencyMicros > 2 * expectedLatencyMicros) {
                    // Its server may well be at it still
                    recordFailure(
                            endpoint,
                            0,
                            (long) (2 * latencyTracker.usualMicros(classIndex)),
                            now,
                            actions);
                    endpoint.recordLatencyRatio(
                            Math.max(
                                    endpoint.latencyRatio(now),
                                    latencyMicros / expectedLatencyMicros),
                            now);
                }
            }
            case NOT_SENT -> {}
            case REJECTED -> {
                // A hung server fills up and then only turns away: without answers that is no mere
                // overload.
                recordFailure(
                        endpoint,
                        now - endpoint.lastSuccessAtMicros > RECENT_MICROS ? 0.5 : 0,
                        (long) latencyTracker.usualMicros(classIndex),
                        now,
                        actions);
                outlierEjection.onRejected(endpoint, latencyTracker.usualMicros(classIndex), now);
                loadShedder.recordSample(REJECTED_OVERLOAD_RATIO, now);
            }
            // A time-out may be the fault of the load: it takes more of them.
            case TIMEOUT -> {
                endpoint.recordLatencyRatio(latencyMicros / expectedLatencyMicros, now);
                loadShedder.recordSample(TIMEOUT_OVERLOAD_RATIO, now);
                recordFailure(
                        endpoint,
                        0.5,
                        (long) (2 * latencyTracker.usualMicros(classIndex)),
                        now,
                        actions);
            }
            case ERROR -> {
                // It runs and answers: that tells of this class only
                recordFailure(
                        endpoint,
                        0,
                        (long) (2 * latencyTracker.usualMicros(classIndex)),
                        now,
                        actions);
                attempt.classEjection.onFailure(
                        now,
                        random,
                        ejectionMicros ->
                                rateLimitedLog.log(
                                        now,
                                        "ejected "
                                                + endpoint.descriptor.id()
                                                + " for "
                                                + ejectionMicros / 1000
                                                + " ms after failures of class "
                                                + classIndex,
                                        actions));
            }
            default ->
                    recordFailure(
                            endpoint,
                            1,
                            (long) (2 * latencyTracker.usualMicros(classIndex)),
                            now,
                            actions);
        }
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
                message -> rateLimitedLog.log(now, message, actions));
    }

    @Override
    public PolicySnapshot snapshot(long now) {
        return new PolicySnapshot(
                registry.snapshot(trafficCounters.scale(), now), latencyTracker.snapshot());
    }

    @Override
    public void restore(long now, PolicySnapshot snapshot, long ageMicros) {
        registry.restore(
                snapshot.endpoints(),
                trafficCounters.scale() * Math.exp(-ageMicros / TrafficCounters.DECAY_MICROS),
                ageMicros,
                now);
        latencyTracker.restore(snapshot.usualLatenciesMicros(), ageMicros);
    }

    @Override
    public void onPeerMessage(long now, int fromBalancer, byte[] payload, RoutingActions actions) {
        // What can't be reached from another zone may well be from this one.
        if (!loadGossip.onMessage(
                now,
                fromBalancer,
                payload,
                registry.listedEndpoints(),
                (endpoint, reporterZone) -> {
                    if (reporterZone == (settings.zone() & 255)) {
                        outlierEjection.onReportedUnreachable(endpoint, now);
                    }
                })) {
            rateLimitedLog.log(now, "passed over a message of balancer " + fromBalancer, actions);
        }
    }

    // ---------------------------------------------------------------- time

    @Override
    public void onTimer(long now, RoutingActions actions) {
        if (now < timerAtMicros) {
            // Asked for before an earlier one was
            return;
        }
        timerAtMicros = Long.MAX_VALUE;
        long elapsedMicros = trafficCounters.microsSinceDecay(now);
        double retainedFraction = trafficCounters.decay(now);
        loadShedder.decay(retainedFraction);
        tenantQuotas.decay(elapsedMicros);
        fleetCapacity.decay(elapsedMicros);
        if (now >= refreshAtMicros) {
            refresh(now, actions);
        }
        latencyTracker.updateShortest();
        meanInFlight += (1 - Math.exp(-elapsedMicros / RECENT_MICROS)) * (inFlight - meanInFlight);
        loadShedder.decayStaleOverload(now, elapsedMicros);
        boolean hasLivePeers =
                settings.balancerCount() == 1 || silentPeerCount < settings.balancerCount() - 1;
        loadShedder.updateLevel(
                elapsedMicros / 1e6,
                hasLivePeers ? fleetCapacity : null,
                fleetCapacity.requestsPerSecond() + loadGossip.remoteRate());
        drainPendingQueue(now, actions);
        pendingQueue.toList().forEach(request -> finishIfOverdue(request, now, actions));
        if (settings.limits().hedgingAllowed()
                && loadShedder.admitsAllWithinQuota()
                && !trafficCounters.isRejectedFractionAbove(MAX_REJECTED_FRACTION_FOR_HEDGING)) {
            openRequests.values().forEach(request -> hedgeIfSlow(request, now, actions));
        }
        if (subscription.isDue(now)) {
            subscription.subscribe(now, actions);
        }
        loadGossip.sendDue(
                now,
                registry.listedEndpoints(),
                endpoint ->
                        outlierEjection.isUnreachable(endpoint) && !endpoint.reportedUnreachable,
                fleetCapacity.requestsPerSecond(),
                trafficCounters.biasCorrectedRequestsPerSecond(now),
                random,
                actions);
        scheduleTimerWithin(
                now, openRequests.isEmpty() ? REFRESH_INTERVAL_MICROS : tickMicros, actions);
    }

    private void scheduleTimerWithin(long now, long delayMicros, RoutingActions actions) {
        if (now + delayMicros < timerAtMicros) {
            timerAtMicros = now + delayMicros;
            actions.scheduleTimer(delayMicros);
        }
    }

    // Rule 1: answers held requests in time, new ones as soon as they can't be answered within
    // their aim.
    private void finishIfOverdue(PendingRequest request, long now, RoutingActions actions) {
        long latestAnswerAtMicros = request.deadlineMicros - 2 * tickMicros;
        if (now
                        >= (request.attempts.isEmpty()
                                ? Math.min(latestAnswerAtMicros, latestStartMicros(request))
                                : latestAnswerAtMicros)
                || !isRepeatAllowed(request, now)) {
            pendingQueue.remove(request);
            rejectOrFail(request, now, actions);
        }
    }

    // ---------------------------------------------------------------- membership

    @Override
    public void onEndpointList(
            long now, EndpointListKind kind, List<Endpoint> endpoints, RoutingActions actions) {
        if (timerAtMicros == Long.MAX_VALUE) {
            tenantQuotas.start(now);
            trafficCounters.start(now);
            scheduleTimerWithin(now, tickMicros, actions);
        }
        if (kind == EndpointListKind.FAILED) {
            rateLimitedLog.log(
                    now,
                    "discovery failed " + subscription.onFailure(now) + " times, asking again",
                    actions);
            return;
        }
        if (kind == EndpointListKind.CACHED) {
            if (settings.discoveryMode() == DiscoveryMode.POLL) {
                subscription.subscribe(now, actions);
            }
        } else {
            subscription.onResponse();
        }
        registry.update(
                endpoints,
                kind == EndpointListKind.DELTA,
                now,
                message -> rateLimitedLog.log(now, message, actions));
        drainPendingQueue(now, actions);
    }
}
