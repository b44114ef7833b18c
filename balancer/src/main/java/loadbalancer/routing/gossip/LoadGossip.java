package loadbalancer.routing.gossip;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ObjIntConsumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.EndpointState;

/**
 * Exchanges load reports with the other balancers of the fleet, several times per second. A report
 * contains the attempts in flight by endpoint, the ejected request classes, the unreachable
 * endpoints and the request rate. Without reports each balancer in a fleet of 14 knows a fourteenth
 * of each endpoint's queue, and detects a failing endpoint only by its own errors.
 *
 * <p>Reports may be lost: received reports expire soon, and no decision depends on having one.
 * {@link GossipTopology} defines the receivers. In a large fleet their number is fixed, so the
 * report traffic of a balancer does not grow with the fleet.
 *
 * <p>Confined to the thread of the routing policy. Times are in µs of the policy's clock.
 */
public final class LoadGossip {
    private final GossipTopology topology;
    private final boolean isEnabled;
    private final PeerLoadTable peers = new PeerLoadTable();
    private final RemoteRateEstimator remoteRate;
    private final LoadReportBuilder reportBuilder;
    private final LoadReportSchedule schedule;

    /** Creates the gossip of the balancer that {@code settings} describes, without any reports. */
    public LoadGossip(RoutingSettings settings) {
        this.topology = new GossipTopology(settings.rank(), settings.balancerCount());
        this.isEnabled = settings.limits().gossipAllowed() && settings.balancerCount() > 1;
        this.remoteRate =
                topology.isBroadcast() || topology.exceedsAggregationLimit()
                        ? new DirectRateSum(peers)
                        : new AggregatedRate(topology, peers);
        this.reportBuilder = new LoadReportBuilder(settings.zone(), topology);
        this.schedule = new LoadReportSchedule(topology, settings.costs().gossip());
    }

    /**
     * Sends the load report and the aggregation datagrams that are due.
     *
     * @param now µs
     * @param listedEndpoints listed endpoints that are up
     * @param isUnreachable whether this balancer can't connect to an endpoint
     * @param localRate requests per second that this balancer receives
     * @param smoothedLocalRate the same, averaged over a longer time
     * @param random provides one random number per report
     * @param actions sends the datagrams
     */
    public void sendDue(
            long now,
            List<EndpointState> listedEndpoints,
            Predicate<EndpointState> isUnreachable,
            double localRate,
            double smoothedLocalRate,
            RandomGenerator random,
            RoutingActions actions) {
        if (!isEnabled) {
            return;
        }
        if (topology.exceedsAggregationLimit() && !reportBuilder.hasBuilt()) {
            actions.log(
                    "fleet too large to aggregate: balancers="
                            + topology.balancerCount()
                            + " max_balancers="
                            + BlockPartition.MAX_BALANCERS);
        }
        if (schedule.isDue(now)) {
            List<EndpointState> unreachableEndpoints =
                    listedEndpoints.stream().filter(isUnreachable).toList();
            byte[] datagram =
                    reportBuilder
                            .build(listedEndpoints, unreachableEndpoints, localRate, now)
                            .encode();
            topology.send(datagram, actions);
            schedule.onSent(now, datagram.length, smoothedLocalRate, random);
        }
        remoteRate.sendDue(now, localRate, actions::sendToPeer);
    }

    /**
     * Processes a datagram received from another balancer.
     *
     * @param now µs
     * @param sender number of the balancer that sent it
     * @param datagram a load report or an aggregation datagram
     * @param listedEndpoints listed endpoints that are up
     * @param onUnreachable called with each endpoint that the sender reports as unreachable and the
     *     sender's zone
     * @return false if the datagram was ignored because it can't be decoded or is not from a peer
     */
    public boolean onMessage(
            long now,
            int sender,
            byte[] datagram,
            List<EndpointState> listedEndpoints,
            ObjIntConsumer<EndpointState> onUnreachable) {
        if (FleetLoadMessage.hasFormat(datagram)) {
            return remoteRate.onDatagram(now, sender, datagram);
        }
        Optional<LoadGossipMessage> decoded =
                topology.isPeer(sender) ? LoadGossipMessage.decode(datagram) : Optional.empty();
        if (decoded.isEmpty()) {
            return false;
        }
        LoadGossipMessage message = decoded.get();
        peers.put(sender, message, now);
        applyEjections(now, message, listedEndpoints);
        notifyUnreachable(message, listedEndpoints, onUnreachable);
        return true;
    }

    private static void applyEjections(
            long now, LoadGossipMessage message, List<EndpointState> listedEndpoints) {
        for (LoadGossipMessage.EjectionEntry ejection : message.ejectionEntries()) {
            int classIndex = ejection.classIndex();
            long ejectedUntilMicros = now + ejection.remainingMicros();
            for (EndpointState endpoint : listedEndpoints) {
                if (endpointCode(endpoint) == ejection.endpointCode()
                        && classIndex < endpoint.classCount()) {
                    endpoint.classHealth(classIndex).onRemoteEjection(ejectedUntilMicros);
                }
            }
        }
    }

    private static void notifyUnreachable(
            LoadGossipMessage message,
            List<EndpointState> listedEndpoints,
            ObjIntConsumer<EndpointState> onUnreachable) {
        if (message.unreachableCodes().isEmpty()) {
            return;
        }
        Set<Integer> unreachableCodes = new HashSet<>(message.unreachableCodes());
        listedEndpoints.stream()
                .filter(endpoint -> unreachableCodes.contains(endpointCode(endpoint)))
                .forEach(endpoint -> onUnreachable.accept(endpoint, message.zone()));
    }

    /**
     * Removes expired reports and updates the remote rate.
     *
     * @return number of other balancers without a current report
     */
    public int expireSilentPeers(long now) {
        peers.expire(now);
        remoteRate.update(now);
        return topology.balancerCount() - 1 - peers.peerCount();
    }

    /** Returns the known requests per second that the other balancers receive together. */
    public double remoteRequestsPerSecond() {
        return remoteRate.requestsPerSecond();
    }

    /** Returns the reported number of attempts of other balancers in flight at {@code endpoint}. */
    public int remoteInFlight(EndpointState endpoint) {
        return peers.inFlight(endpointCode(endpoint));
    }

    private static int endpointCode(EndpointState endpoint) {
        return LoadGossipMessage.endpointCode(endpoint.idHash());
    }
}
