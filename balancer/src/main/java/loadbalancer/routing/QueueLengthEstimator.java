package loadbalancer.routing;

import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.EndpointRegistry;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.LatencyTracker;
import loadbalancer.routing.gossip.LoadGossip;

/**
 * Estimates the queue of an endpoint, the signal that {@link JsqDasSelector} compares.
 *
 * <p>The estimate, scaled to an endpoint of mean weight, sums the attempts that this balancer has
 * in flight there, the slots that failed attempts still occupy, and the attempts of the other
 * balancers. The last part matters since a balancer that sees a small part of the traffic finds its
 * own queues empty nearly always; ties alone would then send all of it to one set of endpoints.
 *
 * <p>Not thread-safe: belongs to the thread of its {@link RoutingEngine}.
 */
final class QueueLengthEstimator {
    // Time constant of the mean of attempts in flight
    private static final double IN_FLIGHT_DECAY_MICROS = 2e6;
    // Time constant of trust in a load report, in usual latencies of the quickest class
    private static final double REPORT_TRUST_LATENCIES = 2;
    // Relative and absolute penalty on a queue in another zone, per unit of cross-zone cost
    private static final double CROSS_ZONE_QUEUE_PER_COST = 10;

    private final RoutingSettings settings;
    private final EndpointRegistry registry;
    private final LatencyTracker latencyTracker;
    private final LoadGossip loadGossip;
    private int inFlight;
    private double meanInFlight;
    private int silentPeerCount;

    QueueLengthEstimator(
            RoutingSettings settings,
            EndpointRegistry registry,
            LatencyTracker latencyTracker,
            LoadGossip loadGossip) {
        this.settings = settings;
        this.registry = registry;
        this.latencyTracker = latencyTracker;
        this.loadGossip = loadGossip;
        this.silentPeerCount = settings.balancerCount() - 1;
    }

    void onAttemptStarted() {
        inFlight++;
    }

    void onAttemptEnded() {
        inFlight--;
    }

    /** Updates the mean of attempts in flight, by the time since its last update. */
    void updateMeanInFlight(long elapsedMicros) {
        double weight = 1 - Math.exp(-elapsedMicros / IN_FLIGHT_DECAY_MICROS);
        meanInFlight += weight * (inFlight - meanInFlight);
    }

    /** Sets the number of other balancers whose load is not known by gossip. */
    void setSilentPeerCount(int silentPeerCount) {
        this.silentPeerCount = silentPeerCount;
    }

    /** Whether the load of any other balancer is known, or there is none. */
    boolean hasLivePeers() {
        return settings.balancerCount() == 1 || silentPeerCount < settings.balancerCount() - 1;
    }

    /** The estimated number of requests at an endpoint, as for one of mean weight. */
    double estimate(EndpointState endpoint, long now) {
        double queueLength =
                (endpoint.inFlight() + endpoint.penaltySlots(now) + remoteInFlight(endpoint, now))
                        * registry.meanWeight()
                        / endpoint.descriptor().weight();
        return queueLength + crossZonePenalty(endpoint) * (1 + queueLength);
    }

    // Where crossing zones has a cost, a shorter queue in another zone must make up for it.
    private double crossZonePenalty(EndpointState endpoint) {
        return endpoint.descriptor().zone() == settings.zone()
                ? 0
                : CROSS_ZONE_QUEUE_PER_COST * settings.costs().crossZone();
    }

    /**
     * Attempts of other balancers at an endpoint. Its own last load report counts by its age; the
     * rest is what peers report by gossip and, for silent peers, what Little's law infers from this
     * balancer's own mean, in proportion to weight and latency.
     */
    private double remoteInFlight(EndpointState endpoint, long now) {
        double relativeWeight = endpoint.descriptor().weight() / registry.meanWeight();
        double inferredInFlight =
                relativeWeight
                        * meanInFlight
                        * silentPeerCount
                        / Math.max(1, registry.listedEndpoints().size());
        double latencyRatio = endpoint.latencyRatio(now);
        double gossipEstimate =
                loadGossip.remoteInFlight(endpoint) + latencyRatio * inferredInFlight;
        double reportEstimate = latencyRatio * endpoint.reportedInFlight();
        return gossipEstimate + reportTrust(endpoint, now) * (reportEstimate - gossipEstimate);
    }

    // From 1 for a report that arrives now, down to 0 with its age.
    private double reportTrust(EndpointState endpoint, long now) {
        if (endpoint.reportedAtMicros() <= 0) {
            return 0;
        }
        double reportAgeMicros = now - endpoint.reportedAtMicros();
        return Math.exp(
                -reportAgeMicros / (REPORT_TRUST_LATENCIES * latencyTracker.shortestUsualMicros()));
    }
}
