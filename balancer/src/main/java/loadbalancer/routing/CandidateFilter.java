package loadbalancer.routing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.ClassEjection;
import loadbalancer.routing.endpoint.EndpointRegistry;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.PendingRequest;
import loadbalancer.routing.endpoint.TrafficCounters;
import loadbalancer.routing.health.OutlierEjection;
import loadbalancer.routing.health.SlowStart;
import loadbalancer.routing.health.ZoneFailover;
import loadbalancer.util.Hashing;

/**
 * Decides which endpoints are candidates for a request, before {@link JsqDasSelector} chooses one.
 *
 * <p>An endpoint is a candidate if the placement and the deduplication scope of the request's class
 * allow it, its slow start has budget, neither it nor its class is ejected, and its zone is not
 * failed over. Candidates are taken from a subset, an arc of the hash ring that starts at this
 * balancer's point, or at the key's: this bounds the number of connections as the fleet grows, and
 * lets this balancer see each endpoint often enough for its counts and queues to mean something. If
 * the subset has too few usable endpoints the search continues, over the whole list if necessary.
 *
 * <p>Not thread-safe: belongs to the thread of its {@link RoutingEngine}.
 */
final class CandidateFilter {
    // Enough for the sample of JSQ-DAS
    private static final int MIN_SUBSET_SIZE = 6;
    // The sample size of JSQ-DAS: all endpoints of a key's subset are sampled
    private static final int MIN_KEY_SUBSET_SIZE = 4;
    // Size of a key's subset, as a multiple of the fraction of the fleet that its traffic needs
    private static final double HOT_KEY_SUBSET_FACTOR = 2;
    // A subset is so small that each of its endpoints gets a request within this time
    private static final double SUBSET_VISIT_INTERVAL_SECONDS = 1.5;
    // The same where new connections have a cost
    private static final double COSTLY_CONNECTION_VISIT_INTERVAL_SECONDS = 0.5;
    // Bound of the search, as a multiple of the subset, where only the own zone's endpoints count
    private static final int MAX_SUBSET_SEARCH_FACTOR = 4;

    private final RoutingSettings settings;
    private final EndpointRegistry registry;
    private final TrafficCounters trafficCounters;
    private final OutlierEjection outlierEjection;
    private final SlowStart slowStart;
    private final ZoneFailover zoneFailover;
    private final boolean anyIdempotentClass;
    // By class index; then ejections of the class are ignored
    private final boolean[] majorityEjectedByClass;
    private int visitGeneration;

    CandidateFilter(
            RoutingSettings settings,
            EndpointRegistry registry,
            TrafficCounters trafficCounters,
            OutlierEjection outlierEjection,
            SlowStart slowStart,
            ZoneFailover zoneFailover) {
        this.settings = settings;
        this.registry = registry;
        this.trafficCounters = trafficCounters;
        this.outlierEjection = outlierEjection;
        this.slowStart = slowStart;
        this.zoneFailover = zoneFailover;
        this.anyIdempotentClass =
                settings.requestClasses().stream()
                        .map(RequestClass::idempotency)
                        .anyMatch(idempotency -> idempotency == Idempotency.IDEMPOTENT);
        this.majorityEjectedByClass = new boolean[settings.requestClasses().size()];
    }

    /**
     * The candidates for the next attempt of a request: those that it was not sent to yet, or, if
     * there are none, the others. The list is new and may be changed.
     */
    List<EndpointState> candidates(PendingRequest request, long now) {
        List<EndpointState> untried = new ArrayList<>();
        List<EndpointState> tried = new ArrayList<>();
        boolean usesKeySubset = usesKeySubset(request);
        int subsetSize = usesKeySubset ? keySubsetSize(request) : balancerSubsetSize();
        int maxWarmVisited = MAX_SUBSET_SEARCH_FACTOR * subsetSize;
        boolean countsOwnZoneOnly =
                !usesKeySubset && settings.costs().crossZone() > settings.costs().newConnection();
        Iterator<EndpointState> endpoints =
                usesKeySubset
                        ? registry.ring().iteratorFrom(Hashing.mix(request.keyHash()))
                        : registry.ring().subsetIterator();
        visitGeneration++;
        int counted = 0;
        int warmVisited = 0;
        while (counted < subsetSize && warmVisited < maxWarmVisited && endpoints.hasNext()) {
            EndpointState endpoint = endpoints.next();
            // An endpoint has several points on the ring
            if (!endpoint.markVisited(visitGeneration) || !isCandidate(endpoint, request, now)) {
                continue;
            }
            (request.wasSentTo(endpoint) ? tried : untried).add(endpoint);
            if (slowStart.rampFraction(endpoint, now) >= 1) {
                warmVisited++;
                boolean isCounted =
                        !countsOwnZoneOnly || endpoint.descriptor().zone() == settings.zone();
                counted += isCounted ? 1 : 0;
            }
        }
        return untried.isEmpty() ? tried : untried;
    }

    /** As {@link #candidates}, but only those that the request was not sent to yet. */
    List<EndpointState> untriedCandidates(PendingRequest request, long now) {
        List<EndpointState> candidates = candidates(request, now);
        candidates.removeIf(request::wasSentTo);
        return candidates;
    }

    /** Whether an endpoint is still the one that the list names, and takes requests. */
    boolean isStillListed(EndpointState endpoint) {
        return endpoint.descriptor().status() == EndpointStatus.UP
                && registry.get(endpoint.descriptor().id()) == endpoint;
    }

    /**
     * Determines the classes that most endpoints have ejected: there the fault is likely in the
     * requests, and ejections for the class are ignored.
     */
    void updateMajorityEjections(List<EndpointState> activeEndpoints, int listedCount, long now) {
        for (int classIndex = 0; classIndex < majorityEjectedByClass.length; classIndex++) {
            majorityEjectedByClass[classIndex] =
                    ClassEjection.isMajorityEjected(activeEndpoints, listedCount, classIndex, now);
        }
    }

    // Where this balancer's traffic alone visits each endpoint often enough, requests with one key
    // go to a subset of the key's own.
    private boolean usesKeySubset(PendingRequest request) {
        return settings.keyAffinityEnabled()
                && request.keyHash() != 0
                && trafficCounters.requestsPerSecond() * SUBSET_VISIT_INTERVAL_SECONDS
                        >= registry.listedEndpoints().size();
    }

    private int keySubsetSize(PendingRequest request) {
        double neededForTraffic =
                HOT_KEY_SUBSET_FACTOR
                        * trafficCounters.keyTrafficFraction(request.keyHash())
                        * registry.listedEndpoints().size();
        return (int) Math.max(MIN_KEY_SUBSET_SIZE, neededForTraffic);
    }

    private int balancerSubsetSize() {
        double visitIntervalSeconds =
                settings.costs().newConnection() > 0
                        ? COSTLY_CONNECTION_VISIT_INTERVAL_SECONDS
                        : SUBSET_VISIT_INTERVAL_SECONDS;
        double regularlyVisited = trafficCounters.requestsPerSecond() * visitIntervalSeconds;
        return (int) Math.max(MIN_SUBSET_SIZE, regularlyVisited);
    }

    private boolean isCandidate(EndpointState endpoint, PendingRequest request, long now) {
        return request.requestClass().allowsPlacementOn(endpoint.descriptor())
                && RetryPolicy.isWithinDeduplicationScope(request, endpoint)
                && slowStart.hasBudget(endpoint, now)
                && isClassHealthy(endpoint, request.classIndex(), now)
                && outlierEjection.allowsAttempt(endpoint, request, anyIdempotentClass, now)
                && isZoneAdmitted(endpoint, request, now);
    }

    private boolean isClassHealthy(EndpointState endpoint, int classIndex, long now) {
        return majorityEjectedByClass[classIndex]
                || endpoint.classHealth(classIndex).allowsAttempt(now);
    }

    // A zone that is failed over is probed with requests that are safe to repeat.
    private boolean isZoneAdmitted(EndpointState endpoint, PendingRequest request, long now) {
        boolean mayProbe = request.requestClass().idempotency() != Idempotency.NON_IDEMPOTENT;
        return zoneFailover.allowsAttempt(endpoint, request, mayProbe, now);
    }
}
