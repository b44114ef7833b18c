package loadbalancer.routing;

import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.EndpointRegistry;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.LatencyTracker;
import loadbalancer.routing.gossip.LoadGossip;

/**
 * Estimates the queue length of an endpoint, which {@link JsqDasSelector} compares.
 *
 * <p>The estimate is scaled to an endpoint of mean weight. It is the sum of the attempts that this
 * balancer has in flight at the endpoint, the slots that failed attempts still occupy, and the
 * attempts of the other balancers. The last part matters because a balancer that gets a small part
 * of the traffic nearly always finds its own queues empty; ties would then send all of its requests
 * to one set of endpoints.
 *
 * <p>Not thread-safe: used only on the thread of its {@link RoutingEngine}.
 */
final class QueueLengthEstimator {
    // Time constant of the mean number of attempts in flight
    private static final double IN_FLIGHT_DECAY_MICROS = 2e6;
    // Time constant of the trust in a load report, in usual latencies of the fastest class
    private static final double REPORT_TRUST_LATENCIES = 2;
    // Relative and absolute penalty of a queue in another zone, per unit of cross-zone cost
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

    /**
     * Updates the mean number of attempts in flight.
     *
     * @param elapsedMicros µs since the last update
     */
    void updateMeanInFlight(long elapsedMicros) {
        double weight = 1 - Math.exp(-elapsedMicros / IN_FLIGHT_DECAY_MICROS);
        meanInFlight += weight * (inFlight - meanInFlight);
    }

    /** Sets the number of other balancers whose load is not known from gossip. */
    void setSilentPeerCount(int silentPeerCount) {
        this.silentPeerCount = silentPeerCount;
    }

    /** Returns whether the load of at least one other balancer is known, or there are no others. */
    boolean hasLivePeers() {
        return settings.balancerCount() == 1 || silentPeerCount < settings.balancerCount() - 1;
    }

    /** Returns the estimated number of requests at an endpoint, scaled to one of mean weight. */
    double estimate(EndpointState endpoint, long now) {
        double queueLength =
                (endpoint.inFlight() + endpoint.penaltySlots(now) + remoteInFlight(endpoint, now))
                        * registry.meanWeight()
                        / endpoint.descriptor().weight();
        return queueLength + crossZonePenalty(endpoint) * (1 + queueLength);
    }

    // Returns the penalty of an endpoint in another zone. Its queue must be short enough to make
    // up for the cost of crossing zones.
    private double crossZonePenalty(EndpointState endpoint) {
        return endpoint.descriptor().zone() == settings.zone()
                ? 0
                : CROSS_ZONE_QUEUE_PER_COST * settings.costs().crossZone();
    }

    /**
     * Returns the estimated number of attempts of other balancers at an endpoint. The last load
     * report of the endpoint is weighted by its age. The remaining weight is for the numbers that
     * peers report by gossip plus, for silent peers, an estimate by Little's law from the mean of
     * this balancer, in proportion to weight and latency.
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

    // Returns the weight of the last load report: 1 when it arrives, decaying to 0 with its age.
    private double reportTrust(EndpointState endpoint, long now) {
        if (endpoint.reportedAtMicros() <= 0) {
            return 0;
        }
        double reportAgeMicros = now - endpoint.reportedAtMicros();
        return Math.exp(
                -reportAgeMicros
                        / (REPORT_TRUST_LATENCIES * latencyTracker.minUsualLatencyMicros()));
    }
}
