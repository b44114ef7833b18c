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
 * allow it, its slow start has budget, neither the endpoint nor the class on it is ejected, and its
 * zone is not failed over. Candidates are taken from a subset, an arc of the hash ring that starts
 * at the point of this balancer, or of the key. The subset bounds the number of connections as the
 * fleet grows, and lets this balancer visit each endpoint often enough for its counts and queues to
 * be meaningful. If the subset has too few usable endpoints, the search continues along the ring,
 * over the whole list if necessary.
 *
 * <p>Not thread-safe: used only on the thread of its {@link RoutingEngine}.
 */
final class CandidateFilter {
    // Larger than the sample of JSQ-DAS
    private static final int MIN_SUBSET_SIZE = 6;
    // Equals the sample size of JSQ-DAS, so that all endpoints of a key's subset are sampled
    private static final int MIN_KEY_SUBSET_SIZE = 4;
    // Size of a key's subset, as a multiple of the part of the fleet that its traffic needs
    private static final double HOT_KEY_SUBSET_FACTOR = 2;
    // A subset is small enough that each of its endpoints gets a request within this time
    private static final double SUBSET_VISIT_INTERVAL_SECONDS = 1.5;
    // Visit interval where new connections have a cost, which makes the subset smaller
    private static final double COSTLY_CONNECTION_VISIT_INTERVAL_SECONDS = 0.5;
    // Maximum search length, as a multiple of the subset, if only endpoints of the own zone count
    private static final int MAX_SUBSET_SEARCH_FACTOR = 4;

    private final RoutingSettings settings;
    private final EndpointRegistry registry;
    private final TrafficCounters trafficCounters;
    private final OutlierEjection outlierEjection;
    private final SlowStart slowStart;
    private final ZoneFailover zoneFailover;
    private final boolean anyIdempotentClass;
    // Whether ejections of a class are ignored because most endpoints ejected it; by class index
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
     * Returns the candidates for the next attempt of a request: the endpoints that it was not sent
     * to yet or, if there are none, those that it was sent to. The caller may modify the list.
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

    /** Returns the candidates that the request was not sent to yet; the list may be modified. */
    List<EndpointState> untriedCandidates(PendingRequest request, long now) {
        List<EndpointState> candidates = candidates(request, now);
        candidates.removeIf(request::wasSentTo);
        return candidates;
    }

    /** Returns whether an endpoint is still listed as up and has not been restarted. */
    boolean isStillListed(EndpointState endpoint) {
        return endpoint.descriptor().status() == EndpointStatus.UP
                && registry.get(endpoint.descriptor().id()) == endpoint;
    }

    /**
     * Determines the classes that most endpoints have ejected. The fault is then likely in the
     * requests, so ejections for the class are ignored.
     *
     * @param activeEndpoints the listed endpoints that may be ejected
     * @param listedCount the number of listed endpoints
     */
    void updateMajorityEjections(List<EndpointState> activeEndpoints, int listedCount, long now) {
        for (int classIndex = 0; classIndex < majorityEjectedByClass.length; classIndex++) {
            majorityEjectedByClass[classIndex] =
                    ClassEjection.isMajorityEjected(activeEndpoints, listedCount, classIndex, now);
        }
    }

    // Returns whether a request uses the subset of its key. This requires that the traffic of this
    // balancer alone visits each endpoint often enough.
    private boolean usesKeySubset(PendingRequest request) {
        return settings.keyAffinityEnabled()
                && request.keyHash() != 0
                && trafficCounters.requestsPerSecond() * SUBSET_VISIT_INTERVAL_SECONDS
                        >= registry.listedEndpoints().size();
    }

    private int keySubsetSize(PendingRequest request) {
        double neededEndpoints =
                HOT_KEY_SUBSET_FACTOR
                        * trafficCounters.keyTrafficFraction(request.keyHash())
                        * registry.listedEndpoints().size();
        return (int) Math.max(MIN_KEY_SUBSET_SIZE, neededEndpoints);
    }

    private int balancerSubsetSize() {
        double visitIntervalSeconds =
                settings.costs().newConnection() > 0
                        ? COSTLY_CONNECTION_VISIT_INTERVAL_SECONDS
                        : SUBSET_VISIT_INTERVAL_SECONDS;
        double visitableEndpoints = trafficCounters.requestsPerSecond() * visitIntervalSeconds;
        return (int) Math.max(MIN_SUBSET_SIZE, visitableEndpoints);
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

    // Returns whether a zone accepts an attempt. A zone that is failed over is probed only with
    // requests that are safe to repeat.
    private boolean isZoneAdmitted(EndpointState endpoint, PendingRequest request, long now) {
        boolean mayProbe = request.requestClass().idempotency() != Idempotency.NON_IDEMPOTENT;
        return zoneFailover.allowsAttempt(endpoint, request, mayProbe, now);
    }
}
